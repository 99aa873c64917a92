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
        return writer.write(jobState.encodeJob(jobTesting.createJob({ id, payload: "x".repeat(15_000) })), deadline);
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
    const second = writer.write(record, deadline).then(() => writer.write(record, deadline));
    assert.is(await Promise.race([second, timers.setTimeout(patience, "waiting")]), intake.WriteOutcome.stored);
});

suite.run();
