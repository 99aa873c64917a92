/**
 * Errors of each layer. A layer turns the errors from below into its own before it passes them on.
 */

/** A settings file can't be used. */
export interface SettingsError {
    readonly layer: "settings";
    readonly file: string;
    /** Path of the key, with dots; empty for the whole file. */
    readonly key: string;
    readonly reason: string;
}

/** Why the platform gave no usable answer. */
export const PlatformFault = {
    /** No byte of the question left this process. */
    unreachable: "unreachable",
    /** The question was sent; whether it took effect is not known. */
    unanswered: "unanswered",
    /** The platform refused. */
    refused: "refused",
    /** The answer does not follow the schema. */
    malformed: "malformed",
    /** Records from the wanted offset on are no longer kept. */
    notRetained: "not-retained",
    /** Too many records wait. */
    backlogFull: "backlog-full",
} as const;

export type PlatformFault = (typeof PlatformFault)[keyof typeof PlatformFault];

export interface PlatformError {
    readonly layer: "platform";
    readonly fault: PlatformFault;
    readonly reason: string;
}

/** Why a peer gave no usable answer. */
export const PeerFault = {
    /** The peer's host answers, but no process listens. */
    connectionRefused: "connection-refused",
    /** No connection to the peer; the question was not sent. */
    unreachable: "unreachable",
    /** The question was sent and the connection was lost. */
    lost: "lost",
    /** The question was sent and the time for its answer passed. */
    timedOut: "timed-out",
    /** The peer does not know the shared key, or speaks something else. */
    strange: "strange",
} as const;

export type PeerFault = (typeof PeerFault)[keyof typeof PeerFault];

export interface PeerError {
    readonly layer: "peer";
    readonly fault: PeerFault;
    readonly reason: string;
}

/** Text for an error that was thrown by a library. */
export function describeThrown(thrown: unknown): string {
    return thrown instanceof Error ? thrown.message : String(thrown);
}
