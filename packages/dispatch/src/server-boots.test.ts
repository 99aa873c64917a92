/** Guards against tasks that run twice because a server's new boot is taken for the one before. */
import * as platform from "@catkinwharf/platform";
import * as neverthrow from "neverthrow";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import type * as context from "./context.js";
import * as fleet from "./fleet.js";
import * as runManager from "./run-manager.js";
import * as serverBoots from "./server-boots.js";
import * as session from "./server-session.js";

const suite = uvu.suite("server boots");
const maxLease = 10_000;
const ignore = () => undefined;

const registration = {
    Service: "dispatch",
    Address: "127.0.0.1:1",
    State: "ready",
    Capacity: { Cpu: 4000, MemMb: 1000 },
    born: 7,
};

interface Response {
    readonly ClockMs: number;
    readonly born: number;
}

/** Creates a fleet with one server, whose calls get these responses and then none. */
function createFleet(responses: Response[], now: () => number, onRebooted: fleet.FleetHandlers["onRebooted"]) {
    const shared = {
        termStartedAt: 0,
        settings: { bounds: { maxLease } },
        clock: { monotonic: now, wall: now },
        log: { info: ignore, warn: ignore },
        schedulePass: ignore,
        mayExtendLeases: () => true,
        lateness: () => 0,
        writer: { add: ignore, flush: () => Promise.resolve(true) },
        serverCalls: {
            send: () => {
                const response = responses.shift();
                return response === undefined
                    ? new Promise(() => {})
                    : Promise.resolve(neverthrow.ok({ status: 200, body: Buffer.from(JSON.stringify(response)) }));
            },
        },
    };
    const created = new fleet.Fleet(shared as unknown as context.CoordinatorContext, {
        onLists: ignore,
        onCrash: ignore,
        onRebooted,
        onRunsLost: ignore,
    });
    created.applyRecord(
        { key: "i-1", value: Buffer.from(JSON.stringify(registration)) } as platform.storeCalls.KeyedRecord,
    );
    return created;
}

suite("a lease that the boot before was given ends on the new boot later than the coordinator believes", async () => {
    let now = 500;
    const created = createFleet([{ ClockMs: 90_000, born: 7 }, { ClockMs: 40, born: 8 }], () => now += 10, ignore);
    created.start();
    await new Promise(resolve => setTimeout(resolve, 20));
    created.stop();
    const server = created.sessions.get("i-1")!;
    assert.is(server.bootedAt, 8);
    // A call with a lease end on the clock of the boot before may have reached the new one, which shortens it.
    assert.ok(server.leases.computeExpiry(server.clock.sample!) >= server.lastAnswerAt + maxLease);
});

suite("a start without a confirmation runs on the new boot while its task runs elsewhere", async () => {
    const shared = { log: { info: ignore, warn: ignore }, schedulePass: ignore, writer: { markDirty: ignore } };
    const runs = new runManager.RunManager({
        shared,
        registry: { active: new Map() },
    } as unknown as runManager.RunManagerOptions);
    const created = createFleet(
        [{ ClockMs: 90_000, born: 7 }, { ClockMs: 40, born: 8 }],
        () => 500,
        (rebooted, sentAt) => runs.endEarlierBoot(rebooted, sentAt),
    );
    const server = created.sessions.get("i-1")!;
    const { ordered, stopping, running } = session.RunPhase;
    const phases = { ordered, stopping, confirmed: stopping, running };
    for (const [name, phase] of Object.entries(phases)) {
        const expectedInListsFrom = name === "ordered" || name === "stopping" ? undefined : 1;
        server.runs.set(name, {
            name,
            phase,
            expectedInListsFrom,
            step: { demand: { cpu: 1, memory: 1, accelerators: 0 } },
            entry: { id: "a", progress: undefined },
            position: {},
            bootId: "i-1@7",
        } as unknown as session.ActiveRun);
    }
    created.start();
    await new Promise(resolve => setTimeout(resolve, 20));
    created.stop();
    assert.is(server.bootedAt, 8);
    assert.equal([...server.runs.keys()], ["ordered", "stopping"]);
});

suite("ends of a new boot are acknowledged unread although a start's response shows its clock", async () => {
    const events: string[] = [];
    const end = [3, "a.0.0.0", 1, "done", ""];
    const lists = [
        { ClockMs: 90_000, born: 7, Running: [], Finished: [end] },
        { ClockMs: 90, born: 8, Running: [], Finished: [[1, "b.0.0.0", 1, "done", ""]] },
    ];
    const shared = {
        termStartedAt: 0,
        epoch: 1,
        settings: { bounds: { maxLease } },
        clock: { monotonic: () => performance.now(), wall: () => Date.now() },
        log: { info: ignore, warn: (event: string) => events.push(event) },
        schedulePass: ignore,
        lateness: () => 0,
        mayExtendLeases: () => true,
        jobs: { entries: new Map() },
        writer: {
            add: ignore,
            markDirty: ignore,
            addToNextBatch: ignore,
            flush: async () => {
                await runs.start(server, run);
                return true;
            },
        },
        serverCalls: {
            send: (_address: string, call: platform.Call) => {
                const response = call.path.endsWith("hold") ? lists.shift() : { ClockMs: 40 };
                return response === undefined
                    ? new Promise(() => {})
                    : Promise.resolve(neverthrow.ok({ status: 200, body: Buffer.from(JSON.stringify(response)) }));
            },
        },
    } as unknown as context.CoordinatorContext;
    const runs = new runManager.RunManager({
        shared,
        registry: { active: new Map() },
        onStartAnswered: ignore,
    } as unknown as runManager.RunManagerOptions);
    const created = new fleet.Fleet(shared, {
        onLists: (one, answer, sentAt) => runs.applyLists(one, answer, sentAt),
        onCrash: ignore,
        onRebooted: (one, sentAt) => runs.endEarlierBoot(one, sentAt),
        onRunsLost: ignore,
    }, new Map([["i-1", { bootedAt: 7, leaseEnd: undefined }]]));
    created.applyRecord({ key: "i-1", value: Buffer.from(JSON.stringify(registration)) });
    const server = created.sessions.get("i-1")!;
    const run = {
        name: "b.0.0.0/1",
        runNumber: 1,
        phase: session.RunPhase.planned,
        step: { demand: { cpu: 1, memory: 1, accelerators: 0 } },
        entry: { id: "b", job: { payload: "" }, progress: undefined },
        position: { occurrence: 0, step: 0, index: 0 },
        bootId: "i-1@7",
        checkpoint: "",
    } as unknown as session.ActiveRun;
    server.runs.set(run.name, run);
    created.start();
    await new Promise(resolve => setTimeout(resolve, 30));
    created.stop();
    assert.is(server.bootedAt, 8);
    assert.ok(!events.includes("end-acknowledged-unread"), events.join());
});

suite("a boot that isn't in the ledger is taken for one that holds no lease of an earlier boot", () => {
    const bounds = { lease: 4500, maxLease };
    const answer = { bootedAt: 8, clock: 300 };
    const judge = (stored: Parameters<typeof serverBoots.judgeFirstAnswer>[0], holdsRuns = false) =>
        serverBoots.judgeFirstAnswer(stored, answer, holdsRuns, bounds).leaseEnd;
    assert.is(judge({ bootedAt: 7, leaseEnd: undefined }), 300 + maxLease);
    assert.is(judge({ bootedAt: 8, leaseEnd: 700 }), 700);
    assert.is(judge({ bootedAt: 8, leaseEnd: undefined }), undefined);
    // No coordinator has given the server a lease, unless an earlier version did.
    assert.is(judge(undefined), undefined);
    assert.is(judge(undefined, true), 300 + maxLease);
});

suite("a boot is given leases before it is stored, or its server stays in the ledger for good", async () => {
    const records: string[] = [];
    let storeAll = (_stored: boolean) => {};
    const writer = {
        add: ({ key, value }: { readonly key: string; readonly value: Uint8Array; }) =>
            records.push(`${key}${value.length === 0 ? " removed" : ""}`),
        flush: () => new Promise<boolean>(resolve => storeAll = resolve),
    };
    const boots = new serverBoots.ServerBoots(
        { writer, log: { info: ignore } } as unknown as context.CoordinatorContext,
        { lease: 4500, maxLease },
        new Map(),
    );
    boots.record("i-1", { bootedAt: 7, leaseEnd: 5000 });
    assert.not(boots.isStored("i-1", 7));
    storeAll(true);
    await Promise.resolve();
    assert.ok(boots.isStored("i-1", 7));
    boots.recordClock("i-1", { bootedAt: 7, clock: 5001 });
    assert.is(boots.find("i-1")?.leaseEnd, undefined);
    boots.record("i-1", { bootedAt: 8, leaseEnd: undefined });
    assert.not(boots.isStored("i-1", 8));
    boots.sweep(() => false, 0);
    boots.sweep(() => false, 10_000);
    assert.equal(records, ["s:i-1", "s:i-1", "s:i-1"]);
    boots.sweep(() => false, 20_000);
    assert.equal(records.at(-1), "s:i-1 removed");
});

suite.run();
