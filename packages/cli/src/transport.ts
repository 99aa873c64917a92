/**
 * One HTTP exchange with an operator port. Tells a question that never left from one without an answer.
 */
import * as errors from "@catkinwharf/errors";
import * as neverthrow from "neverthrow";
import * as undici from "undici";

export const TransportFault = {
    /** No byte of the question was sent. */
    unsent: "unsent",
    /** The question was sent, and no whole answer came. */
    unanswered: "unanswered",
} as const;

export type TransportFault = (typeof TransportFault)[keyof typeof TransportFault];

export interface TransportError {
    readonly layer: "transport";
    readonly fault: TransportFault;
    readonly reason: string;
}

/** One operator port and the key for it. */
export interface Endpoint {
    readonly url: URL;
    readonly operatorKey: string;
}

/** A question to the operator port. */
export interface Question {
    readonly method: "GET" | "POST" | "DELETE";
    /** Path with its query. */
    readonly path: string;
    readonly body?: unknown;
    /** Time in ms within which each part of the answer has to come. */
    readonly answerTimeoutMs: number;
}

/** A whole answer. */
export interface Answer {
    readonly status: number;
    /** Parsed JSON; undefined if the body isn't JSON. */
    readonly document: unknown;
}

const connectTimeoutMs = 3_000;

/** Failures that come before the first byte is sent. */
const unsentCodes: ReadonlySet<string> = new Set([
    "EADDRNOTAVAIL",
    "EAI_AGAIN",
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "ENOTFOUND",
    "UND_ERR_CONNECT_TIMEOUT",
]);

/** Opens the pool of connections for one run of the command line. */
export function createAgent(): undici.Agent {
    return new undici.Agent({ connect: { timeout: connectTimeoutMs } });
}

/** Asks once; never repeats by itself. */
export async function exchange(
    agent: undici.Agent,
    endpoint: Endpoint,
    question: Question,
): Promise<neverthrow.Result<Answer, TransportError>> {
    try {
        const response = await undici.request(new URL(question.path, endpoint.url), {
            dispatcher: agent,
            method: question.method,
            headers: createHeaders(endpoint, question),
            headersTimeout: question.answerTimeoutMs,
            bodyTimeout: question.answerTimeoutMs,
            body: question.body === undefined ? undefined : JSON.stringify(question.body),
        });
        const text = await response.body.text();
        return neverthrow.ok({ status: response.statusCode, document: parseDocument(text) });
    }
    catch (thrown) {
        return neverthrow.err(describeFailure(thrown));
    }
}

function createHeaders(endpoint: Endpoint, question: Question): Record<string, string> {
    const headers = { "accept": "application/json", "authorization": `Bearer ${endpoint.operatorKey}` };
    return question.body === undefined ? headers : { ...headers, "content-type": "application/json" };
}

function parseDocument(text: string): unknown {
    try {
        return JSON.parse(text) as unknown;
    }
    catch {
        return undefined;
    }
}

function describeFailure(thrown: unknown): TransportError {
    const code = thrown instanceof Error && "code" in thrown ? String(thrown.code) : "";
    const fault = unsentCodes.has(code) ? TransportFault.unsent : TransportFault.unanswered;
    const message = errors.describeThrown(thrown);
    return { layer: "transport", fault, reason: message === "" ? code : message };
}
