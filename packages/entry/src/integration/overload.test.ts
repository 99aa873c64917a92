/** Full queues, with real processes: queueing by urgency, early refusal, and callers that disconnect while waiting. */
import * as bench from "@catkinwharf/bench";
import * as testUtils from "@catkinwharf/test-utils";
import * as undici from "undici";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const seed = 1;
const suite = uvu.suite(`overload (seed ${seed})`);
const answered = ["answered 200"];

/** Runs a test with one entry instance and two backend servers of four slots. */
function runSmallSession(use: (session: bench.Session) => Promise<void>): Promise<void> {
    const small = testUtils.createSmallDeployment(1);
    const deployment = {
        ...small,
        availabilityZones: small.availabilityZones.slice(0, 1),
        services: small.services.slice(0, 1),
        spareInstances: 0,
    };
    return bench.runSession({ launch: { deployment }, seed, maxAttempts: 1 }, use);
}

suite("refuses requests that would be late, and runs urgent ones first", () =>
    runSmallSession(async session => {
        await bench.callBatch(session, { count: 40, concurrency: 8, runMs: 200 });
        const filling = bench.callBatch(session, { count: 150, concurrency: 150, runMs: 200, urgency: 6 });
        await waitForQueue(session, 100);
        const deadlineOptions = { count: 1, concurrency: 1, runMs: 200, timeoutMs: 1_500 };
        const highUrgency = bench.callBatch(session, { ...deadlineOptions, urgency: 1 });
        const lowUrgency = await bench.callBatch(session, { ...deadlineOptions, urgency: 7 });
        assert.equal(bench.listFinalOutcomes(lowUrgency), ["not-run deadline-too-short"]);
        assert.equal(bench.listFinalOutcomes(await highUrgency), answered);
        assert.equal(bench.listFinalOutcomes(await filling), answered);
    }));

suite("frees the queue places of callers that disconnect", () =>
    runSmallSession(async session => {
        await bench.callBatch(session, { count: 100, concurrency: 8 });
        for (let round = 0; round < 2; round++) {
            await abandonCalls(session, 150);
            await waitForQueue(session, 0);
        }
        assert.ok(await bench.readCounter(session.running, "requests", "not-run:caller-gone") > 0);
        const calls = await bench.callBatch(session, { count: 32, concurrency: 8, method: "POST" });
        assert.equal(bench.listFinalOutcomes(calls), answered);
        const status = await bench.createOperatorClient(session.running).readStatus();
        assert.is(status.pools[0]?.unhealthy, 0);
    }));

suite(
    "counts no server fault for runs that outlast their deadline, and keeps their slots occupied until they end",
    () =>
        runSmallSession(async session => {
            await bench.callBatch(session, { count: 40, concurrency: 8, runMs: 100 });
            const deadlineOptions = { runMs: 700, timeoutMs: 400 };
            const calls = await bench.callBatch(session, {
                count: 32,
                concurrency: 8,
                method: "POST",
                ...deadlineOptions,
            });
            assert.ok(bench.listFinalOutcomes(calls).includes("unknown backend-server-silent"));
            assert.is(await bench.readCounter(session.running, "server_faults", ""), 0);
            const status = await bench.createOperatorClient(session.running).readStatus();
            assert.is(status.pools[0]?.unhealthy, 0);
        }),
);

/** Waits until at least `count` requests are queued, or until none is if `count` is 0. */
async function waitForQueue(session: bench.Session, count: number): Promise<void> {
    for (;;) {
        const samples = await bench.readSamples(session.running.entries[0]!);
        const queued = bench.sumSamples(samples, "catkinwharf_requests_queued");
        if (count === 0 ? queued === 0 : queued >= count) {
            return;
        }
    }
}

/** Sends calls, waits until some of them are queued, and closes all connections. */
async function abandonCalls(session: bench.Session, count: number): Promise<void> {
    const agent = new undici.Agent({ connections: count });
    const url = `${session.running.entries[0]!.callerUrl}/v1/services/${session.service(0).name}/wave`;
    const sent = Array.from(
        { length: count },
        () =>
            undici.request(url, { dispatcher: agent, headers: { "stand-in-service-ms": "1000" } }).catch(() =>
                undefined
            ),
    );
    await waitForQueue(session, 50);
    await agent.destroy();
    await Promise.all(sent);
}

suite.run();
