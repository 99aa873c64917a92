/**
 * Common parts of all stand-ins: options from the command line, the ready line, exit when standard input closes, and
 * JSON over HTTP.
 */
import * as http from "node:http";
import type * as net from "node:net";
import type * as polka from "polka";

/** IP address that stand-ins listen on. */
export const loopbackHost = "127.0.0.1";

const maxBodyBytes = 64 * 1024 * 1024;

/** Reads the options, starts the stand-in, prints its ports and ends the process when standard input closes. */
export async function runStandIn<Options>(start: (options: Options) => Promise<object>): Promise<void> {
    const options = JSON.parse(process.argv[2] ?? "{}") as Options;
    process.stdin.resume();
    process.stdin.once("close", () => process.exit(0));
    const ports = await start(options);
    process.stdout.write(`${JSON.stringify(ports)}\n`);
}

/** Listens on loopback; port 0 selects any free port. Resolves with the port, or rejects if it is in use. */
export function listen(server: net.Server, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, loopbackHost, () => {
            server.off("error", reject);
            resolve((server.address() as net.AddressInfo).port);
        });
    });
}

/** Ports below the ephemeral range that the kernel assigns to outgoing connections. */
const nonEphemeralPorts = { first: 12_000, count: 20_000 } as const;

/**
 * Listens on a random free port outside the ephemeral range. While the port is closed for a time, no outgoing
 * connection can take it, so that it can be listened on again. Ports in use are found by trying.
 */
export async function listenOnNonEphemeralPort(server: net.Server): Promise<number> {
    for (;;) {
        const port = nonEphemeralPorts.first + Math.floor(Math.random() * nonEphemeralPorts.count);
        try {
            return await listen(server, port);
        }
        catch {
            continue;
        }
    }
}

const relistenDelayMs = 50;

/** Listens on a port that was used before, and retries until the kernel has released it. */
export async function listenAgain(server: net.Server, port: number): Promise<void> {
    for (;;) {
        try {
            await listen(server, port);
            return;
        }
        catch {
            await new Promise(resolve => setTimeout(resolve, relistenDelayMs));
        }
    }
}

/** Serves a polka application on a port of loopback. */
export function serve(application: polka.Polka, port = 0): Promise<number> {
    return listen(http.createServer(application.handler as http.RequestListener), port);
}

/** A request body is not JSON, or is too large. */
export class BodyError extends Error {}

/** Reads the whole body; rejects if the connection closes before its end. */
export async function readBody(request: http.IncomingMessage): Promise<Buffer> {
    const chunks: Buffer[] = [];
    let bytes = 0;
    for await (const chunk of request as AsyncIterable<Buffer>) {
        bytes += chunk.length;
        if (bytes > maxBodyBytes) {
            throw new BodyError("body too large");
        }
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
}

/** Reads a JSON body; an empty body is read as an empty object. */
export async function readJson(request: http.IncomingMessage): Promise<unknown> {
    const text = (await readBody(request)).toString("utf8");
    if (text === "") {
        return {};
    }
    try {
        return JSON.parse(text) as unknown;
    }
    catch {
        throw new BodyError("body is not JSON");
    }
}

/** Sends a JSON response. */
export function sendJson(
    response: http.ServerResponse,
    status: number,
    body: unknown,
    headers: http.OutgoingHttpHeaders = {},
): void {
    response.writeHead(status, { "content-type": "application/json", ...headers });
    response.end(JSON.stringify(body));
}

/** Handles one request. */
export type Handler = (request: polka.Request, response: http.ServerResponse) => Promise<void> | void;

/** Wraps a handler: a bad body gets status 400, another error 500, and a started or closed response nothing. */
export function handle(handler: Handler): polka.Middleware {
    const guarded: Handler = async (request, response) => {
        try {
            await handler(request, response);
        }
        catch (thrown) {
            if (response.headersSent || response.destroyed) {
                return;
            }
            const status = thrown instanceof BodyError ? 400 : 500;
            sendJson(response, status, { reason: thrown instanceof Error ? thrown.message : String(thrown) });
        }
    };
    return guarded as unknown as polka.Middleware;
}

/** A path parameter, decoded. */
export function readParameter(request: polka.Request, name: string): string {
    return decodeURIComponent(request.params[name] ?? "");
}

/** A number from the query, or the default value if it is missing or not a finite number. */
export function readNumber(request: polka.Request, name: string, defaultValue: number): number {
    const value = Number(request.query[name] ?? defaultValue);
    return Number.isFinite(value) ? value : defaultValue;
}
