/**
 * Bounds of the connections between entry instances.
 */
export interface PeerLimits {
    /** Between two heartbeats, in ms. */
    readonly heartbeatMs: number;
    /** Without an answer until a connection is given up, and until a handshake must have ended, in ms. */
    readonly timeoutMs: number;
    /** Bytes of one message, and of the messages that may wait in one connection. */
    readonly maxFrameBytes: number;
    /** Connections that a listener keeps. */
    readonly maxConnections: number;
}

/** Connections of one listener that have not proved that they know the key. */
export const maxUnauthenticated = 32;

/** Bytes of one message before the handshake has ended. */
export const maxHandshakeFrameBytes = 4096;
