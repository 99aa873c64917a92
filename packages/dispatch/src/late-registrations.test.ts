/** An entry that an earlier boot of a server wrote late says nothing about the runs of the boot that is known. */
import type * as httpCalls from "@catkinwharf/http-calls";
import * as testing from "@catkinwharf/job-state/testing";
import * as neverthrow from "neverthrow";
import * as timers from "node:timers/promises";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import type * as context from "./context.js";
import * as fleet from "./fleet.js";
import type * as session from "./server-session.js";

const suite = uvu.suite("late registrations");
const ignore = () => undefined;
const step = testing.createStep();
/** Unix times in ms of two boots of the server. */
const earlierBoot = 7;
const currentBoot = 8;
/** Another server has taken the address of the earlier boot. */
const earlierAddress = "127.0.0.1:7";
const currentAddress = "127.0.0.1:8";
const lists = JSON.stringify({ ClockMs: 1, born: currentBoot, Running: [], Finished: [] });

function register(target: fleet.Fleet, bootedAt: number, address: string): session.ServerSession {
    const entry = {
        Service: "dispatch",
        Address: address,
        State: "ready",
        Capacity: { Cpu: 4000, MemMb: 1000 },
        Labels: [],
        born: bootedAt,
    };
    target.applyRecord({ key: "i-1", value: Buffer.from(JSON.stringify(entry)) });
    return target.sessions.get("i-1")!;
}

suite("the runs of a server count as lost, as another one has the address of its earlier boot", async () => {
    const addresses = new Set<string>();
    const ends: string[] = [];
    const warnings: string[] = [];
    const send: httpCalls.HttpClient["send"] = async address => {
        addresses.add(address);
        await timers.setTimeout(1);
        return neverthrow.ok(
            address === currentAddress
                ? { status: 200, body: Buffer.from(lists) }
                : { status: 421, body: new Uint8Array() },
        );
    };
    const shared = {
        termStartedAt: 0,
        settings: { bounds: { maxLease: 5000 } },
        clock: { monotonic: () => 1, wall: () => 1 },
        log: { info: ignore, warn: (event: string) => void warnings.push(event) },
        schedulePass: ignore,
        mayExtendLeases: () => true,
        lateness: () => 0,
        writer: { add: ignore, flush: () => Promise.resolve(true) },
        serverCalls: { send, closeConnections: ignore },
    };
    const target = new fleet.Fleet(shared as unknown as context.CoordinatorContext, {
        onLists: ignore,
        onCrash: ignore,
        onRebooted: ignore,
        onRunsLost: (_server, _runs, how) => void ends.push(how),
    });
    const server = register(target, currentBoot, currentAddress);
    target.start();
    await timers.setTimeout(50);
    assert.ok(server.reachable);
    const run = { name: "a", step, phase: "running", entry: { id: "a" }, bootId: server.bootId };
    server.runs.set("a", run as unknown as session.ActiveRun);
    register(target, earlierBoot, earlierAddress);
    await timers.setTimeout(50);
    register(target, currentBoot, currentAddress);
    await timers.setTimeout(500);
    target.stop();
    assert.ok(addresses.has(earlierAddress));
    assert.ok(server.reachable);
    assert.not(warnings.includes("poll-failed"));
    assert.equal(ends, []);
});

suite.run();
