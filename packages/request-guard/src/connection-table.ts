/**
 * Decides which connections of a port are closed: those that exceed a time limit, and the one that makes the least
 * progress when there are too many.
 */
import type * as guardLimits from "./guard-limits.js";

/** What a connection waits for. */
export const Phase = {
    /** The client hasn't sent anything since the connection was opened. */
    silent: "silent",
    /** The client sends the head of a request. */
    head: "head",
    /** The client sends a body. */
    body: "body",
    /** This process prepares a response. */
    response: "response",
    /** The client reads a response. */
    reading: "reading",
    /** The last response was read, and no request has begun. */
    idle: "idle",
    /** A refusal was sent, and the connection closes. */
    closing: "closing",
} as const;
export type Phase = (typeof Phase)[keyof typeof Phase];

/** Why a connection is closed. */
export const CloseReason = {
    headerTimeout: "header-timeout",
    bodyTimeout: "body-timeout",
    responseTimeout: "response-timeout",
    tooManyConnections: "too-many-connections",
    tooManyPipelined: "too-many-pipelined",
    bodyMemory: "body-memory",
    bodyChunks: "body-chunks",
    /** The kernel may hold too much of bodies that are on the way. */
    arrivingMemory: "arriving-memory",
    responseMemory: "response-memory",
    /** More of a body was sent than any body may have. */
    bodyTooLarge: "body-too-large",
    /** The head is too large or malformed. */
    malformedHead: "malformed-head",
} as const;
export type CloseReason = (typeof CloseReason)[keyof typeof CloseReason];

/** A request whose response the client hasn't read. */
export interface PendingRequest {
    /** Monotonic time in ms of the end of its head. */
    readonly startedAt: number;
    readonly bodyComplete: boolean;
    /** Monotonic time in ms; `undefined` while this process prepares the response. */
    respondedAt: number | undefined;
}

export interface Connection {
    readonly openedAt: number;
    /** Oldest first. */
    readonly requests: PendingRequest[];
    /** Monotonic time in ms of the first byte of a head that isn't complete. */
    headSince: number | undefined;
    /** Monotonic time in ms since which it has no request; `undefined` before the first one. */
    idleSince: number | undefined;
    closingSince: number | undefined;
}

export function createConnection(now: number): Connection {
    return { openedAt: now, requests: [], headSince: undefined, idleSince: undefined, closingSince: undefined };
}

/** What the connection waits for, and since when. */
export function describePhase(connection: Connection): { readonly phase: Phase; readonly since: number; } {
    const { requests, headSince, idleSince, closingSince, openedAt } = connection;
    if (closingSince !== undefined) {
        return { phase: Phase.closing, since: closingSince };
    }
    const [oldest] = requests;
    if (oldest?.respondedAt !== undefined && oldest.bodyComplete) {
        return { phase: Phase.reading, since: oldest.respondedAt };
    }
    const unfinished = requests.find(request => !request.bodyComplete);
    if (unfinished !== undefined) {
        return { phase: Phase.body, since: unfinished.startedAt };
    }
    if (oldest !== undefined) {
        return { phase: Phase.response, since: oldest.startedAt };
    }
    if (headSince !== undefined) {
        return { phase: Phase.head, since: headSince };
    }
    return idleSince === undefined ? { phase: Phase.silent, since: openedAt } : { phase: Phase.idle, since: idleSince };
}

/** Time in ms for which a refused client may read the refusal before its connection is closed. */
export const closingTime = 500;
/**
 * Age in ms from which a connection that waits for its client counts as stalled; a client inside the published limits
 * seldom takes longer.
 */
const stalledAge = 1000;

const clientPhases: ReadonlySet<Phase> = new Set([Phase.silent, Phase.head, Phase.body, Phase.reading]);

/** Why the connection is to be closed now; `undefined` while it may stay. */
export function findOverdue(
    connection: Connection,
    limits: guardLimits.GuardLimits,
    now: number,
): CloseReason | "closed" | undefined {
    const { phase, since } = describePhase(connection);
    const age = now - since;
    switch (phase) {
        case Phase.head:
            return age > limits.headerTimeout ? CloseReason.headerTimeout : undefined;
        case Phase.body:
            return age > limits.bodyTimeout ? CloseReason.bodyTimeout : undefined;
        case Phase.reading:
            return age > limits.responseTimeout ? CloseReason.responseTimeout : undefined;
        case Phase.closing:
            return age > closingTime ? "closed" : undefined;
        default:
            return undefined;
    }
}

/**
 * The connection to close when there are too many: one that closes anyway, else the one that has waited longest for its
 * client, else the one that has been idle longest, else the oldest one.
 */
export function findLeastProgress<Item extends Connection>(connections: Iterable<Item>, now: number): Item | undefined {
    let found: { readonly item: Item; readonly rank: number; readonly since: number; } | undefined;
    for (const item of connections) {
        const { phase, since } = describePhase(item);
        const rank = rankPhase(phase, now - since);
        if (found === undefined || rank < found.rank || (rank === found.rank && since < found.since)) {
            found = { item, rank, since };
        }
    }
    return found?.item;
}

function rankPhase(phase: Phase, age: number): number {
    if (phase === Phase.closing) {
        return 0;
    }
    if (clientPhases.has(phase)) {
        return age >= stalledAge ? 1 : 3;
    }
    return phase === Phase.idle ? 2 : 4;
}
