/** End-to-end tests on real entry processes with entries of other writers among those of the backend servers. */
import * as platformStandIns from "@catkinwharf/platform-stand-ins";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("odd server entries");
const serversTopic = "keyed.servers";
let deployment: platformStandIns.StandInDeployment;
let count = 0;

suite.before.each(() => {
    deployment = new platformStandIns.StandInDeployment([{ name: "quotes", service: "dispatch" }]);
});
suite.after.each(() => deployment.stop());

const complete = {
    Service: "dispatch",
    Address: "127.0.0.1:1",
    Zone: "zone-a",
    State: "ready",
    Capacity: { Cpu: 4000, MemMb: 4000 },
    Labels: ["a", "r1-1"],
    born: 7,
};
const nested = `${"[".repeat(100_000)}${"]".repeat(100_000)}`;

/** Texts of odd entries by the ID under which they are written; the field `Address` is that of the entry replaced. */
function describeOddEntries(address = complete.Address): Readonly<Record<string, string | Uint8Array>> {
    const write = (fields: object) => JSON.stringify({ ...complete, Address: address, ...fields });
    return {
        "odd-nested": nested,
        "odd-nested-field": write({}).replace('["a","r1-1"]', nested),
        "odd-infinite": write({}).replace("4000", "1e400"),
        "odd-huge": write({ Capacity: { Cpu: 1e300, MemMb: 4000 } }),
        "odd-negative": write({ Capacity: { Cpu: -5, MemMb: 4000 } }),
        "odd-state": write({ State: "constructor" }),
        "odd-port": write({ Address: "127.0.0.1:99999" }),
        "odd-negative-port": write({ Address: "127.0.0.1:-4" }),
        "odd-no-port": write({ Address: "127.0.0.1" }),
        "odd-host": write({ Address: "worker.invalid:8080" }),
        "odd-type": write({ Address: { a: 1 } }),
        "odd-list": `[${write({})}]`,
        "odd-number": "1e400",
        "odd-null": "null",
        "odd-text": "{",
        "odd-bytes": new Uint8Array([0xff, 0xfe, 0x00]),
        ["__proto__"]: '{"__proto__":1}',
    };
}

function put(key: string, value: string | Uint8Array): void {
    deployment.store.put(serversTopic, key, Buffer.from(value));
}

async function submit(...steps: readonly platformStandIns.StepDescription[]): Promise<string> {
    count += 1;
    const jobPath = `/quotes/${count.toString(16).padStart(16, "0")}`;
    const script = steps.some(step => step.longRunning) ? {} : { duration: 20 };
    await deployment.waitFor(`${jobPath} is accepted`, async () => {
        const node = deployment.processes.find(({ child }) => child !== undefined)!;
        const body = platformStandIns.createJobBody(script, ...steps);
        return (await deployment.sendRequest(node, "POST", jobPath, body))?.status === 200;
    });
    return jobPath;
}

function waitForCompletion(jobPath: string): Promise<void> {
    return deployment.waitFor(`${jobPath} is completed`, async () => {
        const node = deployment.processes.find(({ child }) => child !== undefined)!;
        return (await deployment.sendRequest(node, "GET", jobPath))?.body.State === "completed";
    });
}

function listRuns(jobPath: string) {
    return deployment.machines.history.filter(run => run.task.startsWith(jobPath.slice("/quotes/".length)));
}

function countLines(event: string): number {
    return deployment.processes.flatMap(({ lines }) => lines).filter(line => line.includes(`"event":"${event}"`))
        .length;
}

/** Checks that no process has ended by itself or lost one of its loops. */
function assertNothingEnded(): void {
    assert.equal(["uncaught", "unhandled-rejection", "record-failed", "poll-failed"].map(countLines), [0, 0, 0, 0]);
    for (const { child } of deployment.processes) {
        assert.is(child?.exitCode ?? undefined, undefined);
    }
}

suite("odd entries end a process, become servers, or keep the entries after them from being read", async () => {
    await deployment.start(2, { dispatch: 2 });
    const odd = { ...describeOddEntries(), "odd id\n": JSON.stringify(complete) };
    for (const [key, value] of Object.entries(odd)) {
        put(key, value);
    }
    await waitForCompletion(await submit());
    await deployment.machines.addMachine("m-late", "dispatch");
    const spread = await submit({ tasks: 3, maxPerServer: 1, longRunning: true });
    await deployment.waitFor("a task runs on each server", () => listRuns(spread).length === 3);
    // A killed process loses the lines that it hasn't written yet.
    await deployment.waitFor("each odd entry is logged", () => {
        return countLines("server-entry-unreadable") === Object.keys(odd).length;
    });
    assertNothingEnded();

    const before = deployment.findCoordinator()!;
    await deployment.kill(before);
    await deployment.waitFor("the other process coordinates", () => {
        const coordinator = deployment.findCoordinator();
        return coordinator !== undefined && coordinator !== before;
    });
    await waitForCompletion(await submit());
    const servers = deployment.findCoordinator()!.lines.find(line => line.includes('"event":"coordinating"'))!;
    assert.is((JSON.parse(servers) as { readonly servers: number; }).servers, 3);
    assert.is(listRuns(spread).length, 3);
    assert.is(countLines("server-entry-unreadable"), 2 * Object.keys(odd).length); // One of each coordinator.
    assert.equal(deployment.findDuplicateRuns(), []);
    assertNothingEnded();
});

suite("a server whose entry turns odd loses its runs or gets further tasks", async () => {
    await deployment.start(1, { dispatch: 1 });
    const machine = [...deployment.machines.machines.values()][0]!;
    const server = machine.server!;
    const lasting = await submit({ tasks: 1, longRunning: true });
    await deployment.waitFor("the task runs", () => listRuns(lasting).length === 1);
    const odd = Object.values(describeOddEntries(server.address));
    for (const value of odd) {
        put(server.id, value);
        await new Promise(resolve => setTimeout(resolve, 200)); // Longer than the time between two reads.
    }
    const waiting = await submit();
    await new Promise(resolve => setTimeout(resolve, 3500)); // Longer than a lease.
    assert.equal(listRuns(lasting).map(({ how }) => how), [undefined]);
    assert.is(listRuns(waiting).length, 0);
    assert.is(countLines("server-entry-unreadable"), odd.length);
    deployment.machines.resize(machine, machine.capacity);
    await waitForCompletion(waiting);
    assert.equal(listRuns(lasting).map(({ how }) => how), [undefined]);
    assert.equal(deployment.findDuplicateRuns(), []);
    assertNothingEnded();
});

suite.run();
