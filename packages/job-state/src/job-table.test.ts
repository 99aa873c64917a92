/** Guards against memory that grows with jobs whose records are never read. */
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

suite.run();
