/**
 * Stand-in for a backend server with limited slots and connections, random service times and injectable faults. It
 * records every execution.
 */
import * as types from "@catkinwharf/types";
import * as http from "node:http";
import type * as net from "node:net";
import * as timers from "node:timers/promises";
import * as polka from "polka";
import * as standIn from "../stand-in.js";
import type * as execution from "./execution.js";
import * as serviceTime from "./service-time.js";

/** Options of the process, read as JSON from its command line. */
export interface BackendServerOptions {
    readonly port?: number;
    readonly controlPort?: number;
    readonly instance: string;
    readonly slots: number;
    readonly connections: number;
    readonly meanServiceMs: number;
    /** Mean service times by service, which take precedence over `meanServiceMs`. */
    readonly meanServiceMsByService?: Readonly<Record<string, number>>;
    readonly seed: number;
    /** Service of requests without the service header. */
    readonly service?: string;
}

/** Faults that stay active until they are changed; `freezeExisting` takes effect once. */
export interface BackendServerFaults {
    /** Every execution fails immediately with 500. */
    readonly failAll?: boolean;
    /** Requests are accepted, but neither started nor answered. */
    readonly acceptOnly?: boolean;
    /** Factor that service times are multiplied by. */
    readonly slowFactor?: number;
    /** Every request is refused before it starts. */
    readonly refuse?: boolean;
    /** Connections that are open now never receive a response again. */
    readonly freezeExisting?: boolean;
    /** The connection closes after half of each response body. */
    readonly cutMidAnswer?: boolean;
    /** Responses carry the ID of another request. */
    readonly wrongRequestId?: boolean;
}

/** Header that overrides the random service time, in ms. */
export const serviceTimeHeader = "stand-in-service-ms";
/** Header whose value `always` makes the execution fail with 500. */
export const failHeader = "stand-in-fail";
/** Header that names the service of a request. */
export const serviceHeader = "catkinwharf-service";
/** Header of a request that was refused before it started; its value is the reason. */
export const refusedHeader = "catkinwharf-refused";

const keepAliveMs = 20_000;

interface ActiveExecution {
    readonly record: execution.Execution;
    readonly timer: NodeJS.Timeout;
}

/** State and request handlers of the stand-in. */
export class BackendServerStandIn {
    private readonly server = http.createServer({ keepAliveTimeout: keepAliveMs });
    private readonly sockets = new Set<net.Socket>();
    private readonly frozenSockets = new WeakSet<net.Socket>();
    private readonly executions: execution.Execution[] = [];
    private readonly running = new Set<ActiveExecution>();
    private readonly sampleUnitTime: () => number;
    private faults: BackendServerFaults = {};
    private usedSlots = 0;
    private checkpoints = 0;
    private port = 0;

    constructor(private readonly options: BackendServerOptions) {
        this.sampleUnitTime = serviceTime.createUnitTimeSampler(options.seed);
    }

    /** Listens on both ports. */
    async start(): Promise<{ port: number; controlPort: number; }> {
        this.server.maxConnections = this.options.connections;
        this.server.on("connection", socket => this.acceptConnection(socket));
        this.server.on("request", (request, response) => void this.answer(request, response));
        this.port = await standIn.listen(this.server, this.options.port ?? 0);
        const controlPort = await standIn.serve(this.createControl(), this.options.controlPort);
        return { port: this.port, controlPort };
    }

    private acceptConnection(socket: net.Socket): void {
        this.sockets.add(socket);
        socket.on("close", () => this.sockets.delete(socket));
    }

    private async answer(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        if (this.faults.acceptOnly === true || this.frozenSockets.has(request.socket)) {
            request.resume();
            return;
        }
        const refusal = this.findRefusalReason();
        if (refusal !== undefined) {
            request.resume();
            const headers = { ...this.createHeaders(request), [refusedHeader]: refusal };
            standIn.sendJson(response, 503, { reason: refusal }, headers);
            return;
        }
        this.usedSlots++;
        try {
            const body = await standIn.readBody(request);
            this.execute(request, response, body.length);
        }
        catch {
            // The body was not received completely, so nothing was started.
            this.usedSlots--;
            response.destroy();
        }
    }

    private findRefusalReason(): string | undefined {
        if (this.faults.refuse === true) {
            return "refuse";
        }
        return this.usedSlots >= this.options.slots ? "slots" : undefined;
    }

    private execute(request: http.IncomingMessage, response: http.ServerResponse, bodyBytes: number): void {
        const record = this.createRecord(request);
        this.executions.push(record);
        const fails = this.faults.failAll === true || request.headers[failHeader] === "always";
        const serviceMs = this.faults.failAll === true ? 0 : this.chooseServiceMs(request, record.service);
        const finish = () => {
            this.running.delete(entry);
            this.usedSlots--;
            record.end = Date.now();
            record.status = fails ? 500 : 200;
            this.sendAnswer(request, response, record, bodyBytes);
        };
        const entry = { record, timer: setTimeout(finish, serviceMs) };
        this.running.add(entry);
        response.once("close", () => record.cut ||= !response.writableFinished);
    }

    private createRecord(request: http.IncomingMessage): execution.Execution {
        return {
            instance: this.options.instance,
            requestId: readHeader(request, types.requestIdHeader) ?? "",
            key: readHeader(request, types.idempotencyKeyHeader),
            service: readHeader(request, serviceHeader) ?? this.options.service,
            method: request.method ?? "",
            path: request.url ?? "",
            source: request.socket.remoteAddress ?? "",
            start: Date.now(),
            cut: false,
        };
    }

    private chooseServiceMs(request: http.IncomingMessage, service: string | undefined): number {
        const requestedMs = Number(request.headers[serviceTimeHeader] ?? Number.NaN);
        const { meanServiceMs, meanServiceMsByService } = this.options;
        const meanMs = meanServiceMsByService?.[service ?? ""] ?? meanServiceMs;
        const serviceMs = Number.isNaN(requestedMs) ? this.sampleUnitTime() * meanMs : requestedMs;
        return serviceMs * (this.faults.slowFactor ?? 1);
    }

    private sendAnswer(
        request: http.IncomingMessage,
        response: http.ServerResponse,
        record: execution.Execution,
        bodyBytes: number,
    ): void {
        if (response.destroyed || this.frozenSockets.has(request.socket)) {
            return;
        }
        const { instance, requestId, method, path, key } = record;
        const body = Buffer.from(JSON.stringify({ instance, requestId, method, path, bodyBytes, key }));
        response.writeHead(record.status ?? 200, {
            "content-type": "application/json",
            "content-length": body.length,
            ...this.createHeaders(request),
        });
        if (this.faults.cutMidAnswer === true) {
            record.cut = true;
            response.write(body.subarray(0, body.length / 2), () => response.destroy());
            return;
        }
        response.end(body);
    }

    private createHeaders(request: http.IncomingMessage): http.OutgoingHttpHeaders {
        const requestId = readHeader(request, types.requestIdHeader);
        if (requestId === undefined) {
            return {};
        }
        return { [types.requestIdHeader]: this.faults.wrongRequestId === true ? `not-${requestId}` : requestId };
    }

    private createControl(): polka.Polka {
        return polka.default()
            .get("/executions", standIn.handle((...exchange) => this.listExecutions(...exchange)))
            .get(
                "/usage",
                standIn.handle((_, response) => standIn.sendJson(response, 200, { runningTasks: this.running.size })),
            )
            .post("/faults", standIn.handle((...exchange) => this.changeFaults(...exchange)))
            .post("/reboot", standIn.handle((...exchange) => this.reboot(...exchange)))
            .post("/checkpoint", standIn.handle((_, response) => this.checkpoint(response)));
    }

    private listExecutions(request: polka.Request, response: http.ServerResponse): void {
        const executions = this.executions.slice(standIn.readNumber(request, "from", 0));
        standIn.sendJson(response, 200, { executions });
    }

    private async changeFaults(request: polka.Request, response: http.ServerResponse): Promise<void> {
        const { freezeExisting, ...persistentFaults } = await standIn.readJson(request) as BackendServerFaults;
        this.faults = { ...this.faults, ...persistentFaults };
        if (freezeExisting === true) {
            this.sockets.forEach(socket => this.frozenSockets.add(socket));
        }
        standIn.sendJson(response, 200, this.faults);
    }

    private checkpoint(response: http.ServerResponse): void {
        this.checkpoints++;
        standIn.sendJson(response, 202, { checkpoints: this.checkpoints });
    }

    /** Kills all executions, closes the port for `downMs`, and responds once it listens on the same port again. */
    private async reboot(request: polka.Request, response: http.ServerResponse): Promise<void> {
        const { downMs } = await standIn.readJson(request) as { downMs: number; };
        const closed = new Promise(resolve => this.server.close(resolve));
        this.killExecutions(Date.now());
        this.sockets.forEach(socket => socket.destroy());
        await closed;
        await timers.setTimeout(downMs);
        await standIn.listenAgain(this.server, this.port);
        standIn.sendJson(response, 200, {});
    }

    private killExecutions(now: number): void {
        for (const { record, timer } of this.running) {
            clearTimeout(timer);
            Object.assign(record, { end: now, cut: true, killed: true });
            this.usedSlots--;
        }
        this.running.clear();
    }
}

function readHeader(request: http.IncomingMessage, name: string): string | undefined {
    const value = request.headers[name];
    return Array.isArray(value) ? value[0] : value;
}
