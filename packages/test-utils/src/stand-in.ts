/**
 * What all stand-ins share: options from the command line, the ready line, JSON over HTTP, and the end with stdin.
 */
import * as http from "node:http";
import type * as net from "node:net";
import type * as polka from "polka";

/** Interface that stand-ins listen on. */
export const loopbackHost = "127.0.0.1";

const maxBodyBytes = 64 * 1024 * 1024;

/** Reads the options, starts the stand-in, prints its ports and ends the process when stdin closes. */
export async function runStandIn<Options>(start: (options: Options) => Promise<object>): Promise<void> {
    const options = JSON.parse(process.argv[2] ?? "{}") as Options;
    process.stdin.resume();
    process.stdin.once("close", () => process.exit(0));
    const ports = await start(options);
    process.stdout.write(`${JSON.stringify(ports)}\n`);
}

/** Listens on loopback; port 0 lets the kernel choose. Resolves with the port, rejects when it is taken. */
export function listen(server: net.Server, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, loopbackHost, () => {
            server.off("error", reject);
            resolve((server.address() as net.AddressInfo).port);
        });
    });
}

/** Ports below those that the kernel gives to outgoing connections. */
const reopenablePorts = { first: 12_000, count: 20_000 } as const;

/**
 * Listens on a free port that no outgoing connection can take while it is closed for a time. The kernel says whether it
 * is free.
 */
export async function listenReopenably(server: net.Server): Promise<number> {
    for (;;) {
        const port = reopenablePorts.first + Math.floor(Math.random() * reopenablePorts.count);
        try {
            return await listen(server, port);
        }
        catch {
            continue;
        }
    }
}

const relistenDelayMs = 50;

/** Listens on a port that was held before, again and again until the kernel gives it back. */
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

/** A body that is not JSON, or is too large. */
export class BodyError extends Error {}

/** Reads the whole body; rejects when the connection closes before its end. */
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

/** Reads a JSON body; an empty body stands for an empty object. */
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

/** Answers with JSON. */
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

/** Wraps a handler so that a bad body is answered with 400 and a lost connection with nothing. */
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

/** A named parameter of the path. */
export function readParameter(request: polka.Request, name: string): string {
    return decodeURIComponent(request.params[name] ?? "");
}

/** A whole number from the query, or the value for its absence. */
export function readNumber(request: polka.Request, name: string, absent: number): number {
    const value = Number(request.query[name] ?? absent);
    return Number.isFinite(value) ? value : absent;
}
