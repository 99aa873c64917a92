/**
 * Token bucket that bounds appends a second. It reads no clock.
 */

/** Share of a second whose appends may be made at once. */
const burstSeconds = 0.25;

/** Budget of appends; every function that decides takes the present time. */
export class RateBudget {
    private readonly capacity: number;
    private tokens: number;
    private filledAt = Number.NEGATIVE_INFINITY;

    constructor(private readonly perSecond: number) {
        this.capacity = Math.max(1, perSecond * burstSeconds);
        this.tokens = this.capacity;
    }

    /** Time (ms) from which one append may be made. */
    readyAt(now: number): number {
        this.fill(now);
        return this.tokens >= 1 ? now : now + (1 - this.tokens) * 1000 / this.perSecond;
    }

    /** Takes one append out of the budget; the caller has checked `readyAt`. */
    take(now: number): void {
        this.fill(now);
        this.tokens -= 1;
    }

    private fill(now: number): void {
        const elapsed = Math.max(0, now - this.filledAt);
        this.tokens = Math.min(this.capacity, this.tokens + elapsed * this.perSecond / 1000);
        this.filledAt = Math.max(now, this.filledAt);
    }
}
