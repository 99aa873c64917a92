/**
 * Bounds the share of its time that a process spends on recurring work whose duration grows with the backlog. Work that
 * takes long is done less often, so that it can't take the time of what reduces the backlog.
 */
export class DutyCycle {
    #restUntil = Number.NEGATIVE_INFINITY;
    #startedAt = 0;

    /** @param maxShare largest share of the time that the work may take, between 0 and 1 */
    constructor(private readonly maxShare: number) {}

    /** Time in ms from `now`, on the monotonic clock, until the work is due; 0 if it is. */
    computeRest(now: number): number {
        return Math.max(0, this.#restUntil - now);
    }

    /** The work begins at `now`. */
    begin(now: number): void {
        this.#startedAt = now;
    }

    /** The work has ended at `now`. */
    end(now: number): void {
        this.#restUntil = now + (now - this.#startedAt) * (1 / this.maxShare - 1);
    }
}
