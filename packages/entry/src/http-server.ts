/**
 * Helpers for the two HTTP ports: listening, bounded bodies, JSON and problem documents.
 */
import * as schema from "@catkinwharf/schema";
import * as types from "@catkinwharf/types";
import * as http from "node:http";
import type * as net from "node:net";
import type * as stream from "node:stream";

/** Listens and answers the port in use. */
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

/** Status lines for errors of Node.js's parser. */
const clientErrorStatuses: Readonly<Record<string, string>> = {
    HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
    ERR_HTTP_REQUEST_TIMEOUT: "408 Request Timeout",
};

/**
 * Answers input that is not HTTP, with the given header fields, and closes its connection.
 * A connection on which a request still runs is closed without a word, since the answer would be taken for that
 * request's.
 */
export function refuseMalformed(server: http.Server, fields: readonly string[], onRefused: () => void): void {
    const running = new WeakMap<stream.Duplex, number>();
    const addRunning = (socket: stream.Duplex, change: number): void => {
        running.set(socket, (running.get(socket) ?? 0) + change);
    };
    server.on("request", (message, response) => {
        const { socket } = message;
        addRunning(socket, 1);
        response.on("close", () => addRunning(socket, -1));
    });
    server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
        onRefused();
        if (!socket.writable || (running.get(socket) ?? 0) > 0) {
            socket.destroy();
            return;
        }
        const status = clientErrorStatuses[error.code ?? ""] ?? defaultClientError;
        socket.end([`HTTP/1.1 ${status}`, ...fields, "connection: close", "content-length: 0", "", ""].join("\r\n"));
    });
}

/** Decodes a part of a path; undefined if its percent-encoding is malformed. */
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

/** Tells a caller that its request was not answered, as RFC 9457 describes. */
export function sendProblem(response: http.ServerResponse, reason: types.Reason): void {
    const form = types.reasonForms[reason];
    response.setHeader(types.outcomeHeader, form.outcome);
    response.setHeader(types.reasonHeader, reason);
    if (form.retryAfterSeconds !== undefined) {
        response.setHeader("retry-after", form.retryAfterSeconds);
    }
    const problem: schema.operator.Problem = {
        type: `urn:catkinwharf:reason:${reason}`,
        title: `${form.outcome}: ${reason}`,
        status: form.status,
        detail: form.detail,
        reason,
    };
    sendText(response, form.status, "application/problem+json", JSON.stringify(problem));
}
