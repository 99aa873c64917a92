/**
 * Limits of the connections between entry instances.
 */
export interface PeerLimits {
    /** Interval between two heartbeats, in ms. */
    readonly heartbeatMs: number;
    /** Time without a heartbeat answer after which a connection is closed, and the time limit of a handshake, in ms. */
    readonly timeoutMs: number;
    /** Maximum size of one message, and of the unsent requests of one connection, in bytes. */
    readonly maxFrameBytes: number;
    /** Maximum number of open connections of a listener. */
    readonly maxConnections: number;
}

/** Maximum number of connections of a listener that have not been authenticated. */
export const maxUnauthenticatedConnections = 32;

/** Maximum size of one message before the handshake is complete, in bytes. */
export const maxHandshakeFrameBytes = 4096;
