/**
 * Passes store calls of peers on, for those that the store turns away while it serves this process; and tells peers, who
 * haven't heard of the coordinator for a while, whether this process coordinates.
 */
import type * as eventLog from "@catkinwharf/event-log";
import * as httpCalls from "@catkinwharf/http-calls";
import * as platform from "@catkinwharf/platform";
import * as requestBody from "@catkinwharf/request-body";
import * as http from "node:http";
import type * as storeRoutes from "./store-routes.js";

/** Status with which a relay says that nothing was passed on. */
export const notPassedStatus = 521;
/** Status with which a relay says that it passed the call on and got no answer. */
export const unansweredStatus = 522;

/** Path on which a peer tells whether it coordinates. */
const coordinatingPath = "/coordinating";
/** Time in ms for that answer; a peer in order gives it within a few. */
const questionTimeout = 250;

/** Largest body in bytes that is passed on; the store takes no larger one. */
const maxBodyBytes = 2_097_152;
/** Time in ms for a passed call that doesn't wait. */
const relayTimeout = 800;

export interface RelayParts {
    readonly storeAddress: string;
    readonly calls: httpCalls.HttpCalls;
    readonly routes: storeRoutes.StoreRoutes;
    readonly log: eventLog.EventLog;
    /** Unix time in ms. */
    readonly now: () => number;
    /** Whether this process coordinates, and the store serves it. */
    readonly isCoordinating: () => boolean;
}

/** Creates the server of the relay; the caller lets it listen. */
export function createRelay(parts: RelayParts): http.Server {
    return http.createServer((message, response) => {
        if (message.url === coordinatingPath) {
            response.writeHead(parts.isCoordinating() ? 204 : notPassedStatus).end();
            return;
        }
        void passOn(parts, message).then(({ status, body }) => {
            response.writeHead(status).end(body);
        }).catch((error: unknown) => {
            parts.log.warn("relay-broken", { error: String(error) });
            response.writeHead(unansweredStatus).end();
        });
    });
}

/** Asks a peer's relay whether the peer coordinates; false without an answer. */
export async function askCoordinating(calls: httpCalls.HttpCalls, address: string): Promise<boolean> {
    const call = { method: "GET" as const, path: coordinatingPath, headers: {}, body: undefined };
    const answer = await calls.send(address, call, questionTimeout);
    return answer.isOk() && answer.value.status === 204;
}

async function passOn(
    parts: RelayParts,
    message: http.IncomingMessage,
): Promise<{ readonly status: number; readonly body: Uint8Array; }> {
    const nothing = new Uint8Array();
    const body = await requestBody.readBody(message, maxBodyBytes);
    if (body === requestBody.BodyFault.tooLarge) {
        return { status: notPassedStatus, body: nothing };
    }
    if (body === requestBody.BodyFault.cut) {
        throw new Error("the body was cut");
    }
    const call = platform.storeCalls.restoreCall(message.method, message.url ?? "", body);
    if (call === undefined || !parts.routes.isDirectFresh(parts.now())) {
        return { status: notPassedStatus, body: nothing };
    }
    const wait = platform.storeCalls.findWait(call);
    const answer = await parts.calls.send(parts.storeAddress, call, wait + relayTimeout);
    if (answer.isErr()) {
        parts.routes.noteFailure({ address: parts.storeAddress, relayed: false }, parts.now(), answer.error.timedOut);
        const status = answer.error.fault === httpCalls.CallFault.unsent ? notPassedStatus : unansweredStatus;
        return { status, body: nothing };
    }
    return answer.value;
}
