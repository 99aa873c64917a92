/**
 * Appends a coordinator's records to the ledger: one batch at a time, under the coordinator's epoch.
 *
 * A batch whose append failed is sent again under the same sequence number, so it is stored once. The store fences a
 * coordinator after a newer one has claimed; from then on nothing more is stored.
 */
import * as jobState from "@catkinwharf/job-state";
import type * as platform from "@catkinwharf/platform";
import * as storeClient from "@catkinwharf/store";
import * as timers from "node:timers/promises";
import type * as leaderElection from "./leader-election.js";

/** Time in ms during which records are collected for one append; saves calls at the cost of a short delay. */
const batchDelay = 4;
/** Time in ms before the first retry of a failed append: short, since the retry may reach the store through a relay. */
const firstRetryDelay = 10;
/** Longest time in ms between two retries; the delay doubles with each. */
const maxRetryDelay = 120;
/** Most jobs in one append, in addition to the store's limits. */
const maxJobsPerBatch = 400;

/** Records of one append. */
interface Batch {
    readonly records: readonly platform.storeCalls.KeyedRecord[];
    /** Jobs whose progress is among the records, and its status there. */
    readonly statuses: [jobState.JobEntry, jobState.JobStatus][];
}

export class LedgerWriter {
    readonly #dirtyJobs = new Map<string, jobState.JobEntry>();
    readonly #pendingRecords: platform.storeCalls.KeyedRecord[] = [];
    #waiters: ((stored: boolean) => void)[] = [];
    #writing = false;
    #stopped = false;
    /** Sequence number of the last append; the first one follows the claim. */
    #sequence: number;

    constructor(
        private readonly store: storeClient.StoreClient,
        private readonly limits: platform.settings.StoreLimits,
        private readonly claim: leaderElection.Claim,
        private readonly onFenced: () => void,
        /** A job got another status in the ledger. */
        private readonly onStatusStored: (entry: jobState.JobEntry) => void = () => undefined,
    ) {
        this.#sequence = claim.sequence;
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

    add(record: platform.storeCalls.KeyedRecord): void {
        this.#pendingRecords.push(record);
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
            const stored = batch.records.length === 0 || await this.#append(batch.records);
            // Once stopped, the ledger is read instead, which a later coordinator may have changed.
            if (stored && !this.#stopped) {
                batch.statuses.forEach(([entry, status]) => this.#showStatus(entry, status));
            }
            this.#resolveWaiters(waiters, stored);
        }
        this.#writing = false;
    }

    #showStatus(entry: jobState.JobEntry, status: jobState.JobStatus): void {
        const changed = entry.storedStatus !== status;
        entry.storedStatus = status;
        if (changed) {
            this.onStatusStored(entry);
        }
    }

    #takeBatch(): Batch {
        const batch = new storeClient.RecordBatch(this.limits);
        const statuses: Batch["statuses"] = [];
        const left = this.#pendingRecords.findIndex(record => !batch.add(record));
        this.#pendingRecords.splice(0, left === -1 ? this.#pendingRecords.length : left);
        for (const [id, entry] of left === -1 ? this.#dirtyJobs : []) {
            if (statuses.length === maxJobsPerBatch) {
                break;
            }
            if (entry.progress !== undefined) {
                if (!batch.add(jobState.encodeProgress(id, entry.progress))) {
                    break;
                }
                statuses.push([entry, entry.progress.status]);
            }
            this.#dirtyJobs.delete(id);
        }
        return { records: batch.records, statuses };
    }

    async #append(batch: readonly platform.storeCalls.KeyedRecord[]): Promise<boolean> {
        this.#sequence += 1;
        let retryDelay = firstRetryDelay;
        while (!this.#stopped) {
            const answer = await this.store.append(jobState.ledgerTopic, batch, {
                producer: { name: jobState.ledgerProducer, epoch: this.claim.epoch, sequence: this.#sequence },
            });
            if (answer.isErr()) {
                await timers.setTimeout(retryDelay);
                retryDelay = Math.min(maxRetryDelay, 2 * retryDelay);
                continue;
            }
            // The store expects the number after that of its last batch; a higher one shows that this batch is stored.
            if (answer.value.kind === "sequence" && answer.value.expected <= this.#sequence) {
                this.#sequence = answer.value.expected;
                continue;
            }
            // "moved" can't occur without an expected end; like "fenced" it would mean that the batch wasn't stored.
            if (answer.value.kind === "fenced" || answer.value.kind === "moved") {
                this.onFenced();
                return false;
            }
            return true;
        }
        return false;
    }

    #resolveWaiters(waiters: readonly ((stored: boolean) => void)[], stored: boolean): void {
        waiters.forEach(resolve => resolve(stored));
    }
}
