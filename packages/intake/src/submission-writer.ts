/**
 * Writes submissions and cancellations to the store, and reports to each caller whether the record was stored.
 *
 * Only one append is in flight at a time; records that arrive meanwhile are batched into the next one, so a store that
 * is slow or has many writers gets few large appends. An append without a response may have been carried out, so its
 * records can't be reported as refused. It is retried while the store is available and the caller waits. Duplicates are
 * harmless: readers of the topic apply the first submission and the first cancellation of a job and ignore
 * repetitions.
 */
import * as jobState from "@catkinwharf/job-state";
import type * as platform from "@catkinwharf/platform";
import * as store from "@catkinwharf/store";
import * as timers from "node:timers/promises";

export const WriteOutcome = {
    stored: "stored",
    /** The record was not stored and will not be. */
    refused: "refused",
    /** The record may have been stored, or may still be. */
    unknown: "unknown",
    /** The job was cancelled meanwhile; the record isn't sent any more, and has no effect if it is stored. */
    cancelled: "cancelled",
} as const;
export type WriteOutcome = (typeof WriteOutcome)[keyof typeof WriteOutcome];

/** Time in ms before a failed append is retried. */
const retryDelay = 80;
/** Number of refused attempts after which the write is reported as refused, unless an attempt got no response. */
const maxRefusals = 3;
/**
 * Longest time in ms for which a record is sent again, however long its caller waits: it is part of how late a submission may be
 * stored, for which cancellations of unknown jobs are kept.
 */
const maxWriteTime = 10_000;
/** Maximum records in one append, in addition to the store's limits. */
const maxRecordsPerAppend = 200;

/** A record that is to be stored for a caller. */
export interface CallerWrite {
    readonly record: platform.storeCalls.KeyedRecord;
    /** Monotonic time in ms by which the caller's response has to be sent. */
    readonly deadline: number;
    /**
     * Whether this process applies the record once it is stored, before it reads it from the topic; not if another record of
     * the job may have been stored first, as the first one that is applied counts.
     */
    readonly appliesAtOnce: boolean;
    /** Whether the job has been cancelled meanwhile. */
    readonly isCancelled: () => boolean;
}

interface PendingWrite extends CallerWrite {
    readonly resolve: (outcome: WriteOutcome) => void;
    /** Monotonic time in ms after which the record isn't sent again. */
    readonly sentUntil: number;
    /** The outcome of an earlier append with this record is unknown. */
    mayBeStored: boolean;
    refusals: number;
}

export interface SubmissionWriterOptions {
    readonly store: Pick<store.StoreClient, "append">;
    readonly storeLimits: platform.settings.StoreLimits;
    readonly jobs: jobState.JobTable;
    /** Monotonic time in ms. */
    readonly monotonicNow: () => number;
    /**
     * Whether the store counts as unavailable to this process, by its last calls. Writes with an unknown outcome are
     * then no longer retried, so that their callers can try another entry instance at once.
     */
    readonly isStoreUnavailable: () => boolean;
}

export class SubmissionWriter {
    #pending: PendingWrite[] = [];
    #appending = false;

    constructor(private readonly options: SubmissionWriterOptions) {}

    /** Stores a record. */
    write(write: CallerWrite): Promise<WriteOutcome> {
        const sentUntil = Math.min(write.deadline, this.options.monotonicNow() + maxWriteTime);
        return new Promise(resolve => {
            this.#pending.push({ ...write, sentUntil, resolve, mayBeStored: false, refusals: 0 });
            if (!this.#appending) {
                this.#appending = true;
                void this.#run();
            }
        });
    }

    async #run(): Promise<void> {
        try {
            while (this.#pending.length > 0) {
                const batch = this.#takeBatch();
                if (batch.length === 0) {
                    continue; // None of them may be sent any more.
                }
                const result = await this.options.store.append(
                    jobState.submissionsTopic,
                    batch.map(write => write.record),
                );
                if (result.isOk()) {
                    batch.forEach(write => this.#resolveStored(write));
                    continue;
                }
                const outcomeUnknown = result.error.fault === store.StoreFault.unknown;
                const retries = batch.filter(write => !this.#resolveFailed(write, outcomeUnknown));
                this.#pending.unshift(...retries);
                await timers.setTimeout(retryDelay);
            }
        }
        finally {
            // Not once the promise is settled: a write that came in between would wait for the next one.
            this.#appending = false;
        }
    }

    #takeBatch(): PendingWrite[] {
        this.#pending = this.#pending.filter(write => !this.#resolveOverdue(write));
        const batch = new store.RecordBatch(this.options.storeLimits);
        const count = this.#pending.slice(0, maxRecordsPerAppend).findIndex(({ record }) => !batch.add(record));
        return this.#pending.splice(0, count === -1 ? maxRecordsPerAppend : count);
    }

    /** Resolves a write that must not be sent any more; returns whether it was resolved. */
    #resolveOverdue(write: PendingWrite): boolean {
        if (write.isCancelled()) {
            write.resolve(WriteOutcome.cancelled);
            return true;
        }
        if (this.options.monotonicNow() < write.sentUntil) {
            return false;
        }
        write.resolve(write.mayBeStored ? WriteOutcome.unknown : WriteOutcome.refused);
        return true;
    }

    #resolveStored(write: PendingWrite): void {
        if (write.appliesAtOnce) {
            this.options.jobs.applySubmission(write.record.key, write.record.value, false);
        }
        write.resolve(WriteOutcome.stored);
    }

    /**
     * Resolves a write after a failed append unless it can be retried; returns whether it was resolved.
     *
     * @param outcomeUnknown whether this append may have been carried out, or may still be
     */
    #resolveFailed(write: PendingWrite, outcomeUnknown: boolean): boolean {
        write.mayBeStored ||= outcomeUnknown;
        write.refusals += outcomeUnknown ? 0 : 1;
        const expired = this.options.monotonicNow() >= write.sentUntil;
        if (write.mayBeStored) {
            if (expired || this.options.isStoreUnavailable()) {
                write.resolve(WriteOutcome.unknown);
                return true;
            }
            return false;
        }
        if (expired || write.refusals >= maxRefusals) {
            write.resolve(WriteOutcome.refused);
            return true;
        }
        return false;
    }
}
