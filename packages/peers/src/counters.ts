/**
 * Counts what goes wrong between entry instances, by reason.
 */
export interface PeerCounters {
    /** Adds one to the counter `name` for `reason`. */
    count(name: string, reason: string): void;
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
