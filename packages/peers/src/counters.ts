/**
 * Counters of the connections between entry instances: failures by reason, and bytes.
 */

/** Direction of traffic, as seen from this process. */
export const Direction = {
    received: "received",
    sent: "sent",
} as const;
export type Direction = (typeof Direction)[keyof typeof Direction];

export interface PeerCounters {
    /** Increments the counter `name` for `reason`. */
    count(name: string, reason: string): void;
    /** Adds the bytes of a frame written to a socket, or of a chunk read from one. */
    addBytes?(direction: Direction, bytes: number): void;
}

/** Names of the counters that this package increments. */
export const CounterName = {
    /** Connection closed by the accepting side because of a fault. */
    listenerClosed: "peer_listener_closed",
    /** Failed dial, failed connection or unexpected message on the dialing side. */
    linkFailed: "peer_link_failed",
    /** Request that got no response. */
    requestFailed: "peer_question_failed",
} as const;
