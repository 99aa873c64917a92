/**
 * Appends to a topic under the epoch of one coordinator, one append at a time.
 *
 * An append without an answer is repeated under its sequence number, so it is stored once, and not any more after a later
 * one. From the first append of a newer coordinator on, the store refuses those of earlier ones, also if it carries them
 * out late. Any answer but that the append is stored ends the term: what the store holds isn't what this coordinator has
 * stored, so it must not acknowledge or order anything by it.
 */
import * as jobState from "@catkinwharf/job-state";
import type * as platform from "@catkinwharf/platform";
import type * as storeClient from "@catkinwharf/store";
import * as timers from "node:timers/promises";
import type * as leaderElection from "./leader-election.js";

/** Time in ms before the first retry of a failed append: short, since the retry may reach the store through a relay. */
const firstRetryDelay = 10;
/** Longest time in ms between two retries; the delay doubles with each. */
const maxRetryDelay = 120;

export class EpochAppender {
    #stopped = false;
    /** Sequence number of the last append; the first one follows the claim. */
    #sequence: number;

    constructor(
        private readonly store: Pick<storeClient.StoreClient, "append">,
        private readonly topic: string,
        private readonly claim: Pick<leaderElection.Claim, "epoch" | "sequence">,
        /** Receives what the store answered instead of storing an append. */
        private readonly onRefused: (outcome: string) => void,
    ) {
        this.#sequence = claim.sequence;
    }

    stop(): void {
        this.#stopped = true;
    }

    /** Repeats the append until it is stored; false once it can't be any more. Calls must not overlap. */
    async append(records: readonly platform.storeCalls.KeyedRecord[]): Promise<boolean> {
        this.#sequence += 1;
        let retryDelay = firstRetryDelay;
        while (!this.#stopped) {
            const answer = await this.store.append(this.topic, records, {
                producer: { name: jobState.ledgerProducer, epoch: this.claim.epoch, sequence: this.#sequence },
            });
            if (answer.isErr()) {
                await timers.setTimeout(retryDelay);
                retryDelay = Math.min(maxRetryDelay, 2 * retryDelay);
                continue;
            }
            if (answer.value.kind !== "stored") {
                this.onRefused(describeRefusal(answer.value, this.#sequence));
                return false;
            }
            return true;
        }
        return false;
    }
}

function describeRefusal(answer: storeClient.AppendResult, sequence: number): string {
    return answer.kind === "sequence" ? `sequence ${answer.expected} expected, not ${sequence}` : answer.kind;
}
