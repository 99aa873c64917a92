/** Decoding restores what was encoded and skips anything else; a job table applies the records of both topics. */
import * as cbor from "cbor-x";
import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as jobState from "./index.js";
import * as testing from "./testing/index.js";

const seed = 20_261_205;
const suite = uvu.suite(`records (seed ${seed})`);

const job = testing.createJob({
    payload: "text",
    steps: [testing.createStep({ taskCount: 11, checkpointed: true })],
    submittedAt: 5,
});

suite("progress is restored from its record: done tasks, runs under way, failures, checkpoints", () => {
    const progress = jobState.createProgress(7);
    progress.begun = true;
    progress.status = jobState.JobStatus.running;
    const occurrence = jobState.getOrCreateOccurrence(progress, job, 0);
    jobState.markDone(occurrence, 0);
    jobState.markDone(occurrence, 9);
    const history = jobState.getOrCreateHistory(occurrence, 10);
    Object.assign(history, {
        lastRun: 3,
        failures: 2,
        crashes: 2,
        certainCrashes: 1,
        blame: 1,
        startsAlone: true,
        checkpoint: "00ab",
        runs: [{ number: 3, server: "i-1@9" }, { number: 2, server: "i-2@8", outlastedStart: true }],
    });
    const record = jobState.encodeProgress(job.id, progress);
    const decoded = jobState.decodeLedger(record.key, record.value);
    assert.ok(decoded?.kind === "progress" && decoded.id === job.id);
    const restored = decoded.progress.occurrences.get(0)!;
    assert.is(restored.done.size, 2);
    assert.equal([...restored.done], [...occurrence.done]);
    assert.equal(restored.histories.get(10), history);
    assert.ok(decoded.progress.begun);
});

suite("first runs under way are restored from their record, beside tasks that were started again", () => {
    const progress = jobState.createProgress(7);
    const wide = testing.createJob({ steps: [testing.createStep({ taskCount: 12 })] });
    const occurrence = jobState.getOrCreateOccurrence(progress, wide, 0);
    for (let task = 0; task < 12; task++) {
        const history = jobState.getOrCreateHistory(occurrence, task);
        history.lastRun = task === 5 ? 2 : 1;
        history.runs = [{ number: history.lastRun, server: `s${task % 3}@1769163213773` }];
    }
    jobState.getOrCreateHistory(occurrence, 6).failures = 1;
    jobState.getOrCreateHistory(occurrence, 7).checkpoint = "c";
    jobState.getOrCreateHistory(occurrence, 9).runs[0]!.outlastedStart = true;
    jobState.markDone(occurrence, 8);
    const record = jobState.encodeProgress(wide.id, progress);
    const decoded = jobState.decodeLedger(record.key, record.value);
    assert.ok(decoded?.kind === "progress");
    const restored = decoded.progress.occurrences.get(0)!;
    assert.equal([...restored.done], [...occurrence.done]);
    assert.is(restored.histories.size, 12);
    for (const [task, history] of occurrence.histories) {
        assert.equal(restored.histories.get(task), history);
    }
});

suite("the record of a wide job grows by a server's name for each of its tasks", () => {
    const measureRecord = (taskCount: number) => {
        const progress = jobState.createProgress(7);
        const wide = testing.createJob({ steps: [testing.createStep({ taskCount })] });
        const occurrence = jobState.getOrCreateOccurrence(progress, wide, 0);
        for (let task = 0; task < taskCount; task++) {
            const history = jobState.getOrCreateHistory(occurrence, task);
            history.lastRun = 1;
            history.runs = [{ number: 1, server: "i-0123456789@1769163213773" }];
        }
        return jobState.encodeProgress(wide.id, progress).value.byteLength;
    };
    // A task's index takes up to two bytes below 256, its flag an eighth of one.
    assert.ok(measureRecord(32) - measureRecord(16) <= 16 * 2.5, `${measureRecord(16)}, ${measureRecord(32)} bytes`);
});

suite("the record of a task's first run doesn't say that its server has outlasted the start", () => {
    const progress = jobState.createProgress(7);
    const history = jobState.getOrCreateHistory(jobState.getOrCreateOccurrence(progress, job, 0), 0);
    history.lastRun = 1;
    history.runs = [{ number: 1, server: "i-1@9", outlastedStart: true }];
    const record = jobState.encodeProgress(job.id, progress);
    const decoded = jobState.decodeLedger(record.key, record.value);
    assert.ok(decoded?.kind === "progress");
    assert.equal(decoded.progress.occurrences.get(0)?.histories.get(0)?.runs, history.runs);
});

suite("progress that an earlier version stored, without crashes, is restored with none", () => {
    // Record of a job with one task: its second run, of boot 9 of server i-1, may be under way.
    const value = Buffer.from(
        "b9000461736772756e6e696e676161076162f5616f81b90004616b00616e01616441006168"
            + "81b90005617400616c02616600617281820265692d314039616360",
        "hex",
    );
    const decoded = jobState.decodeLedger(`p:${job.id}`, value);
    assert.ok(decoded?.kind === "progress");
    assert.equal(decoded.progress.occurrences.get(0)?.histories.get(0), {
        lastRun: 2,
        failures: 0,
        crashes: 0,
        certainCrashes: 0,
        blame: 0,
        startsAlone: false,
        awaitsJudgement: false,
        runs: [{ number: 2, server: "i-1@9" }],
        checkpoint: "",
    });
});

suite("crashes that an earlier version stored make a task start alone, but none of them counts as certain", () => {
    // As above, with 2 crashes, 1 of them with suspects of one job only, and a start alone.
    const value = Buffer.from(
        "b9000461736671756575656461611901f46162f4616f81b90004616b00616e0161644100616881b90006617400616c0261660061788302"
            + "01f5617281820265692d314039616360",
        "hex",
    );
    const decoded = jobState.decodeLedger(`p:${job.id}`, value);
    assert.ok(decoded?.kind === "progress");
    const { crashes, certainCrashes, blame, startsAlone } = decoded.progress.occurrences.get(0)!.histories.get(
        0,
    )!;
    assert.equal([crashes, certainCrashes, blame, startsAlone], [2, 0, 0, true]);
});

suite("the first record of a job wins, and a cancellation that precedes it counts", () => {
    const table = new jobState.JobTable();
    const cancellation = jobState.encodeCancellation(job.id, 9);
    table.applySubmission(cancellation.key, cancellation.value);
    assert.is(table.findStatus(job.id), undefined);
    for (const submittedAt of [5, 6]) {
        const record = jobState.encodeJob({ ...job, submittedAt });
        table.applySubmission(record.key, record.value);
    }
    assert.is(table.entries.get(job.id)?.job?.submittedAt, 5);
    assert.is(table.findStatus(job.id), jobState.JobStatus.cancelled);
});

suite("a job of which a task has been started doesn't count as pending, nor does one of another queue", () => {
    const table = new jobState.JobTable();
    for (const id of ["00000000000000aa", "00000000000000ab", "00000000000000ac"]) {
        const record = jobState.encodeJob({ ...job, id });
        table.applySubmission(record.key, record.value);
    }
    const begun = jobState.createProgress(0);
    begun.begun = true;
    table.applyProgress("00000000000000ab", begun);
    // The queue of `createJob`.
    assert.equal(table.countUnfinished("quotes"), { pending: 2, begunWithoutResult: 1 });
    assert.equal(table.countUnfinished("other"), { pending: 0, begunWithoutResult: 0 });
});

suite("settled jobs are listed, and those whose tombstones a table reads are dropped", () => {
    const table = new jobState.JobTable();
    const record = jobState.encodeJob(job);
    table.applySubmission(record.key, record.value);
    assert.equal(table.listSettled(), []);
    const progress = jobState.createProgress(100);
    progress.status = jobState.JobStatus.running;
    table.applyProgress(job.id, progress);
    assert.equal(table.listSettled(), []);
    progress.status = jobState.JobStatus.completed;
    assert.equal(table.listSettled(), [job.id]);
    const reader = new jobState.JobTable();
    reader.applySubmission(record.key, record.value);
    for (const tombstone of jobState.encodeJobTombstones(job.id)) {
        reader.applySubmission(tombstone.key, tombstone.value);
    }
    assert.is(reader.entries.size, 0);
    assert.is(reader.unreadableCount, 0);
});

suite("a job with more tasks than a process has memory for is read from the store", () => {
    const [step] = job.steps;
    const counts: readonly unknown[][] = [[1e9], [1e300], [600_000, 600_000], [0], [-1], [1.5], ["1"], [undefined]];
    for (const taskCounts of counts) {
        const steps = taskCounts.map(taskCount => ({ ...step!, taskCount }));
        const record = jobState.encodeJob({ ...job, steps } as unknown as jobState.Job);
        assert.is(jobState.decodeSubmission(record.key, record.value), undefined, String(taskCounts));
    }
});

suite("decoding arbitrary bytes doesn't throw", () => {
    fastCheck.assert(
        fastCheck.property(
            fastCheck.constantFrom("leader", "j:x", "c:x", "p:x", "w:1", "m:a", "n:a", "?"),
            fastCheck.uint8Array({ maxLength: 200 }),
            (key, value) => {
                jobState.decodeSubmission(key, value);
                jobState.decodeLedger(key, value);
                jobState.decodeNode(key, value);
            },
        ),
        { seed, numRuns: 2000 },
    );
});

suite("leadership and wave progress are restored from their records", () => {
    const leadership = {
        epoch: 4,
        node: "n1",
        processStart: 2,
        resigned: false,
        ordersSettled: false,
        tenure: 0,
        lateness: 0,
        startDelay: 0,
    };
    const record = jobState.encodeLeadership(leadership);
    assert.equal(jobState.decodeLedger(record.key, record.value), { kind: "leadership", leadership });
    const waiting = { ...leadership, waits: { beyondRate: { dispatch: 900 }, quota: {} } };
    const { key, value } = jobState.encodeLeadership(waiting);
    assert.equal(jobState.decodeLedger(key, value), { kind: "leadership", leadership: waiting });
    const wave = jobState.encodeWaveProgress(3, { begun: ["m-1"], completed: false, seenAt: 5 });
    assert.equal(jobState.decodeLedger(wave.key, wave.value), {
        kind: "wave",
        number: 3,
        wave: { begun: ["m-1"], completed: false, seenAt: 5 },
    });
});

suite("boots of servers are read as they were stored, and their tombstones as such", () => {
    for (const boot of [{ bootedAt: 7, leaseEnd: 5000 }, { bootedAt: undefined, leaseEnd: undefined }]) {
        const { key, value } = jobState.encodeServerBoot("i-1", boot);
        assert.equal(jobState.decodeLedger(key, value), { kind: "server", id: "i-1", boot });
    }
    const { key, value } = jobState.encodeServerTombstone("i-1");
    assert.equal(jobState.decodeLedger(key, value), { kind: "server", id: "i-1", boot: undefined });
});

suite("an earlier version starts tasks of an ended job, of which it reads the short form", () => {
    const steps = [testing.createStep({ taskCount: 3 }), testing.createStep({ dependsOn: [0], filler: true })];
    const ended = testing.createJob({ organisation: "a", payload: "text", steps, submittedAt: 1_769_163_213_773 });
    const { key, value } = jobState.encodeEndedJob(ended, jobState.JobStatus.failed);
    assert.is(key, jobState.encodeJob(ended).key);
    assert.ok(value.length < 120, `${value.length} bytes`);
    const { id, queue, organisation, submittedAt } = ended;
    const { e, w, ...known } = cbor.decode(value) as Record<string, unknown>;
    assert.equal(known, { id, queue, organisation, submittedAt, steps: [] });
    const expected = { kind: "ended", job: { ...ended, payload: "" }, status: "failed" };
    assert.equal(jobState.decodeSubmission(key, value), expected);
    for (const [odd, steps] of [[{ w: 1 }, []], [{ w: [["1"], [1], w] }, []], [{ e: "running" }], [{ e: 3 }]]) {
        const record = jobState.decodeSubmission(key, cbor.encode({ ...known, e, w, ...odd }));
        assert.equal(record, steps && { ...expected, job: { ...expected.job, steps } });
    }
});

suite("a run is restored with what is known of its start and of the crash of its server", () => {
    const runs: jobState.Run[] = [
        { number: 1, server: "i-1@7" },
        { number: 2, server: "i-1@7", outlastedStart: true },
        { number: 3, server: "i-1@7", crashCounted: true },
        { number: 4, server: "i-1@7", outlastedStart: true, crashCounted: true },
    ];
    for (const run of runs) {
        const progress = jobState.createProgress(7);
        const history = jobState.getOrCreateHistory(jobState.getOrCreateOccurrence(progress, job, 0), 10);
        Object.assign(history, { lastRun: run.number, runs: [run] });
        const { key, value } = jobState.encodeProgress(job.id, progress);
        assert.equal(jobState.decodeLedger(key, value), { kind: "progress", id: job.id, progress });
    }
});

suite.run();
