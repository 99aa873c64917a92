/**
 * Token bucket that limits the rate of appends.
 */

/** Holds the tokens of one second. */
export class TokenBucket {
    private tokens: number;
    private filledAt: number | undefined;

    constructor(private readonly tokensPerSecond: number) {
        this.tokens = this.capacity;
    }

    /** Takes a token if there is one. */
    take(now: number): boolean {
        const elapsedSeconds = Math.max(0, now - (this.filledAt ?? now)) / 1000;
        this.tokens = Math.min(this.capacity, this.tokens + elapsedSeconds * this.tokensPerSecond);
        this.filledAt = now;
        if (this.tokens < 1) {
            return false;
        }
        this.tokens--;
        return true;
    }

    /** Whole seconds until there is a token, at least one. */
    get retryAfterSeconds(): number {
        return Math.max(1, Math.ceil((1 - this.tokens) / this.tokensPerSecond));
    }

    private get capacity(): number {
        return Math.max(1, this.tokensPerSecond);
    }
}
