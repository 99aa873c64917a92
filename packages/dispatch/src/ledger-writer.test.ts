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
    readonly keys = new Set<string>();
    refusals = 0;

    readonly append: storeClient.StoreClient["append"] = (_, records) => {
        const sizes = records.map(record => platform.storeCalls.measureRecord(record));
        if (sizes.some(size => size > limits.recordSize) || sizes.reduce((a, b) => a + b, 0) > limits.appendSize) {
            this.refusals += 1;
            const fault = storeClient.StoreFault.refused;
            return Promise.resolve(neverthrow.err({ layer: "store", fault, reason: "status 413" }));
        }
        records.forEach(({ key }) => this.keys.add(key));
        return Promise.resolve(neverthrow.ok({ kind: "stored", offset: 0, end: 1 }));
    };
}

/** A job whose progress takes some 40 bytes for each of its tasks, all of which are running. */
function createEntry(id: string, taskCount: number): jobState.JobEntry {
    const job = jobTesting.createJob({ id, steps: [jobTesting.createStep({ taskCount, longRunning: true })] });
    const progress = jobState.createProgress(0);
    const occurrence = jobState.getOrCreateOccurrence(progress, job, 0);
    for (let task = 0; task < taskCount; task++) {
        const history = jobState.getOrCreateHistory(occurrence, task);
        history.lastRun = 2;
        history.runs = [{ number: 2, server: `server-${task}@1800000000000` }];
    }
    return { id, job, cancelledAt: undefined, progress, storedStatus: undefined };
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
    assert.is(store.keys.size, ids.length);
});

suite("nothing is stored any more because the progress of one job exceeds the size of a record", async () => {
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
    writer.markDirty(createEntry(ids[0]!, 1000));
    writer.markDirty(createEntry(ids[1]!, 1));
    const stored = await Promise.race([writer.flush(), timers.setTimeout(patience, "blocked")]);
    writer.stop();
    assert.is(stored, true);
    assert.is(store.refusals, 0);
    assert.equal(unstorable, [ids[0]]);
    // The first with its status only.
    assert.is(store.keys.size, 2);
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
    assert.is(store.keys.size, 1);
});

suite.run();
