/** Jobs are removed from the store without a moment at which another coordinator would take one for new. */
import * as httpCalls from "@catkinwharf/http-calls";
import * as jobState from "@catkinwharf/job-state";
import * as jobTesting from "@catkinwharf/job-state/testing";
import * as platformTesting from "@catkinwharf/platform/testing";
import * as timers from "node:timers/promises";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import type * as context from "./context.js";
import * as jobSweeper from "./job-sweeper.js";
import * as testing from "./testing/context.js";
import * as memoryStore from "./testing/memory-store.js";
import * as virtualTime from "./testing/virtual-time.js";

const suite = uvu.suite("job sweeper");
const job = jobTesting.createJob();
const route: jobState.RouteTerms = {
    version: 1,
    service: "frontend",
    priority: 0,
    maxAttempts: 3,
    slackFactor: 4,
    latencyAllowance: 1000,
    advice: undefined,
};
/** Time in ms for the appends, and one in which an append without an answer is repeated. */
const settlingTime = 100;
const repeatTime = 1500;
/** Time in ms after which a settled job may be removed. */
const retention = 1.5 * testing.settings.bounds.status;

interface TestClock {
    monotonic: number;
    wall: number;
}

/** A store with settled jobs, and the sweeper of a coordinator that knows them; the clocks stand still. */
function createSweeper(
    topics: memoryStore.MemoryLog,
    clock: TestClock,
    mayExtendLeases = () => true,
    settled: readonly jobState.Job[] = [job],
): jobSweeper.JobSweeper {
    return createProcess(topics, clock, mayExtendLeases, settled).sweeper;
}

function createProcess(
    topics: memoryStore.MemoryLog,
    clock: TestClock = { monotonic: 0, wall: 0 },
    mayExtendLeases = () => true,
    settled: readonly jobState.Job[] = [job],
): { sweeper: jobSweeper.JobSweeper; shared: context.CoordinatorContext; } {
    const store = new memoryStore.MemoryStore(topics, new virtualTime.VirtualTime(), () => true);
    const shared = {
        ...testing.createContext(new httpCalls.HttpClient(), store, () => 0),
        clock: { monotonic: () => clock.monotonic, wall: () => clock.wall },
        mayExtendLeases,
    };
    for (const { id, ...fields } of settled) {
        const progress = jobState.createProgress(0);
        progress.status = jobState.JobStatus.completed;
        const record = jobState.encodeJob({ id, ...fields });
        topics.append(jobState.submissionsTopic, [record]);
        topics.append(jobState.ledgerTopic, [jobState.encodeProgress(id, progress)]);
        shared.jobs.applySubmission(record.key, record.value);
        shared.jobs.applyProgress(id, progress);
    }
    return { sweeper: new jobSweeper.JobSweeper(shared, store), shared };
}

/** The same, when the job is due to be removed by the next sweep. */
async function createDueSweeper(topics: memoryStore.MemoryLog): Promise<jobSweeper.JobSweeper> {
    const clock = { monotonic: 0, wall: 0 };
    const sweeper = createSweeper(topics, clock);
    await sweeper.sweep();
    clock.monotonic = clock.wall = retention;
    return sweeper;
}

suite(
    "a completed job runs again under the next coordinator, as the removal of its submission got no answer",
    async () => {
        const topics = new memoryStore.MemoryLog();
        const sweeper = await createDueSweeper(topics);
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
        const sweeper = await createDueSweeper(topics);
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

suite("jobs that have just ended are removed, as the coordinator's time of day jumps ahead", async () => {
    const topics = new memoryStore.MemoryLog();
    const clock = { monotonic: 0, wall: 0 };
    const sweeper = createSweeper(topics, clock);
    await sweeper.sweep();
    clock.monotonic += 5000;
    clock.wall += 2_400_000;
    await sweeper.sweep();
    assert.is(topics.listNewest(jobState.submissionsTopic).length, 1);
    clock.monotonic = retention - 1;
    await sweeper.sweep();
    assert.is(topics.listNewest(jobState.submissionsTopic).length, 1);
    clock.monotonic = retention;
    await sweeper.sweep();
    sweeper.stop();
    assert.is(topics.listNewest(jobState.submissionsTopic).length, 0);
});

suite(
    "jobs that have just ended are removed, as a coordinator whose time of day was behind had settled them",
    async () => {
        const topics = new memoryStore.MemoryLog();
        const sweeper = createSweeper(topics, { monotonic: 0, wall: 2_400_000 });
        await sweeper.sweep();
        sweeper.stop();
        assert.is(topics.listNewest(jobState.submissionsTopic).length, 1);
    },
);

suite(
    "a job of the successor is removed, as a coordinator wakes that was paused for as long as jobs are kept",
    async () => {
        const topics = new memoryStore.MemoryLog();
        const clock = { monotonic: 0, wall: 0 };
        let isHeld = true;
        const sweeper = createSweeper(topics, clock, () => isHeld);
        await sweeper.sweep();
        topics.append(jobState.ledgerTopic, [], { producer: { name: jobState.ledgerProducer, epoch: 2, sequence: 1 } });
        clock.monotonic = clock.wall = retention;
        isHeld = false;
        await sweeper.sweep();
        assert.is(topics.listNewest(jobState.submissionsTopic).length, 1);
        isHeld = true;
        await sweeper.sweep();
        assert.is(topics.listNewest(jobState.submissionsTopic).length, 0);
    },
);

suite("a job of the successor is removed, as a coordinator wakes that was paused while it shortened jobs", async () => {
    const topics = new memoryStore.MemoryLog();
    const clock = { monotonic: 0, wall: 0 };
    let isHeld = true;
    const { sweeper, shared } = createProcess(topics, clock, () => isHeld);
    await sweeper.sweep();
    const { key, value } = jobState.encodeJob(job);
    topics.append(jobState.submissionsTopic, [{ key, value }]);
    shared.jobs.applySubmission(key, value);
    topics.holdsAppend = () => {
        clock.monotonic = clock.wall = retention;
        isHeld = false;
        return false;
    };
    await sweeper.sweep();
    sweeper.stop();
    assert.equal(listKinds(topics), ["ended"]);
});

/** Kinds of the newest records of the submissions topic: job, ended, cancellation. */
function listKinds(topics: memoryStore.MemoryLog): (string | undefined)[] {
    return topics.listNewest(jobState.submissionsTopic)
        .map(({ record }) => jobState.decodeSubmission(record!.key, record!.value)?.kind);
}

suite(
    "the submission of a job is shortened while a run of it may be under way, or before its status is stored",
    async () => {
        const topics = new memoryStore.MemoryLog();
        const { sweeper, shared } = createProcess(topics);
        const progress = shared.jobs.entries.get(job.id)!.progress!;
        const occurrence = jobState.getOrCreateOccurrence(progress, job, 0);
        const history = jobState.getOrCreateHistory(occurrence, 0);
        history.runs = [{ number: 1, server: "s1@0" }];
        await sweeper.sweep();
        shared.jobs.applyProgress(job.id, progress);
        history.runs = [];
        await sweeper.sweep();
        for (const status of [jobState.JobStatus.queued, jobState.JobStatus.running]) {
            progress.status = status;
            shared.jobs.applyProgress(job.id, progress);
            await sweeper.sweep();
        }
        progress.status = jobState.JobStatus.completed;
        await sweeper.sweep();
        assert.equal(listKinds(topics), ["job"]);
        shared.jobs.applyProgress(job.id, progress);
        await sweeper.sweep();
        sweeper.stop();
        assert.equal(listKinds(topics), ["ended"]);
    },
);

suite("a successor finds runs in the progress of a job of which only the short form is left", async () => {
    const topics = new memoryStore.MemoryLog();
    const { sweeper, shared } = createProcess(topics);
    let carryOut: (() => void) | undefined;
    topics.holdsAppend = ({ topic }, carryOutLate) => {
        carryOut = carryOutLate;
        return topic === jobState.ledgerTopic;
    };
    const entry = shared.jobs.entries.get(job.id)!;
    const history = jobState.getOrCreateHistory(jobState.getOrCreateOccurrence(entry.progress!, job, 0), 0);
    history.runs = [{ number: 1, server: "s1@0" }];
    shared.jobs.applyProgress(job.id, entry.progress!);
    history.runs = []; // As it ended just now.
    shared.writer.markDirty(entry);
    await timers.setTimeout(settlingTime);
    await sweeper.sweep();
    const kinds = listKinds(topics);
    carryOut!();
    topics.holdsAppend = () => false;
    await timers.setTimeout(repeatTime);
    await sweeper.sweep();
    sweeper.stop();
    assert.equal([kinds, listKinds(topics)], [["job"], ["ended"]]);
});

suite("the submission of an ended job is read for minutes, as it was carried out after its short form", async () => {
    const topics = new memoryStore.MemoryLog();
    const { sweeper, shared } = createProcess(topics);
    await sweeper.sweep();
    assert.equal(listKinds(topics), ["ended"]);
    await sweeper.sweep();
    assert.is(topics.list(jobState.submissionsTopic).length, 2);
    const { key, value } = jobState.encodeJob(job);
    topics.append(jobState.submissionsTopic, [{ key, value }]);
    shared.jobs.applySubmission(key, value);
    await sweeper.sweep();
    sweeper.stop();
    assert.equal(listKinds(topics), ["ended"]);
});

suite("the cancellation of an ended job stays stored, or its status is lost with it", async () => {
    const topics = new memoryStore.MemoryLog();
    const { sweeper, shared } = createProcess(topics);
    const { key, value } = jobState.encodeCancellation(job.id, 0);
    topics.append(jobState.submissionsTopic, [{ key, value }]);
    shared.jobs.applySubmission(key, value);
    const entry = shared.jobs.entries.get(job.id)!;
    entry.progress!.status = entry.storedStatus = jobState.JobStatus.cancelled;
    assert.equal(listKinds(topics), ["job", "cancellation"]);
    await sweeper.sweep();
    sweeper.stop();
    assert.equal(listKinds(topics), ["ended"]);
    const successor = new jobState.JobTable();
    topics.listNewest(jobState.submissionsTopic)
        .forEach(({ record }) => successor.applySubmission(record!.key, record!.value));
    assert.is(successor.findStatus(job.id), jobState.JobStatus.cancelled);
});

suite("a cancellation that was carried out after the removal of its job stays stored for good", async () => {
    const topics = new memoryStore.MemoryLog();
    const clock = { monotonic: 0, wall: 0 };
    const { sweeper, shared } = createProcess(topics, clock, () => true, []);
    const running = { ...job, id: "00000000000000ff" };
    const records = [
        jobState.encodeCancellation(job.id, 0),
        jobState.encodeJob(running),
        jobState.encodeCancellation(running.id, 0),
    ];
    topics.append(jobState.submissionsTopic, records);
    records.forEach(({ key, value }) => shared.jobs.applySubmission(key, value));
    await sweeper.sweep();
    clock.monotonic = retention;
    await sweeper.sweep();
    sweeper.stop();
    assert.equal(listKinds(topics), ["job", "cancellation"]);
});

suite("an ended job of which no progress is left stays stored for good", async () => {
    const topics = new memoryStore.MemoryLog();
    const clock = { monotonic: 0, wall: 0 };
    const { sweeper, shared } = createProcess(topics, clock);
    await sweeper.sweep();
    shared.jobs.clearProgress();
    topics.append(jobState.ledgerTopic, jobState.encodeProgressTombstones(job.id, []));
    await sweeper.sweep();
    clock.monotonic = clock.wall = retention;
    await sweeper.sweep();
    sweeper.stop();
    assert.equal(listKinds(topics), []);
});

/** Bytes that a process reads of both topics when it starts. */
function measureStart(topics: memoryStore.MemoryLog): number {
    return [jobState.submissionsTopic, jobState.ledgerTopic]
        .reduce((sum, topic) => sum + platformTesting.encodeNewestPage(topics.listNewest(topic)).length, 0);
}

/** Jobs of a long day of a large deployment, the link of its small processes in bytes/s, and for how long callers wait, in ms. */
const dayJobCount = 4500;
const slowLink = 7_000_000 / 8;
const callerTimeout = 3000;

for (const count of [1000, 10_000]) {
    suite(`no caller is answered in time after a restart, as all of ${count} ended jobs are read whole`, async () => {
        const topics = new memoryStore.MemoryLog();
        const steps = [{}, { taskCount: 20, dependsOn: [0], checkpointed: true }].map(jobTesting.createStep);
        const ended = Array.from({ length: count }, (_, i) =>
            jobTesting.createJob({
                id: i.toString(16).padStart(16, "0"),
                route,
                payload: "x".repeat(2400),
                steps,
                submittedAt: 1_769_163_213_773 + i,
            }));
        const sweeper = createSweeper(topics, { monotonic: 0, wall: 0 }, () => true, ended);
        await sweeper.sweep();
        sweeper.stop();
        const perJob = measureStart(topics) / count;
        const time = perJob * dayJobCount / slowLink * 1000;
        assert.ok(time < callerTimeout, `${Math.round(perJob)} bytes a job: ${Math.round(time)} ms for a long day`);
    });
}

suite.run();
