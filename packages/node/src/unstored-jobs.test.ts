/** Jobs that couldn't be stored reach the coordinator without their payloads, some at a time. */
import * as eventLog from "@catkinwharf/event-log";
import * as jobState from "@catkinwharf/job-state";
import * as testing from "@catkinwharf/job-state/testing";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as unstoredJobs from "./unstored-jobs.js";

const suite = uvu.suite("unstored jobs");

suite("jobs that are refused together go out in one report", async () => {
    const reports: string[][] = [];
    await new Promise<void>(resolve => {
        const collected = new unstoredJobs.UnstoredJobs({
            report: jobs => {
                reports.push(jobs.map(job => job.id));
                resolve();
                return Promise.resolve("a");
            },
            log: eventLog.silentEventLog,
        });
        collected.add(testing.createJob({ id: "1" }));
        collected.add(testing.createJob({ id: "2" }));
    });
    assert.equal(reports, [["1", "2"]]);
});

suite("a report leaves out payloads, and what isn't a job is skipped", () => {
    const job = testing.createJob({ payload: "secret" });
    const decoded = jobState.decodeUnstoredJobs(jobState.encodeUnstoredJobs([job]));
    assert.equal(decoded, [{ ...job, payload: "" }]);
    const malformed = jobState.encodeUnstoredJobs([{ id: 7 } as unknown as jobState.Job, job]);
    assert.is(jobState.decodeUnstoredJobs(malformed).length, 1);
    assert.equal(jobState.decodeUnstoredJobs(new Uint8Array([255, 1])), []);
});

suite.run();
