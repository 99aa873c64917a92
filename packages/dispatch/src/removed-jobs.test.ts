/** An ended job isn't run again, whatever a process reads of its short form and of its removal. */
import * as eventLog from "@catkinwharf/event-log";
import * as jobState from "@catkinwharf/job-state";
import * as jobTesting from "@catkinwharf/job-state/testing";
import * as storeClient from "@catkinwharf/store";
import * as neverthrow from "neverthrow";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as jobRegistry from "./job-registry.js";
import * as memoryStore from "./testing/memory-store.js";

const suite = uvu.suite("removed jobs");
const job = jobTesting.createJob();

/** Topics of the store, and a process that follows them as an entry instance does. */
class World {
    readonly topics = new memoryStore.MemoryLog();
    readonly jobs = new jobState.JobTable();
    /** Whether the store has dropped all records but the newest of each key. */
    expired = false;
    /** Whether the newest records hold one that can't be read. */
    hasUnreadable = false;
    readonly #followers = [
        this.#follow(jobState.submissionsTopic, {
            apply: ({ key, value }) => this.jobs.applySubmission(key, value),
            reset: keys => this.jobs.dropRemoved(keys),
        }),
        this.#follow(jobState.ledgerTopic, {
            apply: ({ key, value }) => {
                const decoded = jobState.decodeLedger(key, value);
                if (decoded?.kind === "progress") {
                    this.jobs.applyProgress(decoded.id, decoded.progress);
                }
            },
            reset: () => this.jobs.clearProgress(),
        }),
    ];

    #follow(topic: string, handlers: storeClient.TopicHandlers): storeClient.TopicFollower {
        const end = () => this.topics.list(topic).length;
        const source: Pick<storeClient.StoreClient, "read" | "readNewest"> = {
            readNewest: () =>
                Promise.resolve(neverthrow.ok({
                    kind: "page",
                    records: this.hasUnreadable
                        ? this.topics.listNewest(topic).map(({ offset }) => ({ offset, record: undefined }))
                        : this.topics.listNewest(topic),
                    more: false,
                    end: end(),
                    last: undefined,
                })),
            read: (_topic, from) => {
                const records = this.topics.list(topic).map((record, offset) => ({ offset, record })).slice(from);
                return Promise.resolve(neverthrow.ok(
                    this.expired && from < end() ? { kind: "expired" } : { kind: "records", end: end(), records },
                ));
            },
        };
        const options = { topic, handlers, wait: 0, pause: () => 0 };
        return new storeClient.TopicFollower(source, options, eventLog.silentEventLog, () => 0);
    }

    async catchUp(): Promise<void> {
        for (const follower of this.#followers) {
            assert.is(await follower.catchUp(), true);
        }
    }

    /** Jobs of which this process would start tasks. */
    listStartable(): string[] {
        const registry = new jobRegistry.JobRegistry();
        return [...this.jobs.entries.values()].flatMap(entry => registry.track(entry, 0)?.job.id ?? []);
    }
}

function encodeCompleted(id: string): jobState.KeyedRecord {
    const progress = jobState.createProgress(0);
    progress.status = jobState.JobStatus.completed;
    return jobState.encodeProgress(id, progress);
}

suite("a completed job runs again, as a process was cut off while it was removed and the records expired", async () => {
    const world = new World();
    const kept = jobTesting.createJob({ id: "00000000000000ff" });
    world.topics.append(jobState.submissionsTopic, [jobState.encodeJob(job), jobState.encodeJob(kept)]);
    world.topics.append(jobState.ledgerTopic, [encodeCompleted(job.id)]);
    await world.catchUp();
    assert.equal(world.listStartable(), [kept.id]);
    world.topics.append(jobState.submissionsTopic, jobState.encodeJobTombstones(job.id));
    world.topics.append(jobState.ledgerTopic, jobState.encodeProgressTombstones(job.id, []));
    world.expired = true;
    await world.catchUp();
    assert.equal(world.listStartable(), [kept.id]);
    assert.is(world.jobs.findStatus(job.id), undefined);
});

const submitted = jobState.encodeJob(job);
const shortened = jobState.encodeEndedJob(job, jobState.JobStatus.completed);
const completed = encodeCompleted(job.id);
const [removed] = jobState.encodeJobTombstones(job.id);
const removedProgress = jobState.encodeProgressTombstones(job.id, []);

for (
    const [what, submissions, ledger, status] of [
        ["its progress was removed first", [submitted, shortened], [completed, ...removedProgress], "completed"],
        [
            "its progress can't be read",
            [submitted, shortened],
            [{ key: completed.key, value: Buffer.of(255) }],
            "completed",
        ],
        [
            "its submission was carried out after its short form",
            [submitted, shortened, submitted],
            [completed],
            "completed",
        ],
        ["its short form came without a submission", [shortened], [completed], "completed"],
        [
            "its coordinator was lost before it removed its progress",
            [submitted, shortened, removed!],
            [completed],
            undefined,
        ],
        ["it was removed", [submitted, shortened, removed!], [completed, ...removedProgress], undefined],
    ] as const
) {
    suite(`an ended job runs again, as ${what}`, async () => {
        for (const expired of [false, true]) {
            const world = new World();
            world.topics.append(jobState.submissionsTopic, submissions);
            world.topics.append(jobState.ledgerTopic, ledger);
            world.expired = expired;
            await world.catchUp();
            assert.equal(world.listStartable(), []);
            assert.is(world.jobs.findStatus(job.id), status);
            assert.is(world.jobs.countUnfinished(job.queue).pending, 0);
        }
    });
}

suite("a process that has read an ended job's short form takes its submission for a new job", async () => {
    const world = new World();
    world.topics.append(jobState.submissionsTopic, [submitted, shortened]);
    await world.catchUp();
    world.topics.append(jobState.submissionsTopic, [submitted]);
    await world.catchUp();
    assert.equal(world.listStartable(), []);
    assert.is(world.jobs.findStatus(job.id), jobState.JobStatus.completed);
    // Those that start later would read the submission.
    assert.equal(world.jobs.listShortenable().map(({ id }) => id), [job.id]);
});

suite("a job that exists is dropped, as its record among the newest ones can't be read", async () => {
    const world = new World();
    world.topics.append(jobState.submissionsTopic, [jobState.encodeJob(job)]);
    await world.catchUp();
    world.topics.append(jobState.submissionsTopic, [
        jobState.encodeJob(jobTesting.createJob({ id: "00000000000000ff" })),
    ]);
    world.expired = true;
    world.hasUnreadable = true;
    await world.catchUp();
    assert.ok(world.jobs.entries.has(job.id));
});

suite("a job that this process has stored is dropped, as the newest records were read before", async () => {
    const world = new World();
    await world.catchUp();
    const { key, value } = jobState.encodeJob(job);
    world.jobs.applySubmission(key, value, false);
    const entry = world.jobs.entries.get(job.id);
    world.jobs.dropRemoved(new Set());
    assert.is(world.jobs.entries.get(job.id), entry);
    world.jobs.applySubmission(key, value);
    world.jobs.dropRemoved(new Set([key]));
    assert.is(world.jobs.entries.get(job.id), entry);
    world.jobs.dropRemoved(new Set());
    assert.is(world.jobs.entries.size, 0);
});

suite.run();
