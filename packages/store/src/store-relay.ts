/**
 * Serves requests of peers. It forwards a peer's calls to the store while the peer can't call the store directly but
 * this process can, tells peers that have not heard from the coordinator for a while whether this process coordinates,
 * receives the jobs that peers couldn't store, answers what peers ask for their callers, and operators who ask where a job
 * would go.
 */
import type * as eventLog from "@catkinwharf/event-log";
import * as httpCalls from "@catkinwharf/http-calls";
import * as platform from "@catkinwharf/platform";
import * as requestBody from "@catkinwharf/request-body";
import * as types from "@catkinwharf/types";
import * as http from "node:http";
import type * as storeRoutes from "./store-routes.js";

/** Status of a call that was not sent to the store; also the status of a process that doesn't coordinate. */
export const notForwardedStatus = 521;
/** Status of a call that may have been sent to the store, but got no response; also of any failure in the relay. */
export const noResponseStatus = 522;

/** Path under which a process reports whether it coordinates. */
const coordinatingPath = "/coordinating";
/** Path under which a process reports jobs that it couldn't store. */
const unstoredJobsPath = "/unstored-jobs";
/** Path under which a process answers what a peer asks about jobs for its callers. */
const questionPath = "/question";
/** Timeout in ms of the first two requests; a healthy peer responds within a few ms. */
const peerTimeout = 250;

/** Timeout in ms of a request for an explanation that is passed on; an operator waits for it. */
const explanationTimeout = 1500;

/** Maximum size in bytes of a forwarded body; the store accepts no larger one. */
const maxBodyBytes = 2_097_152;
/**
 * Timeout in ms of a forwarded call, in addition to the time of its long poll. The peer usually stops waiting earlier
 * (see `minRelayedTimeout` in store-client.ts).
 */
const forwardTimeout = 800;

export interface RelayOptions {
    readonly storeAddress: string;
    readonly httpClient: httpCalls.HttpClient;
    readonly routes: storeRoutes.StoreRoutes;
    readonly log: eventLog.EventLog;
    /** Unix time in ms. */
    readonly now: () => number;
    /** Whether this process coordinates and the store serves it. */
    readonly isCoordinating: () => boolean;
    /** Receives the encoded jobs that a peer couldn't store; returns whether this process coordinates. */
    readonly receiveUnstoredJobs: (encoded: Uint8Array) => boolean;
    /** Creates the server without starting to listen; `http.createServer` unless given. */
    readonly createServer?: (maxBodyBytes: number, handle: http.RequestListener) => http.Server;
    /** Reads a body up to a size; `requestBody.readBody` unless given. */
    readonly readBody?: requestBody.WatchedReader;
    /**
     * Explains where a job would go, see `types.ExplanationRequest`.
     *
     * @param forwarded whether a peer has passed the request on
     */
    readonly explain: (encoded: Uint8Array, forwarded: boolean) => Promise<RelayResponse>;
    /** Answers an encoded question of a peer; `undefined` if it can't be read. */
    readonly answerQuestion: (encoded: Uint8Array) => Promise<Uint8Array | undefined>;
}

/** Creates the relay's HTTP server without starting to listen. */
export function createRelay(options: RelayOptions): http.Server {
    const createServer = options.createServer ?? ((_maxBytes, handle) => http.createServer(handle));
    return createServer(maxBodyBytes, (message, response) => {
        if (message.url === coordinatingPath) {
            response.writeHead(options.isCoordinating() ? 204 : notForwardedStatus).end();
            return;
        }
        const isExplanation = message.url === types.explanationPath
            || message.url === types.forwardedExplanationPath;
        const handled = message.url === unstoredJobsPath
            ? receiveUnstoredJobs(options, message)
            : isExplanation
            ? explain(options, message)
            : message.url === questionPath
            ? answerQuestion(options, message)
            : forwardCall(options, message);
        void handled.then(({ status, body }) => {
            response.writeHead(status).end(body);
        }).catch((error: unknown) => {
            options.log.warn("relay-broken", { error: String(error) });
            response.writeHead(noResponseStatus).end();
        });
    });
}

/** What a peer that is taken to coordinate says to that. */
export const ProbeResult = {
    coordinating: "coordinating",
    /** It doesn't coordinate, or its process isn't running. */
    denied: "denied",
    /** It gave no response in time: it is gone, out of reach or busy. */
    silent: "silent",
} as const;
export type ProbeResult = (typeof ProbeResult)[keyof typeof ProbeResult];

/** Asks a peer whether it coordinates. */
export async function probeCoordinator(
    httpClient: Pick<httpCalls.HttpClient, "send">,
    address: string,
): Promise<ProbeResult> {
    const call = { method: "GET" as const, path: coordinatingPath, headers: {}, body: undefined };
    const result = await httpClient.send(address, call, peerTimeout);
    if (result.isErr()) {
        return result.error.timedOut ? ProbeResult.silent : ProbeResult.denied;
    }
    return result.value.status === 204 ? ProbeResult.coordinating : ProbeResult.denied;
}

/** Whether a peer responds at all. */
export async function isPeerReachable(
    httpClient: Pick<httpCalls.HttpClient, "send">,
    address: string,
): Promise<boolean> {
    const call = { method: "GET" as const, path: coordinatingPath, headers: {}, body: undefined };
    return (await httpClient.send(address, call, peerTimeout)).isOk();
}

/** Reports jobs that couldn't be stored to the coordinator; returns whether it received them. */
export async function reportUnstoredJobs(
    httpClient: httpCalls.HttpClient,
    address: string,
    encoded: Uint8Array,
): Promise<boolean> {
    const call = { method: "POST" as const, path: unstoredJobsPath, headers: {}, body: encoded };
    const result = await httpClient.send(address, call, peerTimeout);
    return result.isOk() && result.value.status === 204;
}

function readBody(options: RelayOptions, message: http.IncomingMessage): ReturnType<requestBody.WatchedReader> {
    return (options.readBody ?? requestBody.readBody)(message, maxBodyBytes);
}

/** Passes a request for an explanation on to the coordinator; `undefined` without a complete response in time. */
export async function forwardExplanation(
    httpClient: Pick<httpCalls.HttpClient, "send">,
    address: string,
    encoded: Uint8Array,
): Promise<RelayResponse | undefined> {
    const call = { method: "POST" as const, path: types.forwardedExplanationPath, headers: {}, body: encoded };
    return (await httpClient.send(address, call, explanationTimeout)).unwrapOr(undefined);
}

/** Asks a peer about jobs; returns its encoded answer, `undefined` without one within `timeout` ms. */
export async function sendQuestion(
    httpClient: Pick<httpCalls.HttpClient, "send">,
    address: string,
    encoded: Uint8Array,
    timeout: number,
): Promise<Uint8Array | undefined> {
    const call = { method: "POST" as const, path: questionPath, headers: {}, body: encoded };
    const response = (await httpClient.send(address, call, timeout)).unwrapOr(undefined);
    return response?.status === 200 ? response.body : undefined; // A peer of an earlier version doesn't know the path.
}

export interface RelayResponse {
    readonly status: number;
    readonly body: Uint8Array;
}

async function receiveUnstoredJobs(options: RelayOptions, message: http.IncomingMessage): Promise<RelayResponse> {
    const encoded = await readBody(options, message);
    const received = encoded instanceof Uint8Array && options.receiveUnstoredJobs(encoded);
    return { status: received ? 204 : notForwardedStatus, body: new Uint8Array() };
}

async function explain(options: RelayOptions, message: http.IncomingMessage): Promise<RelayResponse> {
    const encoded = await readBody(options, message);
    if (!(encoded instanceof Uint8Array)) {
        throw new Error("the request for an explanation is too large or incomplete");
    }
    return options.explain(encoded, message.url === types.forwardedExplanationPath);
}

async function answerQuestion(options: RelayOptions, message: http.IncomingMessage): Promise<RelayResponse> {
    const encoded = await readBody(options, message);
    const answer = encoded instanceof Uint8Array ? await options.answerQuestion(encoded) : undefined;
    return answer === undefined
        ? { status: notForwardedStatus, body: new Uint8Array() }
        : { status: 200, body: answer };
}

async function forwardCall(
    options: RelayOptions,
    message: http.IncomingMessage,
): Promise<RelayResponse> {
    const emptyBody = new Uint8Array();
    const body = await readBody(options, message);
    if (typeof body === "string" && body !== requestBody.BodyFault.incomplete) {
        return { status: notForwardedStatus, body: emptyBody };
    }
    if (body === requestBody.BodyFault.incomplete) {
        throw new Error("the connection closed before the end of the request body");
    }
    const call = platform.storeCalls.decodeRelayedCall(message.method, message.url ?? "", body);
    if (call === undefined || !options.routes.isDirectBackoffOver(options.now())) {
        return { status: notForwardedStatus, body: emptyBody };
    }
    const wait = platform.storeCalls.readWaitTime(call);
    const result = await options.httpClient.send(options.storeAddress, call, wait + forwardTimeout);
    if (result.isErr()) {
        options.routes.recordFailure(
            { address: options.storeAddress, relayed: false },
            options.now(),
            result.error.timedOut,
        );
        const status = result.error.fault === httpCalls.CallFault.unsent ? notForwardedStatus : noResponseStatus;
        return { status, body: emptyBody };
    }
    return result.value;
}
