/** Progress in parts is restored whatever part of it was stored, and in whatever order it is read. */
import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as jobState from "./index.js";
import * as testing from "./testing/index.js";

const seed = 20_261_206;
const suite = uvu.suite(`progress parts (seed ${seed})`);
/** Bytes of a record; parts of 8 tasks. */
const recordSize = 5120;
const taskCount = 20;

const job = testing.createJob({
    steps: [testing.createStep({ taskCount })],
    repetition: { count: 3, firstAt: 0, interval: 1 },
});

/** Number of an occurrence, of a task, and what happens to it. */
type Step = readonly [occurrence: number, task: number, change: "start" | "end" | "done"];

function change(progress: jobState.Progress, [number, task, what]: Step): void {
    const occurrence = jobState.getOrCreateOccurrence(progress, job, number);
    const history = jobState.getOrCreateHistory(occurrence, task);
    if (what === "start" && !occurrence.done.has(task)) {
        history.lastRun += 1;
        history.runs.push({ number: history.lastRun, server: "i-1@7" });
    }
    else {
        history.runs = [];
    }
    if (what === "done") {
        jobState.markDone(occurrence, task);
    }
}

function apply(table: jobState.JobTable, { key, value }: jobState.KeyedRecord): void {
    const record = jobState.decodeLedger(key, value);
    if (record?.kind === "part") {
        table.applyPart(record.id, record.key, record.part);
    }
    else if (record?.kind === "progress") {
        table.applyProgress(record.id, record.progress);
    }
}

/** What decides which tasks start: those that are done, and the runs and last number of the others. */
function describe(progress: jobState.Progress | undefined): unknown {
    const numbers = new Set([...progress?.occurrences.keys() ?? [], ...progress?.finished ?? []]);
    return [...numbers].sort((a, b) => a - b).map(number => {
        const { done, histories } = jobState.getOrCreateOccurrence(progress!, job, number);
        const describeTask = (_: unknown, task: number) =>
            done.has(task) && (histories.get(task)?.runs.length ?? 0) === 0
                ? "done"
                : [done.has(task) ? 1 : 0, histories.get(task)];
        return [number, Array.from({ length: taskCount }, describeTask)];
    });
}

const steps = fastCheck.array(
    fastCheck.tuple(
        fastCheck.integer({ min: 0, max: 2 }),
        fastCheck.integer({ min: 0, max: taskCount - 1 }),
        fastCheck.constantFrom("start" as const, "end" as const, "done" as const, "done" as const),
    ),
    { maxLength: 150 },
);

suite("progress is restored from its newest records, read in any order, and as they came", () => {
    fastCheck.assert(
        fastCheck.property(steps, fastCheck.integer({ min: 1, max: 30 }), fastCheck.infiniteStream(fastCheck.nat()), (
            drawn,
            batch,
            order,
        ) => {
            const progress = jobState.createProgress(0);
            const stored = new Map<string, Uint8Array>();
            const storedParts = new Set<string>();
            const follower = new jobState.JobTable();
            for (let i = 0; i < drawn.length; i += batch) {
                drawn.slice(i, i + batch).forEach(step => change(progress, step));
                const taken = jobState.takeProgressRecords(job, progress, storedParts, recordSize);
                for (const record of [...taken.parts, taken.job, ...taken.obsolete]) {
                    stored.set(record.key, record.value);
                    apply(follower, record);
                }
            }
            const reader = new jobState.JobTable();
            const shuffled = [...stored].filter(([, value]) => value.length > 0)
                .map(record => ({ record, rank: order.next().value }))
                .sort((a, b) => a.rank - b.rank);
            shuffled.forEach(({ record: [key, value] }) => apply(reader, { key, value }));
            for (const table of [follower, reader]) {
                const entry = table.entries.get(job.id);
                assert.equal(describe(entry?.progress), describe(drawn.length === 0 ? undefined : progress));
                assert.equal(new Set(entry?.storedParts), storedParts);
            }
        }),
        { seed },
    );
});

suite("progress that an earlier version stored in one record is stored in parts with its next change", () => {
    const progress = jobState.createProgress(0);
    for (let task = 0; task < taskCount; task++) {
        change(progress, [0, task, task < 9 ? "done" : "start"]);
    }
    const table = new jobState.JobTable();
    apply(table, jobState.encodeProgress(job.id, progress));
    const entry = table.entries.get(job.id)!;
    change(entry.progress!, [0, 10, "end"]);
    const taken = jobState.takeProgressRecords(job, entry.progress!, entry.storedParts, recordSize);
    const reader = new jobState.JobTable();
    // A coordinator is lost before the job's record is stored: nothing has changed.
    apply(reader, jobState.encodeProgress(job.id, progress));
    taken.parts.forEach(record => apply(reader, record));
    assert.equal(describe(reader.entries.get(job.id)?.progress), describe(progress));
    apply(reader, taken.job);
    change(progress, [0, 10, "end"]);
    assert.equal(describe(reader.entries.get(job.id)?.progress), describe(progress));
});

suite("parts don't count without a job's record, nor those of a finished occurrence", () => {
    const progress = jobState.createProgress(0);
    change(progress, [1, 0, "start"]);
    const storedParts = new Set<string>();
    const first = jobState.takeProgressRecords(job, progress, storedParts, recordSize);
    for (let task = 0; task < taskCount; task++) {
        change(progress, [1, task, "done"]);
    }
    const last = jobState.takeProgressRecords(job, progress, storedParts, recordSize);
    const table = new jobState.JobTable();
    first.parts.forEach(record => apply(table, record));
    assert.is(table.entries.get(job.id)?.progress, undefined);
    apply(table, last.job);
    first.parts.forEach(record => apply(table, record));
    const restored = table.entries.get(job.id)!.progress!;
    assert.equal([...restored.finished], [1]);
    assert.equal([...jobState.getOrCreateOccurrence(restored, job, 1).done], Array.from(Array(taskCount).keys()));
    assert.is(restored.occurrences.size, 0);
    assert.equal(last.obsolete.map(({ key }) => key), first.parts.map(({ key }) => key));
});

suite("a part outgrows its record with the longest checkpoints and IDs of servers", () => {
    for (const size of [640, 5120, 20_000, 262_144, 655_360]) {
        const large = testing.createJob({ steps: [testing.createStep({ taskCount: 3000, checkpointed: true })] });
        const progress = jobState.createProgress(0);
        for (let task = 0; task < 3000; task++) {
            const history = jobState.getOrCreateHistory(jobState.getOrCreateOccurrence(progress, large, 0), task);
            Object.assign(history, {
                lastRun: 100_000,
                failures: 100_000,
                crashes: 3,
                runs: [{ number: 100_000, server: `${"i".repeat(255)}@1800000000000`, crashCounted: true }],
                checkpoint: "é".repeat(jobState.maxCheckpointSize / 2),
            });
        }
        const { parts, job: record } = jobState.takeProgressRecords(large, progress, new Set(), size);
        const largest = Math.max(...[...parts, record].map(({ key, value }) => 1 + key.length + value.length));
        assert.ok(largest <= size, `${largest} bytes of ${size}`);
    }
});

suite.run();
