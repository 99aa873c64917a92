/**
 * Test harness: a stub of the operator port, runs of the command line against it, and documents that it responds with.
 */
import * as clipanion from "clipanion";
import * as http from "node:http";
import * as net from "node:net";
import * as stream from "node:stream";
import * as commandLine from "../command-line.js";
import * as exitCode from "../exit-code.js";
import * as reportingCommand from "../reporting-command.js";

/** Operator key that the stub accepts. */
export const operatorKey = "test-operator-key-0001";
/** Time at which the clock of each run starts, in ms since 1970. */
export const startedAt = Date.parse("2026-12-04T06:00:00Z");

/** Response of the stub. */
export interface StubResponse {
    readonly status: number;
    readonly body: unknown;
}

/** Returns the response to a request body; for undefined, the stub drops the connection. */
export type RouteHandler = (body: Record<string, unknown>) => StubResponse | undefined;

/** HTTP server that responds as its routes say, and records the method and path of each request. */
export class OperatorPortStub {
    readonly receivedRequests: string[] = [];
    readonly #server = http.createServer((request, response) => this.#handleRequest(request, response));

    constructor(readonly routes: Record<string, RouteHandler>) {}

    async open(): Promise<string> {
        await new Promise<void>(resolve => this.#server.listen(0, "127.0.0.1", resolve));
        return `http://127.0.0.1:${(this.#server.address() as net.AddressInfo).port}`;
    }

    close(): void {
        this.#server.close();
        this.#server.closeAllConnections();
    }

    async #handleRequest(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        const chunks: Buffer[] = [];
        for await (const chunk of request) {
            chunks.push(chunk as Buffer);
        }
        const requestLine = `${request.method} ${request.url}`;
        this.receivedRequests.push(requestLine);
        if (request.headers.authorization !== `Bearer ${operatorKey}`) {
            response.writeHead(401).end(JSON.stringify({ detail: `no access with ${request.headers.authorization}` }));
            return;
        }
        const handler = this.routes[requestLine] ?? (() => ({ status: 404, body: { detail: "no such thing" } }));
        const stubResponse = handler(chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString()));
        if (stubResponse === undefined) {
            request.socket.destroy();
            return;
        }
        response.writeHead(stubResponse.status, { "content-type": "application/json" }).end(
            JSON.stringify(stubResponse.body),
        );
    }
}

/** Exit code and output of a run of the command line. */
export interface RunResult {
    readonly code: exitCode.ExitCode;
    readonly output: string;
    readonly errors: string;
}

class TextSink extends stream.Writable {
    text = "";
    isTTY = false;

    override _write(chunk: Buffer, _encoding: string, done: () => void): void {
        this.text += chunk.toString();
        done();
    }
}

/** Options of a run of the command line. */
export interface RunOptions {
    readonly key?: string;
    readonly isTerminal?: boolean;
    /** Number of sleeps after which the command is interrupted. */
    readonly sleepsBeforeInterrupt?: number;
}

/** Context of a command that runs against `url`; its clock advances only when the command sleeps. */
export function createContext(
    url: string,
    stdout: stream.Writable,
    stderr: stream.Writable,
    options: RunOptions,
): reportingCommand.CommandContext {
    const interruptController = new AbortController();
    let now = startedAt;
    let sleepsLeft = options.sleepsBeforeInterrupt ?? Number.POSITIVE_INFINITY;
    return {
        ...clipanion.Cli.defaultContext,
        env: { CATKINWHARF_URL: url, CATKINWHARF_OPERATOR_KEY: options.key ?? operatorKey },
        stdout,
        stderr,
        now: () => now,
        sleep: async durationMs => {
            now += durationMs;
            sleepsLeft -= 1;
            if (sleepsLeft <= 0) {
                interruptController.abort();
            }
        },
        signal: interruptController.signal,
    };
}

/** Context for parsing a command without running it. */
export function createParseContext(): reportingCommand.CommandContext {
    return createContext("", new TextSink(), new TextSink(), {});
}

/** Runs one command line and captures its output. */
export async function runCommandLine(
    url: string,
    args: readonly string[],
    options: RunOptions = {},
): Promise<RunResult> {
    const stdout = new TextSink();
    stdout.isTTY = options.isTerminal === true;
    const stderr = new TextSink();
    const code = await commandLine.runCli(args, createContext(url, stdout, stderr, options));
    return { code, output: stdout.text, errors: stderr.text };
}

/** Runs one command line against a stub that is opened for this run. */
export async function runWithStub(
    routes: Record<string, RouteHandler>,
    args: readonly string[],
    options?: RunOptions,
): Promise<RunResult> {
    const port = new OperatorPortStub(routes);
    const url = await port.open();
    try {
        return await runCommandLine(url, args, options);
    }
    finally {
        port.close();
    }
}

/** Handler that always returns the same response. */
export function respondWith(body: unknown, status = 200): RouteHandler {
    return () => ({ status, body });
}

/** Status of a planned stop of four instances. */
export function createStopStatus(done: number, state: string, waitingFor = ""): Record<string, unknown> {
    return { stop: "kernel-12", state, total: 4, done, inProgress: 4 - done, overdue: [], waitingFor };
}

/** Status of a fleet with two availability zones, one of which is unreachable. */
export function createStatusAnswer(stops: readonly unknown[]): Record<string, unknown> {
    const session = { appliedOffset: 42, renewedAt: startedAt, homes: 9, configurationVersion: 3 };
    const sessions = [
        {
            ...session,
            session: "s1",
            entry: "entry-a1",
            availabilityZone: "brno-a",
            reachable: true,
            configurationVersion: 1,
        },
        { ...session, session: "s2", entry: "entry-b1", availabilityZone: "brno-b", reachable: false },
    ];
    return {
        entry: "entry-a1",
        availabilityZone: "brno-a",
        session: "s1",
        ready: true,
        blind: false,
        configurationVersion: 3,
        appliedOffset: 42,
        coordinator: "s2",
        epoch: 7,
        profiles: [{ name: "small", version: 2 }],
        sessions: [...sessions, { ...sessions[1], session: "s3", entry: "entry-b2", configurationVersion: 2 }],
        pools: [{ pool: "previews", planned: 9, active: 7, draining: 1, stopped: 1, unhealthy: 0 }],
        stops,
    };
}

export function createChangeAnswer(status: string, version: number, reason = ""): Record<string, unknown> {
    return { status, version, offset: status === "unknown" ? -1 : 42, reason };
}
