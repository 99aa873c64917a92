/**
 * Counts retries and refusals of the platform's clients by reason, and the bytes of their connections.
 */

/** Direction of bytes, as seen from this process. */
export const Direction = {
    received: "received",
    sent: "sent",
} as const;
export type Direction = (typeof Direction)[keyof typeof Direction];

export interface PlatformCounters {
    /** Adds one to the counter `name` for `reason`. */
    count(name: string, reason: string): void;
    /** Adds bytes of a connection, headers included. */
    addBytes?(direction: Direction, bytes: number): void;
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
