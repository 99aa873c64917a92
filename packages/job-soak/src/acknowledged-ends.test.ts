/** Ends of tasks that count as acknowledged in the servers' records, by which a soak is judged. */
import * as platformStandIns from "@catkinwharf/platform-stand-ins";
import * as timers from "node:timers/promises";
import * as undici from "undici";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("acknowledged ends");

/** Runs a task of 50 ms, and acknowledges its end `pause` ms after its start. */
async function acknowledgeAfter(pause: number, lease: number): Promise<platformStandIns.RunRecord> {
    const history: platformStandIns.RunRecord[] = [];
    const server = new platformStandIns.ServerStandIn("i-1", history);
    await server.start();
    const send = async (path: string, body: object) => {
        const response = await undici.request(`http://${server.address}${path}`, {
            method: "POST",
            headers: { "x-expected-instance": "i-1" },
            body: JSON.stringify({ FencingToken: 1, ...body }),
        });
        return await response.body.json() as { readonly ClockMs: number; };
    };
    const { ClockMs } = await send("/-/hold", {});
    const start = { Task: "a.0.0.0", Run: 1, Spec: JSON.stringify({ duration: 50 }), UntilMs: ClockMs + lease };
    await send("/-/run-start", start);
    await timers.setTimeout(pause);
    await send("/-/hold", { AckCursor: 1 });
    server.crash();
    return history[0]!;
}

suite("an end that is acknowledged under the lease counts", async () => {
    const run = await acknowledgeAfter(200, 30_000);
    assert.is(run.how, "done");
    assert.ok(run.acknowledgedAt !== undefined);
});

suite("an end that is acknowledged after the lease has lapsed doesn't count", async () => {
    const run = await acknowledgeAfter(2500, 2000);
    assert.is(run.how, "done");
    assert.is(run.acknowledgedAt, undefined);
});

suite.run();
