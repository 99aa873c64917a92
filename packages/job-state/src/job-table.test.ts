/** Guards against memory that grows with jobs whose records are never read, and jobs that count as over with runs. */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as jobState from "./index.js";
import * as testing from "./testing/index.js";

const suite = uvu.suite("job table");
const job = testing.createJob({ id: "00000000000000aa" });

suite("a request that no longer waits for a job's record stays in memory", async () => {
    const table = new jobState.JobTable();
    const first = new AbortController();
    void table.waitForJob(job.id, first.signal);
    const second = table.waitForJob(job.id, new AbortController().signal);
    assert.is(table.waitingCount, 2);
    first.abort();
    assert.is(table.waitingCount, 1);
    const { key, value } = jobState.encodeJob(job);
    table.applySubmission(key, value);
    assert.is((await second).id, job.id);
    assert.is(table.waitingCount, 0);
});

suite("a large job counts as over, as its runs are stored in parts of its progress", () => {
    const table = new jobState.JobTable();
    const { key, value } = jobState.encodeJob(job);
    table.applySubmission(key, value);
    const progress = jobState.createProgress(0);
    Object.assign(progress, { status: jobState.JobStatus.failed, parts: { size: 4, taskCount: 6 } });
    const history = jobState.getOrCreateHistory(jobState.getOrCreateOccurrence(progress, job, 0), 0);
    history.runs = [{ number: 1, server: "s1@0" }];
    const apply = () => {
        const taken = jobState.takeProgressRecords(job, progress, new Set(), 20_000);
        const decoded = jobState.decodeLedger(taken.job.key, taken.job.value);
        assert.ok(decoded?.kind === "progress");
        table.applyProgress(job.id, decoded.progress);
        return table.listShortenable().map(({ id }) => id);
    };
    assert.equal(apply(), []);
    history.runs = [];
    assert.equal(apply(), [job.id]);
});

suite.run();
