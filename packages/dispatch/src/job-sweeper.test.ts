/** Jobs are removed from the store without a moment at which another coordinator would take one for new. */
import * as httpCalls from "@catkinwharf/http-calls";
import * as jobState from "@catkinwharf/job-state";
import * as jobTesting from "@catkinwharf/job-state/testing";
import * as timers from "node:timers/promises";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as jobSweeper from "./job-sweeper.js";
import * as testing from "./testing/context.js";
import * as memoryStore from "./testing/memory-store.js";
import * as virtualTime from "./testing/virtual-time.js";

const suite = uvu.suite("job sweeper");
const job = jobTesting.createJob();
/** Time in ms for the appends, and one in which an append without an answer is repeated. */
const settlingTime = 100;
const repeatTime = 1500;

/** A store with a settled job, and the sweeper of a coordinator that knows it. */
function createSweeper(topics: memoryStore.MemoryLog): jobSweeper.JobSweeper {
    const progress = jobState.createProgress(0);
    progress.status = jobState.JobStatus.completed;
    topics.append(jobState.submissionsTopic, [jobState.encodeJob(job)]);
    topics.append(jobState.ledgerTopic, [jobState.encodeProgress(job.id, progress)]);
    const store = new memoryStore.MemoryStore(topics, new virtualTime.VirtualTime(), () => true);
    const shared = testing.createContext(new httpCalls.HttpClient(), store, () => Date.now());
    const { key, value } = jobState.encodeJob(job);
    shared.jobs.applySubmission(key, value);
    shared.jobs.applyProgress(job.id, progress);
    return new jobSweeper.JobSweeper(shared, store);
}

suite(
    "a completed job runs again under the next coordinator, as the removal of its submission got no answer",
    async () => {
        const topics = new memoryStore.MemoryLog();
        const sweeper = createSweeper(topics);
        topics.holdsAppend = ({ topic }) => topic === jobState.submissionsTopic;
        void sweeper.sweep();
        await timers.setTimeout(settlingTime);
        sweeper.stop();
        assert.is(topics.listNewest(jobState.submissionsTopic).length, 1);
        assert.is(topics.listNewest(jobState.ledgerTopic).length, 1);
    },
);

suite(
    "a job is removed that was submitted after an earlier one of its ID, as a removal is carried out late",
    async () => {
        const topics = new memoryStore.MemoryLog();
        const sweeper = createSweeper(topics);
        let carryOut: (() => void) | undefined;
        topics.holdsAppend = ({ topic }, carryOutLate) => {
            const isHeld = topic === jobState.submissionsTopic && carryOut === undefined;
            carryOut ??= isHeld ? carryOutLate : undefined;
            return isHeld;
        };
        await sweeper.sweep();
        await sweeper.sweep();
        await timers.setTimeout(repeatTime);
        assert.is(topics.listNewest(jobState.submissionsTopic).length, 0);
        assert.is(topics.listNewest(jobState.ledgerTopic).length, 0);
        topics.append(jobState.submissionsTopic, [jobState.encodeJob(job)]);
        carryOut?.();
        sweeper.stop();
        assert.is(topics.listNewest(jobState.submissionsTopic).length, 1);
    },
);

suite.run();
