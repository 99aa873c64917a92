/**
 * Operator port with scripted replies, and runs of the command line against it, for tests.
 */
import * as clipanion from "clipanion";
import * as http from "node:http";
import * as net from "node:net";
import * as stream from "node:stream";
import * as commandLine from "../command-line.js";
import * as exitCode from "../exit-code.js";
import * as reportingCommand from "../reporting-command.js";

/** Key that the scripted port accepts. */
export const operatorKey = "test-operator-key-0001";
/** Time at which each run starts, in ms since 1970. */
export const startedAt = Date.parse("2026-12-04T06:00:00Z");

/** Answer of the scripted port. */
export interface Reply {
    readonly status: number;
    readonly body: unknown;
}

/** Gives the reply to a request body; undefined drops the connection. */
export type Route = (body: Record<string, unknown>) => Reply | undefined;

/** Operator port with scripted replies that keeps the list of what it was asked. */
export class OperatorPort {
    readonly asked: string[] = [];
    readonly #server = http.createServer((request, response) => this.#answer(request, response));

    constructor(readonly routes: Record<string, Route>) {}

    async open(): Promise<string> {
        await new Promise<void>(resolve => this.#server.listen(0, "127.0.0.1", resolve));
        return `http://127.0.0.1:${(this.#server.address() as net.AddressInfo).port}`;
    }

    close(): void {
        this.#server.close();
        this.#server.closeAllConnections();
    }

    async #answer(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        const chunks: Buffer[] = [];
        for await (const chunk of request) {
            chunks.push(chunk as Buffer);
        }
        const question = `${request.method} ${request.url}`;
        this.asked.push(question);
        if (request.headers.authorization !== `Bearer ${operatorKey}`) {
            response.writeHead(401).end(JSON.stringify({ detail: `no access with ${request.headers.authorization}` }));
            return;
        }
        const route = this.routes[question] ?? (() => ({ status: 404, body: { detail: "no such thing" } }));
        const reply = route(chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString()));
        if (reply === undefined) {
            request.socket.destroy();
            return;
        }
        response.writeHead(reply.status, { "content-type": "application/json" }).end(JSON.stringify(reply.body));
    }
}

/** What a run of the command line gave. */
export interface Run {
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

/** How a run differs from an ordinary one. */
export interface RunOptions {
    readonly key?: string;
    readonly isTerminal?: boolean;
    /** Sleeps after which the operator interrupts the command. */
    readonly sleeps?: number;
}

/** Context of a command that runs against `url`; its clock moves on only when it sleeps. */
export function createContext(
    url: string,
    stdout: stream.Writable,
    stderr: stream.Writable,
    options: RunOptions,
): reportingCommand.CommandContext {
    const interruption = new AbortController();
    let now = startedAt;
    let sleepsLeft = options.sleeps ?? Number.POSITIVE_INFINITY;
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
                interruption.abort();
            }
        },
        signal: interruption.signal,
    };
}

/** Context of a command that is parsed and never run. */
export function createIdleContext(): reportingCommand.CommandContext {
    return createContext("", new TextSink(), new TextSink(), {});
}

/** Runs one command line and collects what it prints. */
export async function run(url: string, line: readonly string[], options: RunOptions = {}): Promise<Run> {
    const stdout = new TextSink();
    stdout.isTTY = options.isTerminal === true;
    const stderr = new TextSink();
    const code = await commandLine.runCli(line, createContext(url, stdout, stderr, options));
    return { code, output: stdout.text, errors: stderr.text };
}

/** Runs one command line against a port that is open just for it. */
export async function runAgainst(
    routes: Record<string, Route>,
    line: readonly string[],
    options?: RunOptions,
): Promise<Run> {
    const port = new OperatorPort(routes);
    const url = await port.open();
    try {
        return await run(url, line, options);
    }
    finally {
        port.close();
    }
}

/** A route that always gives the same reply. */
export function reply(body: unknown, status = 200): Route {
    return () => ({ status, body });
}

/** Status of a planned stop of four instances. */
export function createStop(done: number, state: string, waitingFor = ""): Record<string, unknown> {
    return { stop: "kernel-12", state, total: 4, done, inProgress: 4 - done, overdue: [], waitingFor };
}

/** Status of a fleet with two zones, one of which is out of reach. */
export function createStatus(stops: readonly unknown[]): Record<string, unknown> {
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

/** Answer to a change. */
export function createAnswer(status: string, version: number, reason = ""): Record<string, unknown> {
    return { status, version, offset: status === "unknown" ? -1 : 42, reason };
}
