/** Guards against entries of other writers that are taken for a server, or that disturb the servers which are known. */
import * as httpCalls from "@catkinwharf/http-calls";
import * as testing from "@catkinwharf/job-state/testing";
import * as scheduling from "@catkinwharf/scheduling";
import * as neverthrow from "neverthrow";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import type * as context from "./context.js";
import * as fleet from "./fleet.js";
import type * as session from "./server-session.js";

const suite = uvu.suite("odd entries");
const ignore = () => undefined;
const stepKey = "00000000000000aa.0.0";
const step = testing.createStep({ demand: { cpu: 1500, memory: 100, accelerators: 0 } });
const complete = {
    Service: "dispatch",
    Address: "127.0.0.1:1",
    State: "ready",
    Capacity: { Cpu: 4000, MemMb: 1000 },
    Labels: ["a", "r1-1"],
    born: 7,
};

interface Recorder {
    readonly fleet: fleet.Fleet;
    /** Addresses to which calls were sent. */
    readonly addresses: string[];
    /** Addresses whose connections were closed. */
    readonly closed: string[];
    readonly warnings: string[];
    /** How runs were ended. */
    readonly ends: string[];
}

/** Body of a response; `undefined` for none, an error for a call that fails at once. */
type Response = string | undefined | Error;

/** Creates a fleet whose calls get what `respond` returns for the number of calls so far. */
function createFleet(
    respond: (callCount: number) => Response = () => undefined,
): Recorder {
    const addresses: string[] = [];
    const closed: string[] = [];
    const warnings: string[] = [];
    const ends: string[] = [];
    const shared = {
        termStartedAt: 0,
        settings: { bounds: { maxLease: 5000 } },
        clock: { monotonic: () => 1, wall: () => 1 },
        log: { info: ignore, warn: (event: string) => void warnings.push(event) },
        schedulePass: ignore,
        mayExtendLeases: () => true,
        lateness: () => 0,
        writer: { add: ignore, flush: () => Promise.resolve(true) },
        serverCalls: {
            send: (address: string) => {
                addresses.push(address);
                const response = respond(addresses.length);
                if (response === undefined) {
                    return new Promise(() => {});
                }
                return Promise.resolve(
                    response instanceof Error
                        ? neverthrow.err({ reason: response.message })
                        : neverthrow.ok({ status: 200, body: Buffer.from(response) }),
                );
            },
            closeConnections: (address: string) => void closed.push(address),
        },
    };
    const created = new fleet.Fleet(shared as unknown as context.CoordinatorContext, {
        onLists: ignore,
        onCrash: ignore,
        onRebooted: ignore,
        onRunsLost: (_server, _runs, how) => void ends.push(how),
    });
    return { fleet: created, addresses, closed, warnings, ends };
}

function write(target: fleet.Fleet, key: string, value: string | Readonly<Record<string, unknown>>): void {
    const text = typeof value === "string" ? value : JSON.stringify({ ...complete, ...value });
    target.applyRecord({ key, value: Buffer.from(text) });
}

/** Registers a server and makes it eligible, as its response does. */
function register(target: fleet.Fleet): session.ServerSession {
    write(target, "i-1", {});
    const server = target.sessions.get("i-1")!;
    server.reachable = true;
    server.bootedAt = 7;
    target.refreshLoads();
    return server;
}

const oddEntries: Readonly<Record<string, string | Readonly<Record<string, unknown>>>> = {
    "a port out of range": { Address: "127.0.0.1:99999" },
    "a negative port": { Address: "127.0.0.1:-4" },
    "no port": { Address: "127.0.0.1" },
    "a host name": { Address: "worker.test:8080" },
    "a capacity too large": { Capacity: { Cpu: 1e300, MemMb: 1000 } },
    "a negative capacity": { Capacity: { Cpu: -5, MemMb: 1000 } },
    "a state that every object inherits": { State: "constructor" },
    "a very deeply nested field": `{"Service":${"[".repeat(100_000)}${"]".repeat(100_000)}}`,
    "an unreadable value": "{",
};

for (const [name, value] of Object.entries(oddEntries)) {
    suite(`an entry with ${name} becomes a server`, () => {
        const { fleet: target, warnings } = createFleet();
        write(target, "i-odd", value);
        assert.is(target.sessions.size, 0);
        assert.equal(warnings, ["server-entry-unreadable"]);
    });

    suite(`a known server whose entry turns into one with ${name} is called elsewhere or gets further tasks`, () => {
        const { fleet: target } = createFleet();
        const server = register(target);
        scheduling.occupy(server.load, step, stepKey);
        const { entry } = server;
        write(target, "i-1", value);
        assert.is(server.entry, entry);
        assert.not(server.load.acceptsTasks);
        assert.is(target.sessions.get("i-1"), server);
        write(target, "i-1", {});
        assert.ok(server.load.acceptsTasks);
        assert.is(server.load.freeCpu, 2500);
    });
}

suite("a server with an odd entry loses its runs although it responds", async () => {
    const lists = JSON.stringify({ ClockMs: 1, born: 7, Running: [], Finished: [] });
    const { fleet: target, addresses, ends } = createFleet(count => count < 20 ? lists : undefined);
    const server = register(target);
    server.runs.set("a", { name: "a", step } as unknown as session.ActiveRun);
    write(target, "i-1", { Address: "127.0.0.1:99999" });
    target.start();
    await new Promise(resolve => setTimeout(resolve, 20));
    target.stop();
    assert.is(addresses.length, 20);
    assert.equal([...new Set(addresses)], ["127.0.0.1:1"]);
    assert.equal(ends, []);
    assert.ok(server.reachable);
});

suite("the end of a session cuts the calls to another server at its address", async () => {
    const { fleet: target, closed } = createFleet(() => new Error("refused"));
    register(target);
    write(target, "i-2", {});
    write(target, "i-3", { Address: "127.0.0.1:3" });
    for (const key of ["i-2", "i-3"]) {
        target.applyRecord({ key, value: new Uint8Array() });
    }
    target.start();
    await new Promise(resolve => setTimeout(resolve, 400));
    target.stop();
    assert.equal([...target.sessions.keys()], ["i-1"]);
    assert.equal(closed, ["127.0.0.1:3"]);
});

suite("a call to an address that can't be called ends the process", async () => {
    const client = new httpCalls.HttpClient();
    const call = { method: "POST" as const, path: "/", headers: { "x-expected-instance": "i\n\u00e9" }, body: "{}" };
    for (const address of ["127.0.0.1:99999", "127.0.0.1:-4", "127.0.0.1:0", "", ":", "a b:1", "127.0.0.1:1"]) {
        assert.ok((await client.send(address, call, 1000)).isErr(), address);
    }
});

suite.run();
