/**
 * Authenticated connections between entry instances, with framed messages.
 */
export type { PeerHandlers } from "./accepted-connection.js";
export * from "./counters.js";
export type { HeartbeatContent } from "./dialed-connection.js";
export type { PeerIdentity } from "./handshake.js";
export type { PeerLimits } from "./limits.js";
export * from "./link.js";
export * from "./listener.js";
export type { ResponseOutcome } from "./pending-requests.js";
