/**
 * A caller's request and its result, as passed between the components of the entry process.
 */
import * as schema from "@catkinwharf/schema";
import * as types from "@catkinwharf/types";

/** A request whose body was received in full. */
export interface ServiceRequest {
    readonly requestId: string;
    readonly service: string;
    readonly method: string;
    /** Path below the service, with its leading slash and its query. */
    readonly path: string;
    readonly headers: readonly schema.peer.Header[];
    readonly body: Uint8Array;
    /** Whether the request may run more than once. */
    readonly idempotent: boolean;
    /** RFC 9218 urgency; 0 is the most urgent. */
    readonly urgency: number;
    /** Clock time in ms. */
    readonly deadline: number;
}

/** The complete answer of a backend server. */
export interface Answered {
    readonly outcome: typeof types.Outcome.answered;
    readonly status: number;
    readonly headers: readonly schema.peer.Header[];
    readonly body: Uint8Array;
}

/** The request was not run and never will be. */
export interface NotRun {
    readonly outcome: typeof types.Outcome.notRun;
    readonly reason: types.Reason;
}

/** The request may have run. */
export interface Unknown {
    readonly outcome: typeof types.Outcome.unknown;
    readonly reason: types.Reason;
}

export type RequestResult = Answered | NotRun | Unknown;

/** Signal for a request that continues even if its caller disconnects. */
export const neverAborted: AbortSignal = new AbortController().signal;

export function createNotRun(reason: types.Reason): NotRun {
    return { outcome: types.Outcome.notRun, reason };
}

export function createUnknown(reason: types.Reason): Unknown {
    return { outcome: types.Outcome.unknown, reason };
}

const knownReasons: ReadonlySet<string> = new Set(Object.values(types.Reason));

function isReason(text: string): text is types.Reason {
    return knownReasons.has(text);
}

/** Converts a peer's answer to a result. */
export function readDispatchAnswer(answer: schema.peer.DispatchAnswer): RequestResult {
    if (answer.outcome === types.Outcome.answered) {
        return { outcome: answer.outcome, status: answer.status, headers: answer.headers, body: answer.body };
    }
    const fallback = answer.outcome === types.Outcome.notRun ? types.Reason.noCapacity : types.Reason.peerLost;
    return { outcome: answer.outcome, reason: isReason(answer.reason) ? answer.reason : fallback };
}

const emptyBody = new Uint8Array(0);

/** Converts a result to the answer for a peer. */
export function writeDispatchAnswer(exchange: number, result: RequestResult): schema.peer.DispatchAnswer {
    if (result.outcome === types.Outcome.answered) {
        return {
            kind: "dispatch-answer",
            exchange,
            outcome: result.outcome,
            reason: "",
            status: result.status,
            headers: [...result.headers],
            body: result.body,
        };
    }
    return {
        kind: "dispatch-answer",
        exchange,
        outcome: result.outcome,
        reason: result.reason,
        status: 0,
        headers: [],
        body: emptyBody,
    };
}
