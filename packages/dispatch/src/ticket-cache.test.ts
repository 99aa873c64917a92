/** Tickets are requested for every step in turn, whatever becomes of the requests of others. */
import * as httpCalls from "@catkinwharf/http-calls";
import * as jobState from "@catkinwharf/job-state";
import * as jobTesting from "@catkinwharf/job-state/testing";
import type * as platform from "@catkinwharf/platform";
import * as platformTesting from "@catkinwharf/platform/testing";
import * as neverthrow from "neverthrow";
import * as timers from "node:timers/promises";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import type * as jobRegistry from "./job-registry.js";
import type * as session from "./server-session.js";
import * as testing from "./testing/context.js";
import * as memoryStore from "./testing/memory-store.js";
import * as virtualTime from "./testing/virtual-time.js";
import * as ticketCache from "./ticket-cache.js";

const suite = uvu.suite("ticket cache");
/** More than the advice service lets wait. */
const hopelessSteps = 40;
const passes = 200;
/** Time in ms of a call of the advice service. */
const callTime = 1;
/** Time in ms, above that after which tickets for a step are requested again. */
const repeatDelay = 1050;
const load = {
    acceptsTasks: true,
    freeCpu: 1000,
    freeMemory: 1000,
    freeAccelerators: 0,
    labels: [],
    runCountByStep: new Map(),
};
const server = { entry: { id: "s1" }, bootId: "s1@1", load } as unknown as session.ServerSession;

/** Refuses tickets for all jobs but one. */
class AdviceCalls extends httpCalls.HttpClient {
    constructor(private readonly favoured: string) {
        super();
    }

    override async send(_address: string, call: platform.Call): ReturnType<httpCalls.HttpClient["send"]> {
        await timers.setTimeout(callTime);
        const isFavoured = Buffer.from(call.body ?? "").toString().includes(this.favoured);
        return neverthrow.ok(
            isFavoured
                ? platformTesting.createTickets([server.entry.id], 60_000)
                : { status: 503, body: new Uint8Array() },
        );
    }
}

function createCandidate(id: string): jobRegistry.Candidate {
    const job = jobTesting.createJob({ id });
    return {
        active: { job, entry: { id, cancelledAt: undefined } },
        route: { advice: { decision: 1, perServer: 1, validity: 1000 } },
        ready: { occurrence: 0, step: 0, tasks: jobState.IndexRanges.of([0]), alone: false },
    } as unknown as jobRegistry.Candidate;
}

function createCache(calls: httpCalls.HttpClient): ticketCache.TicketCache {
    const store = new memoryStore.MemoryStore(
        new memoryStore.MemoryLog(),
        new virtualTime.VirtualTime(),
        () => true,
    );
    return new ticketCache.TicketCache({
        ...testing.createContext(calls, store, () => performance.now()),
        settings: { ...testing.settings, adviceAddress: "advice:1" },
    });
}

suite("a step never gets tickets, as the advice service refuses those of many steps before it", async () => {
    const last = (hopelessSteps + 0xa00).toString(16).padStart(16, "0");
    const cache = createCache(new AdviceCalls(last));
    const candidates = Array.from(
        { length: hopelessSteps + 1 },
        (_, i) => createCandidate((i + 0xa00).toString(16).padStart(16, "0")),
    );
    for (let pass = 0; pass < passes; pass++) {
        cache.startPass();
        candidates.forEach(candidate => cache.request(candidate, candidate.active.job.id, [server]));
        await timers.setTimeout(callTime);
    }
    assert.ok(cache.find(last, server) !== undefined);
    assert.is(cache.find(candidates[0]!.active.job.id, server), undefined);
});

suite("a ticket or a denial of a server's earlier boot holds for the next one", async () => {
    const id = "00000000000000aa";
    const state = { entry: server.entry, bootId: "s1@1", load };
    const rebooting = state as unknown as session.ServerSession;
    const asked: string[] = [];
    const calls = new httpCalls.HttpClient();
    calls.send = async (_address, call) => {
        asked.push(Buffer.from(call.body ?? "").toString());
        await timers.setTimeout(callTime);
        // The first answer, a ticket, is for the boot that was asked for; so is the second one, a denial.
        state.bootId = `s1@${asked.length + 1}`;
        return neverthrow.ok(platformTesting.createTickets(asked.length === 2 ? [] : [server.entry.id], 60_000));
    };
    const cache = createCache(calls);
    const candidate = createCandidate(id);
    for (let i = 1; i <= 3; i++) {
        cache.startPass();
        cache.request(candidate, id, [rebooting]);
        await timers.setTimeout(repeatDelay);
        assert.is(asked.length, i);
        assert.is(cache.find(id, rebooting), undefined);
    }
    state.bootId = "s1@3";
    assert.ok(cache.find(id, rebooting) !== undefined);
});

suite.run();
