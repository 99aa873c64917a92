/**
 * Counters of the platform clients: retries and failures by reason, and the bytes of their connections.
 */

/** Direction of traffic, as seen from this process. */
export const Direction = {
    received: "received",
    sent: "sent",
} as const;
export type Direction = (typeof Direction)[keyof typeof Direction];

export interface PlatformCounters {
    /** Increments the counter `name` for `reason`. */
    count(name: string, reason: string): void;
    /** Adds bytes of a connection, including the HTTP headers. */
    addBytes?(direction: Direction, bytes: number): void;
}

/** Names of the counters that this package increments. */
export const CounterName = {
    /** Append that failed or got no usable response; its records stay queued or are looked up in the log. */
    appendRetry: "append_retry",
    /** Failed read, which is retried. */
    readRetry: "read_retry",
    /** Record whose caller got an error. */
    appendFailed: "append_failed",
} as const;
