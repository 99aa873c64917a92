/**
 * Stores submissions and cancellations, and says truthfully what became of each.
 *
 * An append without an answer may have been carried out. Until one is answered the job can't be refused, so the append
 * is repeated while the store can be used and the caller waits; the fold takes the first record of a job and drops the others.
 */
import * as jobState from "@catkinwharf/job-state";
import type * as platform from "@catkinwharf/platform";
import * as storeClient from "@catkinwharf/store";

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

export class SubmissionKeeper {
    constructor(
        private readonly store: Pick<storeClient.StoreClient, "append">,
        private readonly jobs: jobState.JobTable,
        private readonly steady: () => number,
        /** The store can't be used from here: a caller who hears so at once can try another entry instance. */
        private readonly isStoreOut: () => boolean,
    ) {}

    /**
     * Stores one record.
     *
     * @param deadline on the steady clock, ms: when the caller stops waiting
     */
    async keep(record: platform.storeCalls.KeyedRecord, deadline: number): Promise<Stored> {
        let unknown = false;
        let refusals = 0;
        for (;;) {
            const left = deadline - this.steady();
            if (left <= 0) {
                return unknown ? Stored.unknown : Stored.refused;
            }
            const answer = await this.store.append(
                jobState.submissionsTopic,
                [record],
                {},
                Math.min(left, storeClient.callTimeout),
            );
            if (answer.isOk()) {
                this.jobs.applySubmission(record.key, record.value);
                return Stored.stored;
            }
            if (answer.error.fault === storeClient.StoreFault.unknown) {
                unknown = true;
                if (this.isStoreOut()) {
                    return Stored.unknown;
                }
            }
            else {
                refusals += 1;
                if (!unknown && refusals >= maxRefusals) {
                    return Stored.refused;
                }
            }
            await new Promise(resolve => setTimeout(resolve, retryDelay));
        }
    }
}
