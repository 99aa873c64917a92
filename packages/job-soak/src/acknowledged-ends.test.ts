/** Ends of tasks that count as acknowledged in the servers' records, by which a soak is judged. */
import * as httpCalls from "@catkinwharf/http-calls";
import * as platform from "@catkinwharf/platform";
import * as platformStandIns from "@catkinwharf/platform-stand-ins";
import * as timers from "node:timers/promises";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("acknowledged ends");

/** Time in ms of a call, and of the lease that is too short for a late acknowledgement. */
const callTimeout = 2000;
const shortLease = 2000;

/** Runs a task of 50 ms, and acknowledges its end `pause` ms after its start. */
async function acknowledgeAfter(pause: number, lease: number): Promise<platformStandIns.RunRecord> {
    const history: platformStandIns.RunRecord[] = [];
    const server = new platformStandIns.ServerStandIn("i-1", history);
    await server.start();
    const client = new httpCalls.HttpClient();
    const renew = async (acknowledgedEnd: number) => {
        const call = platform.serverCalls.createLeaseRenewalCall("i-1", {
            fencingToken: 1,
            acknowledgedEnd,
            leaseEnd: undefined,
            wait: 0,
        });
        const answer = await client.send(server.address, call, callTimeout);
        return platform.serverCalls.decodeLeaseRenewal(answer._unsafeUnwrap());
    };
    const first = await renew(0);
    assert.is(first.kind, "lists");
    const start = platform.serverCalls.createStartCall("i-1", {
        task: { jobId: "00000000000000aa", occurrence: 0, step: 0, index: 0 },
        run: 1,
        payload: JSON.stringify({ duration: 50 }),
        leaseEnd: (first.kind === "lists" ? first.clock : 0) + lease,
        fencingToken: 1,
        checkpoint: "",
        ticket: undefined,
    });
    await client.send(server.address, start, callTimeout);
    await timers.setTimeout(pause);
    await renew(1);
    client.closeConnections(server.address);
    server.crash();
    return history[0]!;
}

suite("an end that is acknowledged under the lease counts", async () => {
    const run = await acknowledgeAfter(200, 30_000);
    assert.is(run.how, "done");
    assert.ok(run.acknowledgedAt !== undefined);
});

suite("an end that is acknowledged after the lease has lapsed doesn't count", async () => {
    const run = await acknowledgeAfter(shortLease + 500, shortLease);
    assert.is(run.how, "done");
    assert.is(run.acknowledgedAt, undefined);
});

suite.run();
