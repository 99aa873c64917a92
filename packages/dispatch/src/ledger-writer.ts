/**
 * Appends a coordinator's records to the ledger: one batch at a time, under the coordinator's epoch.
 *
 * A batch whose answer was lost is sent again under its number, so it is stored once. The store refuses a coordinator
 * that has been succeeded; from then on nothing more is stored.
 */
import * as jobState from "@catkinwharf/job-state";
import type * as platform from "@catkinwharf/platform";
import type * as storeClient from "@catkinwharf/store";
import * as timers from "node:timers/promises";

/** Time in ms during which records are gathered into one append; spares calls at little delay. */
const gatherTime = 4;
/** Time in ms before a batch without an answer is sent again: at first over another way at once, then more rarely. */
const firstRetryDelay = 10;
const longestRetryDelay = 120;
/** Most jobs in one append; keeps a batch far below the store's limit for one call. */
const maxJobsPerBatch = 400;

export class LedgerWriter {
    readonly #dirty = new Map<string, jobState.JobEntry>();
    #extra: platform.storeCalls.KeyedRecord[] = [];
    #waiters: ((stored: boolean) => void)[] = [];
    #writing = false;
    #stopped = false;
    /** Number of the last append; setting the epoch was number 0. */
    #sequence = 0;

    constructor(
        private readonly store: storeClient.StoreClient,
        private readonly epoch: number,
        private readonly onSucceeded: () => void,
    ) {}

    /** The progress of a job has changed. */
    mark(entry: jobState.JobEntry): void {
        this.#dirty.set(entry.id, entry);
        this.#wake();
    }

    add(record: platform.storeCalls.KeyedRecord): void {
        this.#extra.push(record);
        this.#wake();
    }

    /** Resolves to true when all that was marked so far is stored, to false when it never will be by this writer. */
    flush(): Promise<boolean> {
        if (this.#stopped) {
            return Promise.resolve(false);
        }
        return new Promise(resolve => {
            this.#waiters.push(resolve);
            this.#wake();
        });
    }

    stop(): void {
        this.#stopped = true;
        this.#settle(this.#waiters.splice(0), false);
    }

    #wake(): void {
        if (!this.#writing && !this.#stopped) {
            this.#writing = true;
            void this.#run();
        }
    }

    async #run(): Promise<void> {
        await timers.setTimeout(gatherTime);
        while (!this.#stopped && (this.#dirty.size > 0 || this.#extra.length > 0 || this.#waiters.length > 0)) {
            const waiters = this.#dirty.size <= maxJobsPerBatch ? this.#waiters.splice(0) : [];
            const batch = this.#takeBatch();
            const stored = batch.length === 0 || await this.#append(batch);
            this.#settle(waiters, stored);
        }
        this.#writing = false;
    }

    #takeBatch(): platform.storeCalls.KeyedRecord[] {
        const batch = this.#extra;
        this.#extra = [];
        let taken = 0;
        for (const [id, entry] of this.#dirty) {
            if (taken === maxJobsPerBatch) {
                break;
            }
            taken += 1;
            this.#dirty.delete(id);
            if (entry.progress !== undefined) {
                batch.push(jobState.encodeProgress(id, entry.progress));
            }
        }
        return batch;
    }

    async #append(batch: readonly platform.storeCalls.KeyedRecord[]): Promise<boolean> {
        this.#sequence += 1;
        let retryDelay = firstRetryDelay;
        while (!this.#stopped) {
            const answer = await this.store.append(jobState.ledgerTopic, batch, {
                producer: { name: jobState.ledgerProducer, epoch: this.epoch, sequence: this.#sequence },
            });
            if (answer.isErr()) {
                await timers.setTimeout(retryDelay);
                retryDelay = Math.min(longestRetryDelay, 2 * retryDelay);
                continue;
            }
            if (answer.value.kind === "sequence" && answer.value.expected <= this.#sequence) {
                this.#sequence = answer.value.expected;
                continue;
            }
            if (answer.value.kind === "fenced" || answer.value.kind === "moved") {
                this.onSucceeded();
                return false;
            }
            return true;
        }
        return false;
    }

    #settle(waiters: readonly ((stored: boolean) => void)[], stored: boolean): void {
        waiters.forEach(resolve => resolve(stored));
    }
}
