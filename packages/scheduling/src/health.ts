/**
 * Detects runs that are stalled, and unhealthy backend servers, on which many runs fail or stall.
 *
 * A server that fails every run at once always has free capacity, and would attract most tasks of a burst. An unhealthy
 * server is given a placement penalty rather than excluded: it still gets tasks when no other server has room, so that
 * tasks of a queue that fail everywhere can't take the whole pool out of use.
 */

/** Time in ms in which the weight of an outcome decays by a factor of e. */
const decayTime = 4000;
/** Decayed number of failures from which a server may count as unhealthy. */
const minFailures = 1.5;
/** Decayed failures as a share of all decayed outcomes, from which a server may count as unhealthy. */
const minFailureRatio = 0.4;
/**
 * Added to the cost of placing a task on an unhealthy server: more than the costs in `placing.ts` together, so that
 * healthy servers with room come first.
 */
const unhealthyPenalty = 20;
/** Time in ms without progress after which a run is stalled. */
export const stallTimeout = 1500;

/** Recent outcomes of the runs on one backend server. */
export class ServerHealth {
    #successes = 0;
    #failures = 0;
    #updatedAt = 0;

    /**
     * Records the outcome of a run at `now`, in ms on the monotonic clock. A stalled run counts as failed; the caller
     * doesn't report other runs that it ordered to stop.
     */
    recordOutcome(succeeded: boolean, now: number): void {
        this.#decay(now);
        if (succeeded) {
            this.#successes += 1;
        }
        else {
            this.#failures += 1;
        }
    }

    /** Penalty for placing a task on the server at `now`, in ms on the monotonic clock. */
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

/** How far a run is, by the lists of runs that its backend server sends. */
export interface CompletionSample {
    /** Share of the run's work that is done, in percent. */
    readonly percent: number;
    /** Time in ms on the monotonic clock at which a list last showed a changed `percent`. */
    readonly changedAt: number;
}

/**
 * Whether a run is stalled.
 *
 * @param listedAt time in ms on the monotonic clock of the server's last list; what the run did since then isn't known
 */
export function isStalled(sample: CompletionSample, listedAt: number): boolean {
    return sample.percent < 100 && listedAt - sample.changedAt >= stallTimeout;
}
