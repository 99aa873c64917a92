/**
 * Sends one HTTP request to an operator port. An error says whether any of the request can have been sent.
 */
import * as errors from "@catkinwharf/errors";
import * as neverthrow from "neverthrow";
import * as undici from "undici";

export const TransportFault = {
    /** No byte of the request was sent. */
    unsent: "unsent",
    /** The request may have been sent, but no complete response was received. */
    unanswered: "unanswered",
} as const;

export type TransportFault = (typeof TransportFault)[keyof typeof TransportFault];

export interface TransportError {
    readonly layer: "transport";
    readonly fault: TransportFault;
    readonly reason: string;
}

/** URL of a port and the operator key. */
export interface Endpoint {
    readonly url: URL;
    /** `undefined` for a port that takes no key. */
    readonly operatorKey: string | undefined;
}

/** A request to an operator port. */
export interface HttpRequest {
    readonly method: "GET" | "POST" | "DELETE";
    /** Path with query string. */
    readonly path: string;
    readonly body?: unknown;
    /** Timeout in ms for the response headers, and for each gap between chunks of the response body. */
    readonly responseTimeoutMs: number;
}

/** A complete response. */
export interface HttpResponse {
    readonly status: number;
    /** Parsed JSON body; undefined if the body isn't JSON. */
    readonly document: unknown;
}

const connectTimeoutMs = 3_000;

/** Codes of errors that occur before the first byte of a request is sent. */
const connectErrorCodes: ReadonlySet<string> = new Set([
    "EADDRNOTAVAIL",
    "EAI_AGAIN",
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "ENOTFOUND",
    "UND_ERR_CONNECT_TIMEOUT",
]);

/** Creates the connection pool for one run of the command line. */
export function createAgent(): undici.Agent {
    return new undici.Agent({ connect: { timeout: connectTimeoutMs } });
}

/** Sends a request once, without retries. */
export async function sendRequest(
    agent: undici.Agent,
    endpoint: Endpoint,
    request: HttpRequest,
): Promise<neverthrow.Result<HttpResponse, TransportError>> {
    try {
        const response = await undici.request(new URL(request.path, endpoint.url), {
            dispatcher: agent,
            method: request.method,
            headers: createHeaders(endpoint, request),
            headersTimeout: request.responseTimeoutMs,
            bodyTimeout: request.responseTimeoutMs,
            body: request.body === undefined ? undefined : JSON.stringify(request.body),
        });
        const text = await response.body.text();
        return neverthrow.ok({ status: response.statusCode, document: parseDocument(text) });
    }
    catch (thrown) {
        return neverthrow.err(createTransportError(thrown));
    }
}

function createHeaders(endpoint: Endpoint, request: HttpRequest): Record<string, string> {
    const key = endpoint.operatorKey;
    const headers = {
        accept: "application/json",
        ...key === undefined ? {} : { authorization: `Bearer ${key}` },
    };
    return request.body === undefined ? headers : { ...headers, "content-type": "application/json" };
}

function parseDocument(text: string): unknown {
    try {
        return JSON.parse(text) as unknown;
    }
    catch {
        return undefined;
    }
}

function createTransportError(thrown: unknown): TransportError {
    const code = thrown instanceof Error && "code" in thrown ? String(thrown.code) : "";
    const fault = connectErrorCodes.has(code) ? TransportFault.unsent : TransportFault.unanswered;
    const message = errors.getErrorMessage(thrown);
    return { layer: "transport", fault, reason: message === "" ? code : message };
}
