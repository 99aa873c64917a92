/**
 * Token bucket that limits the rate of appends. The caller passes the time to each method.
 */

/** Capacity of the bucket, in seconds of the permitted rate; it holds one token at least. */
const burstSeconds = 0.25;

/** Each append takes one token. */
export class TokenBucket {
    private readonly capacity: number;
    private tokens: number;
    private refilledAt = Number.NEGATIVE_INFINITY;

    constructor(private readonly perSecond: number) {
        this.capacity = Math.max(1, perSecond * burstSeconds);
        this.tokens = this.capacity;
    }

    /** Time (ms) from which a token is available. */
    computeReadyTime(now: number): number {
        this.refill(now);
        return this.tokens >= 1 ? now : now + (1 - this.tokens) * 1000 / this.perSecond;
    }

    /** Takes one token; the caller has checked `computeReadyTime`. */
    take(now: number): void {
        this.refill(now);
        this.tokens -= 1;
    }

    private refill(now: number): void {
        const elapsed = Math.max(0, now - this.refilledAt);
        this.tokens = Math.min(this.capacity, this.tokens + elapsed * this.perSecond / 1000);
        this.refilledAt = Math.max(now, this.refilledAt);
    }
}
