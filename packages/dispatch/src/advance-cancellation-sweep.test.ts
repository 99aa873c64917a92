/** Cancellations of unknown jobs are removed in time, but not before a late submission is without effect. */
import * as jobState from "@catkinwharf/job-state";
import * as jobTesting from "@catkinwharf/job-state/testing";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as advanceCancellationSweep from "./advance-cancellation-sweep.js";

const suite = uvu.suite("advance cancellation sweep");
const job = jobTesting.createJob({ id: "00000000000000aa" });
const time = jobState.advanceCancellationTime;

function cancel(jobs: jobState.JobTable, cancelledAt = 1): void {
    const { key, value } = jobState.encodeAdvanceCancellation({
        id: job.id,
        queue: job.queue,
        organisation: undefined,
        cancelledAt,
    });
    jobs.applySubmission(key, value);
}

function submit(jobs: jobState.JobTable): void {
    const { key, value } = jobState.encodeJob(job);
    jobs.applySubmission(key, value);
}

suite("a cancellation of a job that is never stored stays in memory and in the store", () => {
    const jobs = new jobState.JobTable();
    const sweep = new advanceCancellationSweep.AdvanceCancellationSweep();
    cancel(jobs);
    assert.equal(sweep.listDue(jobs, 1000), []);
    assert.equal(sweep.listDue(jobs, 1000 + time - 1), []);
    const due = sweep.listDue(jobs, 1000 + time);
    assert.is(due.length, 1);
    const { key, value } = jobState.encodeTombstone(due[0]!);
    jobs.applySubmission(key, value);
    assert.is(jobs.advanceCancellations.size, 0);
    assert.equal(sweep.listDue(jobs, 9 * time), []);
    submit(jobs);
    assert.is(jobs.findStatus(job.id), jobState.JobStatus.queued);
});

suite("a cancellation that is stored again is removed by the time of the first one", () => {
    const jobs = new jobState.JobTable();
    const sweep = new advanceCancellationSweep.AdvanceCancellationSweep();
    cancel(jobs);
    sweep.listDue(jobs, 0);
    cancel(jobs, 2);
    assert.equal(sweep.listDue(jobs, time), []);
    assert.is(sweep.listDue(jobs, 2 * time).length, 1);
});

suite("a cancelled job is new to a successor, as its cancellation is removed before its end is stored", () => {
    const jobs = new jobState.JobTable();
    const sweep = new advanceCancellationSweep.AdvanceCancellationSweep();
    cancel(jobs);
    submit(jobs);
    sweep.listDue(jobs, 0);
    assert.equal(sweep.listDue(jobs, 10 * time), []);
    const progress = jobState.createProgress(0);
    progress.status = jobState.JobStatus.cancelled;
    jobs.applyProgress(job.id, progress);
    assert.is(sweep.listDue(jobs, 10 * time).length, 1);
});

suite.run();
