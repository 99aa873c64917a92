/**
 * Counts what goes wrong between entry instances, by reason, and the bytes that go between them.
 */

/** Direction of bytes, as seen from this process. */
export const Direction = {
    received: "received",
    sent: "sent",
} as const;
export type Direction = (typeof Direction)[keyof typeof Direction];

export interface PeerCounters {
    /** Adds one to the counter `name` for `reason`. */
    count(name: string, reason: string): void;
    /** Adds the bytes of a frame given to a socket, or of a chunk read from one. */
    addBytes?(direction: Direction, bytes: number): void;
}

/** Names of the counters that this package adds to. */
export const CounterName = {
    /** A connection that the accepting side closed. */
    listenerClosed: "peer_listener_closed",
    /** A dial or connection of the asking side that failed. */
    linkFailed: "peer_link_failed",
    /** A question that got no answer. */
    questionFailed: "peer_question_failed",
} as const;
