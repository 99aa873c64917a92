/**
 * Retry budget: a token bucket for each service, filled by first attempts and at a small minimum rate per second.
 *
 * Retries thus increase the load on a failing service at most by the share of its first attempts, in addition to the
 * minimum rate (as in Finagle's retry budgets).
 */

interface Bucket {
    tokens: number;
    updatedAt: number;
}

/** Number of first attempts whose tokens a bucket can hold. */
const maxBufferedAttempts = 200;
/** Number of seconds of the minimum rate whose tokens a bucket can hold. */
const maxBufferedSeconds = 2;
const millisecondsPerSecond = 1000;
/** Tolerance for rounding errors in the sum of shares in binary floating point. */
const tokenTolerance = 1e-9;

/** Limits retries to a share of first attempts. */
export class RetryBudget {
    readonly #share: number;
    readonly #minRetriesPerSecond: number;
    readonly #maxTokens: number;
    readonly #buckets = new Map<string, Bucket>();

    constructor(share: number, minRetriesPerSecond: number) {
        this.#share = share;
        this.#minRetriesPerSecond = minRetriesPerSecond;
        this.#maxTokens = share * maxBufferedAttempts + minRetriesPerSecond * maxBufferedSeconds;
    }

    /** Adds the tokens of a first attempt. */
    recordAttempt(service: string, now: number): void {
        const bucket = this.#refill(service, now);
        bucket.tokens = Math.min(this.#maxTokens, bucket.tokens + this.#share);
    }

    /** Takes the token for one retry; false when the budget is exhausted. */
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
            // A new bucket holds the tokens that the minimum rate yields in one second.
            const created = { tokens: Math.min(this.#maxTokens, this.#minRetriesPerSecond), updatedAt: now };
            this.#buckets.set(service, created);
            return created;
        }
        const elapsedSeconds = Math.max(0, now - bucket.updatedAt) / millisecondsPerSecond;
        bucket.tokens = Math.min(this.#maxTokens, bucket.tokens + elapsedSeconds * this.#minRetriesPerSecond);
        bucket.updatedAt = Math.max(bucket.updatedAt, now);
        return bucket;
    }
}
