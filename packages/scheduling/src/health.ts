/**
 * Which servers to shun: those on which runs fail or stand still, while others do well.
 *
 * Load: a server that fails everything is free again at once, and would draw most of a burst. A shunned server still gets
 * tasks when no other has room, so that a fault of a queue's tasks can't close its pool.
 */

/** Time in ms in which the memory of an end fades by a factor of e. */
const memory = 4000;
/** Weight of recent bad ends from which a server is shunned. */
const leastBad = 1.5;
/** Share of bad ends from which a server is shunned. */
const badShare = 0.4;
/** Cost of a shunned server beside that of an open one, in the units of placing. */
const shunnedPenalty = 20;
/** Time in ms for which a run may make no progress. */
export const stallTime = 1500;

export class ServerHealth {
    #good = 0;
    #bad = 0;
    #at = 0;

    /** A run ended well, or badly through no order of ours, at `now` on the steady clock, ms. */
    note(good: boolean, now: number): void {
        this.#fade(now);
        if (good) {
            this.#good += 1;
        }
        else {
            this.#bad += 1;
        }
    }

    /** What the server costs in placing at `now`, on the steady clock, ms. */
    measurePenalty(now: number): number {
        this.#fade(now);
        const shunned = this.#bad >= leastBad && this.#bad / (this.#bad + this.#good) >= badShare;
        return shunned ? shunnedPenalty : 0;
    }

    #fade(now: number): void {
        const factor = Math.exp(-Math.max(0, now - this.#at) / memory);
        this.#good *= factor;
        this.#bad *= factor;
        this.#at = now;
    }
}

/** What a list says of a run's progress. */
export interface ProgressSample {
    readonly percent: number;
    /** On the steady clock, ms: when it was seen to change last. */
    readonly changedAt: number;
}

/** Whether a run stands still: `listedAt` is when its server listed it last, on the steady clock, ms. */
export function isStalled(sample: ProgressSample, listedAt: number): boolean {
    return sample.percent < 100 && listedAt - sample.changedAt >= stallTime;
}
