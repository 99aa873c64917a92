/** What reaches the next boot of a server stand-in, and what the boot before no longer answers. */
import * as httpCalls from "@catkinwharf/http-calls";
import * as platform from "@catkinwharf/platform";
import * as platformStandIns from "@catkinwharf/platform-stand-ins";
import * as timers from "node:timers/promises";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("silent restarts");

/** Times in ms. */
const callTimeout = 1000;
const darkTime = 150;
const lease = 2000;
const maxLease = 10_000;
/** Readings at which the clocks of two successive boots begin; a lease end of the first is far ahead of the second. */
const firstClocks: readonly number[] = [6_000_000, 4000];

let history: platformStandIns.RunRecord[];
let server: platformStandIns.ServerStandIn;
let client: httpCalls.HttpClient;

suite.before.each(async () => {
    history = [];
    const readings = [...firstClocks];
    server = new platformStandIns.ServerStandIn("i-1", history, () => readings.shift()!);
    server.maxLease = maxLease;
    await server.start();
    client = new httpCalls.HttpClient();
});
suite.after.each(() => {
    client.closeConnections(server.address);
    server.crash();
});

function renew(wait: number): ReturnType<httpCalls.HttpClient["send"]> {
    const call = platform.serverCalls.createLeaseRenewalCall("i-1", {
        fencingToken: 1,
        acknowledgedEnd: 0,
        leaseEnd: undefined,
        wait,
    });
    return client.send(server.address, call, wait + callTimeout);
}

async function readBoot(): Promise<{ readonly clock: number; readonly bootedAt: number | undefined; }> {
    const decoded = platform.serverCalls.decodeLeaseRenewal((await renew(0))._unsafeUnwrap());
    assert.is(decoded.kind, "lists");
    return decoded as Extract<typeof decoded, { readonly kind: "lists"; }>;
}

/** Starts a task that runs until it is stopped, under a lease meant for the first boot. */
function startTask(): ReturnType<httpCalls.HttpClient["send"]> {
    const call = platform.serverCalls.createStartCall("i-1", {
        task: { jobId: "00000000000000aa", occurrence: 0, step: 0, index: 0 },
        run: 1,
        payload: "{}",
        leaseEnd: firstClocks[0]! + lease,
        fencingToken: 1,
        checkpoint: "",
        ticket: undefined,
    });
    return client.send(server.address, call, callTimeout);
}

suite("a poll of the boot before gets an answer after a silent restart", async () => {
    await readBoot();
    const poll = renew(200);
    await timers.setTimeout(50);
    server.rebootSilently(darkTime);
    assert.ok((await poll).isErr());
});

suite("a call that arrives between two boots doesn't reach the next one", async () => {
    const before = await readBoot();
    server.rebootSilently(darkTime);
    const sentAt = performance.now();
    const answer = platform.serverCalls.decodeOrderResult((await startTask())._unsafeUnwrap());
    assert.is(answer.kind, "done");
    assert.ok(performance.now() - sentAt >= darkTime);
    const next = await readBoot();
    assert.ok(next.bootedAt !== before.bootedAt);
    assert.is(history.length, 1);
    assert.is(history[0]!.how, undefined);
});

suite("a call that is carried out late doesn't reach the next boot", async () => {
    server.findLateness = path => path === "/-/run-start" ? 200 : undefined;
    const start = startTask();
    await timers.setTimeout(50);
    server.rebootSilently(0);
    assert.ok((await start).isErr());
    assert.equal(server.runningTasks, ["00000000000000aa.0.0.0"]);
});

suite("runs survive a silent restart", async () => {
    await startTask();
    server.rebootSilently(darkTime);
    assert.is(history[0]!.how, "crashed");
    assert.equal(server.runningTasks, []);
});

suite("the clock of a boot begins where that of the boot before did", async () => {
    const before = await readBoot();
    assert.ok(before.clock >= firstClocks[0]!);
    server.rebootSilently(0);
    const next = await readBoot();
    assert.ok(next.clock >= firstClocks[1]! && next.clock < firstClocks[0]!);
    const [once, again] = [0, 1].map(() => platformStandIns.createFirstClocks());
    for (let i = 0; i < 3; i++) {
        assert.is(once!(), again!());
    }
});

suite.run();
