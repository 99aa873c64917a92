/**
 * Error types of each layer. A layer converts the errors of the layer below into its own before returning them.
 */

/** A settings file that can't be read, parsed or validated. */
export interface SettingsError {
    readonly layer: "settings";
    readonly file: string;
    /** Dotted path of the invalid key; empty if the error concerns the whole file. */
    readonly key: string;
    readonly reason: string;
}

/** Why a request to the platform failed. */
export const PlatformFault = {
    /** The request was not sent, or the queued record was not appended; it had no effect. */
    unreachable: "unreachable",
    /** The request was sent but got no complete response, so it may have taken effect. */
    unanswered: "unanswered",
    /** The platform rejected the request. */
    refused: "refused",
    /** The response does not match its schema. */
    malformed: "malformed",
    /** The records at the requested offset have been deleted from the log. */
    notRetained: "not-retained",
    /** The queue of records to append is full. */
    backlogFull: "backlog-full",
} as const;

export type PlatformFault = (typeof PlatformFault)[keyof typeof PlatformFault];

export interface PlatformError {
    readonly layer: "platform";
    readonly fault: PlatformFault;
    readonly reason: string;
}

/** Why a request to a peer failed. */
export const PeerFault = {
    /** The peer's host refused the connection: no process listens on the port. The request was not sent. */
    connectionRefused: "connection-refused",
    /** There was no usable connection to the peer; the request was not sent. */
    unreachable: "unreachable",
    /** The connection was lost after the request was sent; the peer may have run it. */
    lost: "lost",
    /** The request was sent and no response arrived before the timeout; the peer may have run it. */
    timedOut: "timed-out",
    /** Another session than the expected one answers at the peer's address; the request was not sent. */
    strange: "strange",
} as const;

export type PeerFault = (typeof PeerFault)[keyof typeof PeerFault];

export interface PeerError {
    readonly layer: "peer";
    readonly fault: PeerFault;
    readonly reason: string;
}

/** Message of a thrown value, which need not be an `Error`. */
export function getErrorMessage(thrown: unknown): string {
    return thrown instanceof Error ? thrown.message : String(thrown);
}
