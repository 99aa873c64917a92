/**
 * Budget of retries: a token bucket for each service, filled by first attempts and by a small floor per second.
 *
 * A service whose requests all fail is thus loaded by at most its own rate times one plus the share (the scheme is
 * that of Finagle's retry budgets).
 */

interface Bucket {
    tokens: number;
    updatedAt: number;
}

/** First attempts whose share a bucket can hold. */
const heldAttempts = 200;
/** Seconds of the floor that a bucket can hold. */
const heldFloorSeconds = 2;
const millisecondsPerSecond = 1000;
/** Tolerance for the sum of shares, which binary fractions don't hit exactly. */
const tokenTolerance = 1e-9;

/** Limits retries to a share of first attempts. */
export class RetryBudget {
    readonly #share: number;
    readonly #floorPerSecond: number;
    readonly #maxTokens: number;
    readonly #buckets = new Map<string, Bucket>();

    constructor(share: number, floorPerSecond: number) {
        this.#share = share;
        this.#floorPerSecond = floorPerSecond;
        this.#maxTokens = share * heldAttempts + floorPerSecond * heldFloorSeconds;
    }

    /** Counts a first attempt. */
    recordAttempt(service: string, now: number): void {
        const bucket = this.#refill(service, now);
        bucket.tokens = Math.min(this.#maxTokens, bucket.tokens + this.#share);
    }

    /** Takes the right to one retry; false when the budget is spent. */
    tryTake(service: string, now: number): boolean {
        const bucket = this.#refill(service, now);
        if (bucket.tokens < 1 - tokenTolerance) {
            return false;
        }
        bucket.tokens -= 1;
        return true;
    }

    #refill(service: string, now: number): Bucket {
        const bucket = this.#buckets.get(service);
        if (bucket === undefined) {
            const created = { tokens: Math.min(this.#maxTokens, this.#floorPerSecond), updatedAt: now };
            this.#buckets.set(service, created);
            return created;
        }
        const elapsedSeconds = Math.max(0, now - bucket.updatedAt) / millisecondsPerSecond;
        bucket.tokens = Math.min(this.#maxTokens, bucket.tokens + elapsedSeconds * this.#floorPerSecond);
        bucket.updatedAt = Math.max(bucket.updatedAt, now);
        return bucket;
    }
}
