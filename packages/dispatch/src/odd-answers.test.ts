/** Guards against servers that are never asked again, or whose lease never expires, after a response that can't be used. */
import * as neverthrow from "neverthrow";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import type * as context from "./context.js";
import * as fleet from "./fleet.js";
import type * as session from "./server-session.js";

const suite = uvu.suite("odd answers");
const ignore = () => undefined;

/** Creates a fleet with a reachable server, whose first call gets this response and whose later ones get none. */
function createFleet(body: string, onLists: fleet.FleetHandlers["onLists"] = ignore) {
    let callCount = 0;
    const shared = {
        termStartedAt: 0,
        settings: { bounds: { maxLease: 5000 } },
        clock: { monotonic: () => 1, wall: () => 1 },
        log: { info: ignore, warn: ignore },
        schedulePass: ignore,
        mayExtendLeases: () => true,
        lateness: () => 0,
        writer: { add: ignore, flush: () => Promise.resolve(true) },
        serverCalls: {
            send: () => {
                callCount += 1;
                return callCount === 1
                    ? Promise.resolve(neverthrow.ok({ status: 200, body: Buffer.from(body) }))
                    : new Promise(() => {});
            },
        },
    };
    const created = new fleet.Fleet(shared as unknown as context.CoordinatorContext, {
        onLists,
        onCrash: ignore,
        onRebooted: ignore,
        onRunsLost: ignore,
    });
    const registration = {
        Service: "dispatch",
        Address: "127.0.0.1:1",
        State: "ready",
        Capacity: { Cpu: 4000, MemMb: 1000 },
        born: 7,
    };
    created.applyRecord({ key: "i-1", value: Buffer.from(JSON.stringify(registration)) });
    const server = created.sessions.get("i-1")!;
    server.reachable = true;
    server.bootedAt = 7;
    return { fleet: created, server, countCalls: () => callCount };
}

/** Lets the fleet handle the response and retry. */
async function poll(target: fleet.Fleet): Promise<void> {
    target.start();
    await new Promise(resolve => setTimeout(resolve, 400));
    target.stop();
}

const bodies = [
    "",
    "ready",
    "[]",
    "null",
    "{}",
    '{"ClockMs":-1,"born":7}',
    '{"ClockMs":1e300,"born":7}',
    '{"ClockMs":1e400,"born":7}',
    '{"ClockMs":"1","born":7}',
    '{"ClockMs":1,"born":"7"}',
    '{"ClockMs":1,"born":7.5}',
];
for (const body of bodies) {
    suite(`a server that responds with ${body || "nothing"} counts as reachable or is never asked again`, async () => {
        const { fleet: target, server, countCalls } = createFleet(body);
        server.runs.set("a", { phase: "running" } as unknown as session.ActiveRun);
        await poll(target);
        assert.is(countCalls(), 2);
        assert.not(server.reachable);
        assert.is(server.clock.sample, undefined);
        assert.is(server.bootedAt, 7);
        assert.is(server.runs.size, 1);
    });
}

suite("a server whose lists can't be applied counts as reachable or is never asked again", async () => {
    const { fleet: target, server, countCalls } = createFleet('{"ClockMs":1,"born":7}', () => {
        throw new RangeError("not applicable");
    });
    await poll(target);
    assert.is(countCalls(), 2);
    assert.not(server.reachable);
});

suite.run();
