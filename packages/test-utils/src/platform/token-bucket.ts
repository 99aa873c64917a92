/**
 * Token bucket that limits the rate of appends.
 */

/** Its capacity is the tokens of one second, but at least one. */
export class TokenBucket {
    private tokens: number;
    private refilledAt: number | undefined;

    constructor(private readonly tokensPerSecond: number) {
        this.tokens = this.capacity;
    }

    /** Takes a token if one is available, and returns whether it did. */
    tryTake(now: number): boolean {
        const elapsedSeconds = Math.max(0, now - (this.refilledAt ?? now)) / 1000;
        this.tokens = Math.min(this.capacity, this.tokens + elapsedSeconds * this.tokensPerSecond);
        this.refilledAt = now;
        if (this.tokens < 1) {
            return false;
        }
        this.tokens--;
        return true;
    }

    /** Whole seconds until a token is available, at least one. */
    get retryAfterSeconds(): number {
        return Math.max(1, Math.ceil((1 - this.tokens) / this.tokensPerSecond));
    }

    private get capacity(): number {
        return Math.max(1, this.tokensPerSecond);
    }
}
