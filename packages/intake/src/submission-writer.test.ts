/** Submissions that arrive together are stored in appends that the store takes. */
import * as jobState from "@catkinwharf/job-state";
import * as jobTesting from "@catkinwharf/job-state/testing";
import * as platform from "@catkinwharf/platform";
import * as storeClient from "@catkinwharf/store";
import * as neverthrow from "neverthrow";
import * as timers from "node:timers/promises";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as intake from "./index.js";

const suite = uvu.suite("submission writer");
const limits: platform.settings.StoreLimits = { appendSize: 100_000, recordSize: 20_000 };
/** Time in ms after which a write that waits for another one would still wait. */
const patience = 500;

function createWrite(record: jobState.KeyedRecord, deadline: number): intake.CallerWrite {
    return { record, deadline, appliesAtOnce: true, isCancelled: () => false };
}

suite("callers are refused because the jobs that others submit at the time exceed the size of an append", async () => {
    let appends = 0;
    const writer = new intake.SubmissionWriter({
        store: {
            append: (_, records) => {
                appends += 1;
                const size = records.reduce((sum, record) => sum + platform.storeCalls.measureRecord(record), 0);
                const fault = storeClient.StoreFault.refused;
                return Promise.resolve(
                    size > limits.appendSize
                        ? neverthrow.err({ layer: "store", fault, reason: "status 413" })
                        : neverthrow.ok({ kind: "stored", offset: 0, end: 1 }),
                );
            },
        },
        storeLimits: limits,
        jobs: new jobState.JobTable(),
        monotonicNow: () => performance.now(),
        isStoreUnavailable: () => false,
    });
    const deadline = performance.now() + 2000;
    const outcomes = await Promise.all(Array.from({ length: 20 }, (_, i) => {
        const id = i.toString(16).padStart(16, "0");
        const record = jobState.encodeJob(jobTesting.createJob({ id, payload: "x".repeat(15_000) }));
        return writer.write(createWrite(record, deadline));
    }));
    assert.equal(outcomes, outcomes.map(() => intake.WriteOutcome.stored));
    assert.ok(appends < outcomes.length, `${appends} appends`);
});

suite("a submission that comes as a batch ends isn't stored until another one comes", async () => {
    const writer = new intake.SubmissionWriter({
        store: { append: () => Promise.resolve(neverthrow.ok({ kind: "stored", offset: 0, end: 1 })) },
        storeLimits: limits,
        jobs: new jobState.JobTable(),
        monotonicNow: () => performance.now(),
        isStoreUnavailable: () => false,
    });
    const record = jobState.encodeJob(jobTesting.createJob());
    const deadline = performance.now() + patience;
    const second = writer.write(createWrite(record, deadline))
        .then(() => writer.write(createWrite(record, deadline)));
    assert.is(await Promise.race([second, timers.setTimeout(patience, "waiting")]), intake.WriteOutcome.stored);
});

suite("a submission is sent once more, or for the first time, after its job was cancelled", async () => {
    for (const sentBefore of [true, false]) {
        let isCancelled = !sentBefore;
        let appends = 0;
        const writer = new intake.SubmissionWriter({
            store: {
                append: () => {
                    appends += 1;
                    isCancelled = true;
                    const fault = storeClient.StoreFault.unknown;
                    return Promise.resolve(neverthrow.err({ layer: "store", fault, reason: "no answer" }));
                },
            },
            storeLimits: limits,
            jobs: new jobState.JobTable(),
            monotonicNow: () => performance.now(),
            isStoreUnavailable: () => false,
        });
        const record = jobState.encodeJob(jobTesting.createJob());
        const write = { ...createWrite(record, performance.now() + patience), isCancelled: () => isCancelled };
        assert.is(await writer.write(write), intake.WriteOutcome.cancelled);
        assert.is(appends, sentBefore ? 1 : 0);
    }
});

suite("a submission is sent after its caller's time, as the process was paused", async () => {
    let now = 0;
    let appends = 0;
    const writer = new intake.SubmissionWriter({
        store: {
            append: () => {
                appends += 1;
                now += 20_000;
                return Promise.resolve(neverthrow.ok({ kind: "stored", offset: 0, end: 1 }));
            },
        },
        storeLimits: limits,
        jobs: new jobState.JobTable(),
        monotonicNow: () => now,
        isStoreUnavailable: () => false,
    });
    const record = jobState.encodeJob(jobTesting.createJob());
    const outcomes = [writer.write(createWrite(record, 3000)), writer.write(createWrite(record, 3000))];
    assert.equal(await Promise.all(outcomes), [intake.WriteOutcome.stored, intake.WriteOutcome.refused]);
    assert.is(appends, 1);
});

suite.run();
