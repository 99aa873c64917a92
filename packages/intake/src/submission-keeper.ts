/**
 * Stores submissions and cancellations, and says truthfully what became of each.
 *
 * One append is under way at a time; what arrives meanwhile goes into the next. A store that is slow to append, or that
 * has many writers, then gets few appends of many records. An append without an answer may have been carried out: until
 * one is answered its records can't be refused, so it is repeated while the store can be used and the caller waits; the
 * fold takes the first record of a job and drops the others.
 */
import * as jobState from "@catkinwharf/job-state";
import type * as platform from "@catkinwharf/platform";
import * as storeClient from "@catkinwharf/store";
import * as timers from "node:timers/promises";

export const Stored = {
    stored: "stored",
    /** Nothing was stored, and nothing will be. */
    refused: "refused",
    /** It may be stored now or later. */
    unknown: "unknown",
} as const;
export type Stored = (typeof Stored)[keyof typeof Stored];

/** Time in ms between two tries. */
const retryDelay = 80;
/** Tries that the store may refuse before the caller is refused, while none is unanswered. */
const maxRefusals = 3;
/** Most records in one append; far below the store's limit for one call. */
const maxRecordsPerAppend = 200;

interface Waiting {
    readonly record: platform.storeCalls.KeyedRecord;
    /** On the steady clock, ms: when the caller stops waiting. */
    readonly deadline: number;
    readonly settle: (outcome: Stored) => void;
    unknown: boolean;
    refusals: number;
}

export interface KeeperParts {
    readonly store: Pick<storeClient.StoreClient, "append">;
    readonly jobs: jobState.JobTable;
    /** Steady clock, ms. */
    readonly steady: () => number;
    /** The store can't be used from here: a caller who hears so at once can try another entry instance. */
    readonly isStoreOut: () => boolean;
}

export class SubmissionKeeper {
    #waiting: Waiting[] = [];
    #appending = false;

    constructor(private readonly parts: KeeperParts) {}

    /**
     * Stores one record.
     *
     * @param deadline on the steady clock, ms: when the caller stops waiting
     */
    keep(record: platform.storeCalls.KeyedRecord, deadline: number): Promise<Stored> {
        return new Promise(settle => {
            this.#waiting.push({ record, deadline, settle, unknown: false, refusals: 0 });
            if (!this.#appending) {
                this.#appending = true;
                void this.#run().finally(() => this.#appending = false);
            }
        });
    }

    async #run(): Promise<void> {
        while (this.#waiting.length > 0) {
            const batch = this.#waiting.splice(0, maxRecordsPerAppend);
            const answer = await this.parts.store.append(
                jobState.submissionsTopic,
                batch.map(waiting => waiting.record),
            );
            if (answer.isOk()) {
                batch.forEach(waiting => this.#settleStored(waiting));
                continue;
            }
            const unknown = answer.error.fault === storeClient.StoreFault.unknown;
            const left = batch.filter(waiting => !this.#settleFailed(waiting, unknown));
            this.#waiting.unshift(...left);
            await timers.setTimeout(retryDelay);
        }
    }

    #settleStored(waiting: Waiting): void {
        this.parts.jobs.applySubmission(waiting.record.key, waiting.record.value);
        waiting.settle(Stored.stored);
    }

    /** Tells the caller when there is no use in another try; false when there is. */
    #settleFailed(waiting: Waiting, unknown: boolean): boolean {
        waiting.unknown ||= unknown;
        waiting.refusals += unknown ? 0 : 1;
        const late = this.parts.steady() >= waiting.deadline;
        if (waiting.unknown) {
            if (late || this.parts.isStoreOut()) {
                waiting.settle(Stored.unknown);
                return true;
            }
            return false;
        }
        if (late || waiting.refusals >= maxRefusals) {
            waiting.settle(Stored.refused);
            return true;
        }
        return false;
    }
}
