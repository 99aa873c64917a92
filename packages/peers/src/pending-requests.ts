/**
 * Requests of one connection that wait for their responses, by exchange number.
 */
import * as errors from "@catkinwharf/errors";
import type * as schema from "@catkinwharf/schema";
import * as neverthrow from "neverthrow";
import type * as messages from "./messages.js";

/** Kind of the response to each kind of request. */
export const responseKinds = {
    "dispatch": "dispatch-answer",
    "key-query": "key-answer",
    "records-query": "records-answer",
} as const;

export type RequestKind = keyof typeof responseKinds;
export type ResponseTo<Kind extends RequestKind> = messages.MessageOf<(typeof responseKinds)[Kind]>;
export type ResponseOutcome<Kind extends RequestKind> = neverthrow.Result<ResponseTo<Kind>, errors.PeerError>;

interface PendingRequest {
    readonly responseKind: string;
    readonly timer: NodeJS.Timeout;
    readonly settle: (outcome: neverthrow.Result<schema.peer.PeerMessage, errors.PeerError>) => void;
}

/** Whether a response belongs to a pending request. */
export const ResponseMatch = { matched: "matched", late: "late", wrongKind: "wrong-kind" } as const;
export type ResponseMatch = (typeof ResponseMatch)[keyof typeof ResponseMatch];

/** Settles each request once: with its response, on its timeout, or when the connection is lost. */
export class PendingRequests {
    private readonly requestsByExchange = new Map<number, PendingRequest>();

    /** Waits for the response to a request that was written to the socket. */
    add<Kind extends RequestKind>(exchange: number, kind: Kind, timeoutMs: number): Promise<ResponseOutcome<Kind>> {
        return new Promise(resolve => {
            const timer = setTimeout(() => {
                this.settle(exchange, createError(errors.PeerFault.timedOut, `no response within ${timeoutMs} ms`));
            }, timeoutMs);
            const settle = resolve as PendingRequest["settle"];
            this.requestsByExchange.set(exchange, { responseKind: responseKinds[kind], timer, settle });
        });
    }

    /** Settles the request that the response belongs to. */
    handleResponse(response: schema.peer.PeerMessage & { readonly exchange: number; }): ResponseMatch {
        const request = this.requestsByExchange.get(response.exchange);
        if (request === undefined) {
            return ResponseMatch.late;
        }
        if (request.responseKind !== response.kind) {
            return ResponseMatch.wrongKind;
        }
        this.settle(response.exchange, neverthrow.ok(response));
        return ResponseMatch.matched;
    }

    /** Settles all pending requests as `lost`, after the connection was lost. */
    failAll(reason: string): void {
        const exchanges = [...this.requestsByExchange.keys()];
        exchanges.forEach(exchange => this.settle(exchange, createError(errors.PeerFault.lost, reason)));
    }

    private settle(exchange: number, outcome: neverthrow.Result<schema.peer.PeerMessage, errors.PeerError>): void {
        const request = this.requestsByExchange.get(exchange);
        if (request !== undefined) {
            this.requestsByExchange.delete(exchange);
            clearTimeout(request.timer);
            request.settle(outcome);
        }
    }
}

/** Creates the error result of a request. */
export function createError(fault: errors.PeerFault, reason: string): neverthrow.Result<never, errors.PeerError> {
    return neverthrow.err({ layer: "peer", fault, reason });
}
