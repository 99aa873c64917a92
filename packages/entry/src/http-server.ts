/**
 * Helpers for the HTTP ports of callers and operators: listening, closing, malformed input, JSON and problem documents.
 */
import * as schema from "@catkinwharf/schema";
import * as types from "@catkinwharf/types";
import * as http from "node:http";
import type * as net from "node:net";
import type * as stream from "node:stream";

/** Starts listening and returns the port in use. */
export function listen(server: http.Server, listener: schema.settings.Listener): Promise<number> {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(listener.port, listener.host, () => {
            server.off("error", reject);
            resolve((server.address() as net.AddressInfo).port);
        });
    });
}

const defaultClientError = "400 Bad Request";

/** Status lines by error code of Node.js's HTTP parser. */
const clientErrorStatuses: Readonly<Record<string, string>> = {
    HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
    ERR_HTTP_REQUEST_TIMEOUT: "408 Request Timeout",
};

/**
 * Responds to input that is not HTTP with the given header fields, and closes its connection. If a request still runs
 * on the connection, no response is written, because the client would take it for the response to that request.
 */
export function refuseMalformedInput(server: http.Server, fields: readonly string[], onRefused: () => void): void {
    const runningRequests = new WeakMap<stream.Duplex, number>();
    const adjustRunning = (socket: stream.Duplex, change: number): void => {
        runningRequests.set(socket, (runningRequests.get(socket) ?? 0) + change);
    };
    server.on("request", (message, response) => {
        const { socket } = message;
        adjustRunning(socket, 1);
        response.on("close", () => adjustRunning(socket, -1));
    });
    server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
        onRefused();
        if (!socket.writable || (runningRequests.get(socket) ?? 0) > 0) {
            socket.destroy();
            return;
        }
        const status = clientErrorStatuses[error.code ?? ""] ?? defaultClientError;
        socket.end([`HTTP/1.1 ${status}`, ...fields, "connection: close", "content-length: 0", "", ""].join("\r\n"));
    });
}

/** Decodes a path or a part of one; undefined if its percent-encoding is malformed. */
export function decodePath(text: string): string | undefined {
    try {
        return decodeURIComponent(text);
    }
    catch {
        return undefined;
    }
}

/** Stops accepting connections and waits until the open ones have ended. */
export function closeServer(server: http.Server): Promise<void> {
    return new Promise(resolve => {
        server.close(() => resolve());
        server.closeIdleConnections();
    });
}

export function sendJson(response: http.ServerResponse, status: number, document: unknown): void {
    sendText(response, status, "application/json", JSON.stringify(document));
}

export function sendText(response: http.ServerResponse, status: number, contentType: string, text: string): void {
    if (response.headersSent || response.destroyed) {
        return;
    }
    response.writeHead(status, { "content-type": contentType, "content-length": Buffer.byteLength(text) });
    response.end(text);
}

/** Responds with a problem document (RFC 9457) that states why the request was not answered. */
export function sendProblem(response: http.ServerResponse, reason: types.Reason): void {
    const properties = types.reasonResponses[reason];
    response.setHeader(types.outcomeHeader, properties.outcome);
    response.setHeader(types.reasonHeader, reason);
    if (properties.retryAfterSeconds !== undefined) {
        response.setHeader("retry-after", properties.retryAfterSeconds);
    }
    const problem: schema.operator.Problem = {
        type: `urn:catkinwharf:reason:${reason}`,
        title: `${properties.outcome}: ${reason}`,
        status: properties.status,
        detail: properties.detail,
        reason,
    };
    sendText(response, properties.status, "application/problem+json", JSON.stringify(problem));
}
