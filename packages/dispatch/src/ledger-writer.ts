/**
 * Collects a coordinator's records for the ledger, and appends them one batch at a time, under the coordinator's epoch.
 *
 * The store fences a coordinator after a newer one has claimed; from then on nothing more is stored.
 */
import type * as eventLog from "@catkinwharf/event-log";
import * as jobState from "@catkinwharf/job-state";
import type * as platform from "@catkinwharf/platform";
import * as storeClient from "@catkinwharf/store";
import * as timers from "node:timers/promises";
import * as epochAppender from "./epoch-appender.js";
import type * as leaderElection from "./leader-election.js";

/** Time in ms during which records are collected for one append; saves calls at the cost of a short delay. */
const batchDelay = 4;
/** Most jobs in one append, in addition to the store's limits. */
const maxJobsPerBatch = 400;

/** A status that is shown to callers once its record is stored. */
interface ShownStatus {
    readonly entry: jobState.JobEntry;
    readonly status: jobState.JobStatus;
    /** The record shows a settled job without runs. */
    readonly isOver: boolean;
}

interface PendingRecord {
    readonly record: platform.storeCalls.KeyedRecord;
    readonly shown?: ShownStatus;
}

/** Records of one append. */
interface Batch {
    readonly records: readonly platform.storeCalls.KeyedRecord[];
    readonly statuses: readonly ShownStatus[];
}

export interface LedgerWriterOptions {
    readonly store: storeClient.StoreClient;
    readonly storeLimits: platform.settings.StoreLimits;
    readonly claim: leaderElection.Claim;
    /** Monotonic time in ms. */
    readonly now: () => number;
    readonly log: eventLog.EventLog;
    /** The store has refused an append, as another process has claimed this epoch or a later one. */
    readonly onRefused: (outcome: string) => void;
    /** A job got another status in the ledger. */
    readonly onStatusStored: (entry: jobState.JobEntry) => void;
    /** A part of the job's progress is larger than a record may be; none of it is stored until the job is settled. */
    readonly onUnstorable: (entry: jobState.JobEntry) => void;
}

export class LedgerWriter {
    readonly #dirtyJobs = new Map<string, jobState.JobEntry>();
    /** In the order in which they have to be stored. */
    readonly #pendingRecords: PendingRecord[] = [];
    #waiters: ((stored: boolean) => void)[] = [];
    #writing = false;
    #stopped = false;
    readonly #appender: epochAppender.EpochAppender;
    /** On the monotonic clock: this epoch was the newest then, as its claim or an append first sent then was stored after it. */
    heldAt: number;

    constructor(private readonly options: LedgerWriterOptions) {
        const { store, claim, onRefused } = options;
        // Not the present time: another process may have claimed while this one was paused or read what it takes over.
        this.heldAt = claim.claimedAt;
        this.#appender = new epochAppender.EpochAppender(store, jobState.ledgerTopic, claim, onRefused);
    }

    /** Queues the job's changed progress for the next batch. */
    markDirty(entry: jobState.JobEntry): void {
        this.#dirtyJobs.set(entry.id, entry);
        this.#startWriting();
    }

    /** Adds the job's changed progress to the next batch, which another change or the next heartbeat begins. */
    addToNextBatch(entry: jobState.JobEntry): void {
        this.#dirtyJobs.set(entry.id, entry);
    }

    /** Queues a record for the next batch. One that is larger than a record may be is dropped: it would block all others. */
    add(record: platform.storeCalls.KeyedRecord): void {
        if (!storeClient.isStorable(record, this.options.storeLimits)) {
            this.options.log.warn("record-unstorable", { key: record.key, size: record.value.length });
            return;
        }
        this.#pendingRecords.push({ record });
        this.#startWriting();
    }

    /** Resolves to true once everything queued so far is stored, or to false if this writer can no longer store it. */
    flush(): Promise<boolean> {
        if (this.#stopped) {
            return Promise.resolve(false);
        }
        return new Promise(resolve => {
            this.#waiters.push(resolve);
            this.#startWriting();
        });
    }

    stop(): void {
        this.#stopped = true;
        this.#appender.stop();
        this.#resolveWaiters(this.#waiters.splice(0), false);
    }

    #startWriting(): void {
        if (!this.#writing && !this.#stopped) {
            this.#writing = true;
            void this.#writeBatches();
        }
    }

    async #writeBatches(): Promise<void> {
        await timers.setTimeout(batchDelay);
        while (
            !this.#stopped && (this.#dirtyJobs.size > 0 || this.#pendingRecords.length > 0 || this.#waiters.length > 0)
        ) {
            const batch = this.#takeBatch();
            const isComplete = this.#dirtyJobs.size === 0 && this.#pendingRecords.length === 0;
            const waiters = isComplete ? this.#waiters.splice(0) : [];
            const sentAt = this.options.now();
            const stored = batch.records.length === 0 || await this.#appender.append(batch.records);
            if (stored && batch.records.length > 0) {
                this.heldAt = sentAt;
            }
            // Once stopped, the ledger is read instead, which a later coordinator may have changed.
            if (stored && !this.#stopped) {
                batch.statuses.forEach(shown => this.#showStatus(shown));
            }
            this.#resolveWaiters(waiters, stored);
        }
        this.#writing = false;
    }

    #showStatus({ entry, status, isOver }: ShownStatus): void {
        const changed = entry.storedStatus !== status;
        entry.storedStatus = status;
        entry.endStored = isOver;
        if (changed) {
            this.options.onStatusStored(entry);
        }
    }

    #takeBatch(): Batch {
        const batch = new storeClient.RecordBatch(this.options.storeLimits);
        const statuses: ShownStatus[] = [];
        this.#fillBatch(batch, statuses);
        let jobCount = 0;
        for (const [id, entry] of this.#dirtyJobs) {
            if (jobCount === maxJobsPerBatch || this.#pendingRecords.length > 0) {
                break;
            }
            jobCount += 1;
            this.#dirtyJobs.delete(id);
            this.#takeRecords(entry).forEach(record => this.#pendingRecords.push(record));
            this.#fillBatch(batch, statuses);
        }
        return { records: batch.records, statuses };
    }

    /** Moves pending records to the batch, as many as it can take. */
    #fillBatch(batch: storeClient.RecordBatch, statuses: ShownStatus[]): void {
        const left = this.#pendingRecords.findIndex(({ record }) => !batch.add(record));
        const taken = this.#pendingRecords.splice(0, left === -1 ? this.#pendingRecords.length : left);
        statuses.push(...taken.flatMap(({ shown }) => shown ?? []));
    }

    /** Takes the records of the job's changed progress; none if the store wouldn't take one, and with it no other. */
    #takeRecords(entry: jobState.JobEntry): PendingRecord[] {
        const { job, progress, storedParts } = entry;
        if (job === undefined || progress === undefined) {
            return [];
        }
        const { storeLimits, onUnstorable } = this.options;
        const shown = { entry, status: progress.status, isOver: jobState.isOver(progress) };
        const taken = jobState.takeProgressRecords(job, progress, storedParts, storeLimits.recordSize);
        if ([...taken.parts, taken.job].every(record => storeClient.isStorable(record, storeLimits))) {
            return [
                ...taken.parts.map(record => ({ record })),
                { record: taken.job, shown },
                ...taken.obsolete.map(record => ({ record })),
            ];
        }
        if (jobState.isSettled(progress.status)) {
            return [{ record: jobState.encodeStatus(entry.id, progress), shown }]; // Its tasks don't start again.
        }
        onUnstorable(entry);
        return [];
    }

    #resolveWaiters(waiters: readonly ((stored: boolean) => void)[], stored: boolean): void {
        waiters.forEach(resolve => resolve(stored));
    }
}
