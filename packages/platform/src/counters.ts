/**
 * Counts retries and refusals of the platform's clients by reason.
 */
export interface PlatformCounters {
    /** Adds one to the counter `name` for `reason`. */
    count(name: string, reason: string): void;
}

/** Names of the counters that this package adds to. */
export const CounterName = {
    /** An append that is going to be repeated. */
    appendRetry: "append_retry",
    /** A read that is going to be repeated. */
    readRetry: "read_retry",
    /** A record whose caller got an error. */
    appendFailed: "append_failed",
} as const;
