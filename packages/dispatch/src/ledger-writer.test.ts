/** Progress that is too much for one append is stored in several, and doesn't keep the rest from being stored. */
import * as jobState from "@catkinwharf/job-state";
import * as jobTesting from "@catkinwharf/job-state/testing";
import * as platform from "@catkinwharf/platform";
import * as storeClient from "@catkinwharf/store";
import * as neverthrow from "neverthrow";
import * as timers from "node:timers/promises";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import type * as ledgerWriter from "./ledger-writer.js";
import * as testing from "./testing/context.js";

const suite = uvu.suite("ledger writer");
const limits = testing.settings.storeLimits;
/** Time in ms after which what isn't stored never will be; a batch takes some ms. */
const patience = 1000;

/** Refuses appends beyond the limits, as the store does. */
class LimitedStore {
    readonly records = new Map<string, Uint8Array>();
    refusals = 0;
    /** Size in bytes of all that was stored. */
    stored = 0;

    readonly append: storeClient.StoreClient["append"] = (_, records) => {
        const sizes = records.map(record => platform.storeCalls.measureRecord(record));
        if (sizes.some(size => size > limits.recordSize) || sizes.reduce((a, b) => a + b, 0) > limits.appendSize) {
            this.refusals += 1;
            const fault = storeClient.StoreFault.refused;
            return Promise.resolve(neverthrow.err({ layer: "store", fault, reason: "status 413" }));
        }
        this.stored += sizes.reduce((a, b) => a + b, 0);
        records.forEach(({ key, value }) =>
            value.length === 0 ? this.records.delete(key) : this.records.set(key, value)
        );
        return Promise.resolve(neverthrow.ok({ kind: "stored", offset: 0, end: 1 }));
    };
}

/** A job whose progress takes some 40 bytes for each of its tasks, all of which are running. */
function createEntry(id: string, taskCount: number, serverPrefix = "server"): jobState.JobEntry {
    const job = jobTesting.createJob({ id, steps: [jobTesting.createStep({ taskCount, longRunning: true })] });
    const progress = jobState.createProgress(0);
    const occurrence = jobState.getOrCreateOccurrence(progress, job, 0);
    for (let task = 0; task < taskCount; task++) {
        const history = jobState.getOrCreateHistory(occurrence, task);
        history.lastRun = 2;
        history.runs = [{ number: 2, server: `${serverPrefix}-${task}@1800000000000` }];
    }
    return { id, job, cancelledAt: undefined, progress, storedStatus: undefined, storedParts: new Set() };
}

/** Applies all that is stored, the parts of jobs first or last. */
function restore(store: LimitedStore, partsFirst: boolean): jobState.JobTable {
    const table = new jobState.JobTable();
    const decoded = [...store.records].flatMap(([key, value]) => jobState.decodeLedger(key, value) ?? []);
    const isPart = (record: jobState.LedgerRecord) => (record.kind === "part") === partsFirst;
    for (const record of [...decoded.filter(isPart), ...decoded.filter(one => !isPart(one))]) {
        if (record.kind === "part") {
            table.applyPart(record.id, record.key, record.part);
        }
        else if (record.kind === "progress") {
            table.applyProgress(record.id, record.progress);
        }
    }
    return table;
}

suite("nothing is stored any more once the changed jobs exceed the size of an append", async () => {
    const store = new LimitedStore();
    const writer = testing.createWriter(store as unknown as storeClient.StoreClient);
    const ids = Array.from({ length: 40 }, (_, i) => i.toString(16).padStart(16, "0"));
    ids.forEach(id => writer.markDirty(createEntry(id, 200)));
    const stored = await Promise.race([writer.flush(), timers.setTimeout(patience, "blocked")]);
    writer.stop();
    assert.is(stored, true);
    assert.is(store.refusals, 0);
    const restored = restore(store, true);
    for (const id of ids) {
        assert.is(restored.entries.get(id)?.progress?.occurrences.get(0)?.histories.size, 200);
    }
});

suite("nothing is stored any more because the runs of one part of a job exceed the size of a record", async () => {
    const store = new LimitedStore();
    const unstorable: string[] = [];
    const writer: ledgerWriter.LedgerWriter = testing.createWriter(store as unknown as storeClient.StoreClient, {
        onUnstorable: entry => {
            unstorable.push(entry.id);
            entry.progress!.status = jobState.JobStatus.failed;
            writer.markDirty(entry);
        },
    });
    const ids = ["00000000000000aa", "00000000000000bb"];
    // No server has such an ID: the store takes no entry under it.
    writer.markDirty(createEntry(ids[0]!, 1000, "x".repeat(20_000)));
    writer.markDirty(createEntry(ids[1]!, 1));
    const stored = await Promise.race([writer.flush(), timers.setTimeout(patience, "blocked")]);
    writer.stop();
    assert.is(stored, true);
    assert.is(store.refusals, 0);
    assert.equal(unstorable, [ids[0]]);
    // The first with its status only.
    assert.is(store.records.size, 2);
});

suite("a job fails because the progress of its tasks outgrows a record", async () => {
    const store = new LimitedStore();
    const unstorable: string[] = [];
    const writer = testing.createWriter(store as unknown as storeClient.StoreClient, {
        onUnstorable: entry => unstorable.push(entry.id),
    });
    const entry = createEntry("00000000000000aa", 7200);
    writer.markDirty(entry);
    assert.is(await writer.flush(), true);
    const occurrence = entry.progress!.occurrences.get(0)!;
    const sizeOfAll = store.stored;
    jobState.markDone(occurrence, 7199);
    occurrence.histories.get(7199)!.runs = [];
    writer.markDirty(entry);
    assert.is(await writer.flush(), true);
    assert.equal(unstorable, []);
    assert.is(store.refusals, 0);
    // What has changed is stored, not all.
    assert.ok(store.stored - sizeOfAll < 0.02 * sizeOfAll, `${store.stored - sizeOfAll} of ${sizeOfAll}`);
    for (const partsFirst of [true, false]) {
        const restored = restore(store, partsFirst).entries.get(entry.id)!.progress!.occurrences.get(0)!;
        assert.is(restored.done.size, 1);
        assert.is(restored.histories.size, 7199);
        restored.histories.forEach((history, task) => assert.equal(history, occurrence.histories.get(task)));
    }
    entry.progress!.status = jobState.JobStatus.cancelled;
    occurrence.histories.forEach(history => history.runs = []);
    writer.markDirty(entry);
    await writer.flush();
    writer.stop();
    assert.equal([...store.records.keys()], [`p:${entry.id}`]);
});

suite("a job fails because its finished occurrences outgrow a record", async () => {
    const store = new LimitedStore();
    const unstorable: string[] = [];
    const writer = testing.createWriter(store as unknown as storeClient.StoreClient, {
        onUnstorable: entry => unstorable.push(entry.id),
    });
    const job = jobTesting.createJob({
        id: "00000000000000aa",
        steps: [jobTesting.createStep({ taskCount: 1 })],
        repetition: { count: 20_000, firstAt: 0, interval: 3 },
    });
    const progress = jobState.createProgress(0);
    const entry = {
        id: job.id,
        job,
        cancelledAt: undefined,
        progress,
        storedStatus: undefined,
        storedParts: new Set<string>(),
    };
    const open = 20;
    for (let i = 0; i < 20_000; i++) {
        const occurrence = jobState.getOrCreateOccurrence(progress, job, i);
        const history = jobState.getOrCreateHistory(occurrence, 0);
        history.lastRun = 1;
        history.runs = [{ number: 1, server: "server-1@1800000000000" }];
        const ended = progress.occurrences.get(i - open);
        if (ended !== undefined) {
            jobState.getOrCreateHistory(ended, 0).runs = [];
            jobState.markDone(ended, 0);
        }
        if (i % 500 === 0) {
            writer.markDirty(entry);
            await writer.flush();
        }
    }
    writer.markDirty(entry);
    await writer.flush();
    writer.stop();
    assert.equal(unstorable, []);
    assert.is(store.refusals, 0);
    assert.is(store.records.size, 1 + open);
    const restored = restore(store, true).entries.get(job.id)!.progress!;
    assert.is(restored.finished.size, 20_000 - open);
    assert.is(restored.occurrences.size, open);
    assert.ok([...restored.occurrences].every(([i, { done }]) => done.size === 0 && !restored.finished.has(i)));
});

suite("nothing is stored any more because the progress of one wave exceeds the size of a record", async () => {
    const store = new LimitedStore();
    const writer = testing.createWriter(store as unknown as storeClient.StoreClient);
    const begun = Array.from({ length: 5000 }, (_, i) => `machine-${i}`);
    writer.add(jobState.encodeWaveProgress(1, { begun, completed: false, seenAt: 0 }));
    writer.markDirty(createEntry("00000000000000aa", 1));
    const stored = await Promise.race([writer.flush(), timers.setTimeout(patience, "blocked")]);
    writer.stop();
    assert.is(stored, true);
    assert.is(store.records.size, 1);
});

suite.run();
