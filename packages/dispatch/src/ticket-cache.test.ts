/** Tickets are requested for every step in turn, whatever becomes of the requests of others. */
import * as httpCalls from "@catkinwharf/http-calls";
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
        ready: { occurrence: 0, step: 0, tasks: [0], alone: false },
    } as unknown as jobRegistry.Candidate;
}

suite("a step never gets tickets, as the advice service refuses those of many steps before it", async () => {
    const last = (hopelessSteps + 0xa00).toString(16).padStart(16, "0");
    const calls = new AdviceCalls(last);
    const store = new memoryStore.MemoryStore(
        new memoryStore.MemoryLog(),
        new virtualTime.VirtualTime(),
        () => true,
    );
    const shared = {
        ...testing.createContext(calls, store, () => performance.now()),
        settings: { ...testing.settings, adviceAddress: "advice:1" },
    };
    const cache = new ticketCache.TicketCache(shared);
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

suite.run();
