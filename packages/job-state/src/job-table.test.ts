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

const scope = { id: job.id, queue: job.queue, organisation: undefined };

function applyAll(records: readonly jobState.KeyedRecord[]): jobState.JobTable {
    const table = new jobState.JobTable();
    records.forEach(({ key, value }) => table.applySubmission(key, value));
    return table;
}

suite("a job runs that was cancelled before its submission was stored, in whatever order the records are read", () => {
    const cancellation = jobState.encodeAdvanceCancellation({ ...scope, cancelledAt: 5 });
    for (const records of [[cancellation, jobState.encodeJob(job)], [jobState.encodeJob(job), cancellation]]) {
        const table = applyAll(records);
        assert.is(table.findStatus(job.id), jobState.JobStatus.cancelled);
        // It stays cancelled once the record is removed.
        table.applySubmission(cancellation.key, new Uint8Array());
        assert.is(table.advanceCancellations.size, 0);
        assert.is(table.findStatus(job.id), jobState.JobStatus.cancelled);
    }
});

suite("a cancellation of an unknown job holds for a job of another queue or organisation under its ID", () => {
    for (const other of [{ queue: "other" }, { organisation: "b" }, { queue: "other", organisation: "a" }]) {
        const table = applyAll([
            jobState.encodeAdvanceCancellation({ ...scope, organisation: "a", cancelledAt: 5 }),
            jobState.encodeJob({ ...job, ...other }),
        ]);
        assert.is(table.findStatus(job.id), jobState.JobStatus.queued);
    }
    // Each of two organisations has its own.
    const cancellations = ["a", "b"].map(organisation =>
        jobState.encodeAdvanceCancellation({ ...scope, organisation, cancelledAt: 5 })
    );
    const table = applyAll([...cancellations, jobState.encodeJob({ ...job, organisation: "b" })]);
    assert.is(table.advanceCancellations.size, 2);
    assert.is(table.findStatus(job.id), jobState.JobStatus.cancelled);
});

suite("cancellations of unknown jobs that were removed meanwhile are kept when the topic is read anew", () => {
    const cancellation = jobState.encodeAdvanceCancellation({ ...scope, cancelledAt: 5 });
    const table = applyAll([cancellation]);
    table.dropRemoved(new Set([cancellation.key]));
    assert.is(table.advanceCancellations.size, 1);
    table.dropRemoved(new Set());
    assert.is(table.advanceCancellations.size, 0);
});

suite.run();
