/** Full queues, with real processes: queueing by urgency, early refusal, and callers that disconnect while waiting. */
import * as bench from "@catkinwharf/bench";
import * as testUtils from "@catkinwharf/test-utils";
import * as undici from "undici";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const seed = 1;
const suite = uvu.suite(`overload (seed ${seed})`);
const answered = ["answered 200"];
/** Number of calls that are kept waiting or running to fill the queue. */
const fillingCallers = 150;
/** Maximum time in ms until the queue has the expected length. */
const queueTimeoutMs = 30_000;
const pollIntervalMs = 20;

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
        await bench.callBatch(session, { count: 40, concurrency: 8, runMs: 500 });
        await withFilledQueue(session, 100, { runMs: 500, urgency: 6, timeoutMs: 30_000 }, async () => {
            const deadlineOptions = { count: 1, concurrency: 1, runMs: 500, timeoutMs: 3_000 };
            const highUrgency = bench.callBatch(session, { ...deadlineOptions, urgency: 1 });
            const lowUrgency = await bench.callBatch(session, { ...deadlineOptions, urgency: 7 });
            assert.equal(bench.listFinalOutcomes(lowUrgency), ["not-run deadline-too-short"]);
            assert.equal(bench.listFinalOutcomes(await highUrgency), answered);
        });
    }));

suite("frees the queue places of callers that disconnect", () =>
    runSmallSession(async session => {
        await bench.callBatch(session, { count: 100, concurrency: 8 });
        for (let round = 0; round < 2; round++) {
            await abandonCalls(session, 150);
            await waitForQueue(session, queued => queued === 0);
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

/**
 * Calls `use` while at least `count` requests are queued, and asserts that all calls that queue there are answered. Each
 * is followed by another, because a fixed number could be answered faster than it is sent.
 */
async function withFilledQueue(
    session: bench.Session,
    count: number,
    options: Pick<bench.BatchOptions, "runMs" | "timeoutMs" | "urgency">,
    use: () => Promise<void>,
): Promise<void> {
    let isDone = false;
    // A kept connection may be closed as idle before a slow caller sends its next call on it.
    const fields = { connection: "close" };
    const callUntilDone = async (): Promise<void> => {
        while (!isDone) {
            const calls = await bench.callBatch(session, { ...options, count: 1, concurrency: 1, fields });
            assert.equal(bench.listFinalOutcomes(calls), answered);
        }
    };
    const filling = Promise.all(Array.from({ length: fillingCallers }, callUntilDone));
    try {
        await Promise.race([filling, waitForQueue(session, queued => queued >= count)]);
        await use();
    }
    finally {
        isDone = true;
    }
    await filling;
}

/** Waits until the number of queued requests satisfies a condition; rejects after `queueTimeoutMs`. */
async function waitForQueue(session: bench.Session, isReached: (queued: number) => boolean): Promise<void> {
    const timeoutAt = performance.now() + queueTimeoutMs;
    for (;;) {
        const samples = await bench.readSamples(session.running.entries[0]!);
        const queued = bench.sumSamples(samples, "catkinwharf_requests_queued");
        if (isReached(queued)) {
            return;
        }
        if (performance.now() > timeoutAt) {
            throw new Error(`timed out waiting for ${isReached.toString()}; ${queued} requests are queued`);
        }
        await new Promise(resolve => setTimeout(resolve, pollIntervalMs));
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
    await waitForQueue(session, queued => queued >= 50);
    await agent.destroy();
    await Promise.all(sent);
}

suite.run();
