/**
 * Detects unhealthy backend servers, on which runs fail or stall, and runs that are stalled.
 *
 * A server that fails every run at once always has free capacity, and would attract most tasks of a burst. An unhealthy
 * server is given a placement penalty rather than excluded: it still gets tasks when no other server has room, so that
 * tasks of a queue that fail everywhere can't take the whole pool out of use.
 */

/** Time constant in ms of the exponential decay of past outcomes. */
const decayTime = 4000;
/** Decayed number of failures from which a server may count as unhealthy. */
const minFailures = 1.5;
/** Decayed failures as a share of all decayed outcomes, from which a server may count as unhealthy. */
const minFailureRatio = 0.4;
/** Added to the placement cost of an unhealthy server, in the units of `placing.ts`. */
const unhealthyPenalty = 20;
/** Time in ms without progress after which a run counts as stalled. */
export const stallTimeout = 1500;

export class ServerHealth {
    #successes = 0;
    #failures = 0;
    #updatedAt = 0;

    /** Records the outcome of a run at `now`, on the steady clock, ms. Runs that were ordered to stop don't count. */
    recordOutcome(succeeded: boolean, now: number): void {
        this.#decay(now);
        if (succeeded) {
            this.#successes += 1;
        }
        else {
            this.#failures += 1;
        }
    }

    /** Penalty for placing tasks on the server at `now`, on the steady clock, ms. */
    computePenalty(now: number): number {
        this.#decay(now);
        const unhealthy = this.#failures >= minFailures
            && this.#failures / (this.#failures + this.#successes) >= minFailureRatio;
        return unhealthy ? unhealthyPenalty : 0;
    }

    #decay(now: number): void {
        const factor = Math.exp(-Math.max(0, now - this.#updatedAt) / decayTime);
        this.#successes *= factor;
        this.#failures *= factor;
        this.#updatedAt = now;
    }
}

/** Progress of a run, as its server reports it in the list of its runs. */
export interface ProgressSample {
    readonly percent: number;
    /** Time on the steady clock, ms, at which `percent` was last seen to change. */
    readonly changedAt: number;
}

/** Whether a run is stalled. `listedAt` is when its server last listed it, on the steady clock, ms. */
export function isStalled(sample: ProgressSample, listedAt: number): boolean {
    return sample.percent < 100 && listedAt - sample.changedAt >= stallTimeout;
}
