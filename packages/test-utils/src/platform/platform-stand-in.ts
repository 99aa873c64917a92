/**
 * Stand-in for the platform: log service, membership list and control of instances, with injectable faults.
 */
import * as schema from "@catkinwharf/schema";
import * as http from "node:http";
import type * as net from "node:net";
import * as timers from "node:timers/promises";
import * as polka from "polka";
import * as standIn from "../stand-in.js";
import * as instanceControl from "./instance-control.js";
import * as membership from "./membership.js";
import * as stream from "./stream.js";
import * as tokenBucket from "./token-bucket.js";

/** A member, and the control port of its backend server stand-in. */
export interface ControlledMember extends schema.platform.Member {
    readonly controlPort?: number;
}

/** Options of the process, read as JSON from its command line. */
export interface PlatformOptions {
    readonly port?: number;
    readonly controlPort?: number;
    readonly retentionMs?: number;
    readonly retentionEntries?: number;
    readonly appendsPerSecond?: number;
    readonly membershipLagMs?: number;
    /** Time in ms between two samples of the instances' usage. */
    readonly usageLagMs?: number;
    readonly members: readonly ControlledMember[];
    readonly rebootMs: number;
}

/** Faults that stay active until they are changed. */
export interface PlatformFaults {
    /** Open and new connections are reset. */
    readonly down?: boolean;
    /** Delay in ms before a request is handled. */
    readonly slowMs?: number;
    /** Number of appends that take effect and whose connection is closed instead of a response. */
    readonly loseAnswers?: number | "all";
    /** Appends are refused with 503. */
    readonly refuseAppends?: boolean;
    /** Requests are accepted, but neither handled nor answered. */
    readonly freeze?: boolean;
}

const defaultAppendsPerSecond = 500;
const defaultReadLimit = 1000;
const defaultUsageLagMs = 1000;

/** State and request handlers of the stand-in. */
export class PlatformStandIn {
    private readonly streams = new Map<string, stream.Stream>();
    private readonly appendLimiter: tokenBucket.TokenBucket;
    private readonly members: membership.Membership;
    private readonly instances: instanceControl.InstanceControl;
    private readonly sockets = new Set<net.Socket>();
    private readonly counters = new Map<string, number>();
    private faults: PlatformFaults = {};

    constructor(private readonly options: PlatformOptions) {
        this.appendLimiter = new tokenBucket.TokenBucket(options.appendsPerSecond ?? defaultAppendsPerSecond);
        this.members = new membership.Membership(
            options.members.map(({ controlPort: _, ...member }) => member),
            options.membershipLagMs ?? 0,
        );
        const controlPorts = options.members.flatMap(member =>
            member.controlPort === undefined ? [] : [[member.name, member.controlPort] as const]
        );
        this.instances = new instanceControl.InstanceControl(this.members, new Map(controlPorts), options.rebootMs);
    }

    /** Listens on both ports. */
    async start(): Promise<{ port: number; controlPort: number; }> {
        const server = http.createServer(this.createService().handler as http.RequestListener);
        server.on("connection", socket => this.acceptConnection(socket));
        const port = await standIn.listen(server, this.options.port ?? 0);
        const controlPort = await standIn.serve(this.createControl(), this.options.controlPort);
        setInterval(
            () => void this.instances.sampleUsage(Date.now()),
            this.options.usageLagMs ?? defaultUsageLagMs,
        );
        return { port, controlPort };
    }

    private acceptConnection(socket: net.Socket): void {
        if (this.faults.down === true) {
            socket.resetAndDestroy();
            return;
        }
        this.sockets.add(socket);
        socket.on("close", () => this.sockets.delete(socket));
    }

    private createService(): polka.Polka {
        return polka.default()
            .post("/log/:stream/append", this.withFaults((...exchange) => this.append(...exchange)))
            .get("/log/:stream", this.withFaults((...exchange) => this.read(...exchange)))
            .get(
                "/membership",
                this.withFaults((_, response) => this.send(response, 200, this.members.read(Date.now()))),
            )
            .put("/membership/:name", this.withFaults((...exchange) => this.putMember(...exchange)))
            .post("/instances/:name/reboot", this.withFaults((...exchange) => this.reboot(...exchange)))
            .get("/instances/:name/reboot/:id", this.withFaults((...exchange) => this.findReboot(...exchange)))
            .post("/instances/:name/checkpoint", this.withFaults((...exchange) => this.checkpoint(...exchange)))
            .post("/instances/:name/throttle", this.withFaults((_, response) => this.acceptThrottle(response)))
            .get("/usage", this.withFaults((_, response) => this.send(response, 200, this.instances.readUsage())));
    }

    private createControl(): polka.Polka {
        return polka.default()
            .post("/faults", standIn.handle((...exchange) => this.changeFaults(...exchange)))
            .get("/streams/:name", standIn.handle((...exchange) => this.readAll(...exchange)))
            .put("/membership/:name", standIn.handle((...exchange) => this.putMember(...exchange)))
            .post("/append-direct/:stream", standIn.handle((...exchange) => this.appendDirectly(...exchange)))
            .get(
                "/counters",
                standIn.handle((_, response) => standIn.sendJson(response, 200, Object.fromEntries(this.counters))),
            );
    }

    /** Wraps a handler with the faults that apply before a request is handled. */
    private withFaults(handler: standIn.Handler): polka.Middleware {
        return standIn.handle(async (request, response) => {
            if (this.faults.slowMs !== undefined) {
                await timers.setTimeout(this.faults.slowMs);
            }
            if (this.faults.freeze !== true) {
                await handler(request, response);
            }
        });
    }

    private send(
        response: http.ServerResponse,
        status: number,
        body: unknown,
        headers?: http.OutgoingHttpHeaders,
    ): void {
        if (this.faults.freeze !== true) {
            standIn.sendJson(response, status, body, headers);
        }
    }

    private count(counter: string): void {
        this.counters.set(counter, (this.counters.get(counter) ?? 0) + 1);
    }

    private getOrCreateStream(name: string): stream.Stream {
        const known = this.streams.get(name);
        if (known !== undefined) {
            return known;
        }
        const created = new stream.Stream({
            retentionMs: this.options.retentionMs ?? Number.POSITIVE_INFINITY,
            retentionEntries: this.options.retentionEntries ?? Number.POSITIVE_INFINITY,
        });
        this.streams.set(name, created);
        return created;
    }

    private async append(request: polka.Request, response: http.ServerResponse): Promise<void> {
        const body = await standIn.readJson(request);
        if (!schema.validators.platformAppendRequest(body)) {
            const reason = schema.describeFailure(schema.validators.platformAppendRequest.errors);
            this.count("malformedAppends");
            this.send(response, 400, { reason });
            return;
        }
        const now = Date.now();
        if (this.faults.refuseAppends === true) {
            this.count("refusedAppends");
            this.send(response, 503, { reason: "appends are refused" });
            return;
        }
        if (!this.appendLimiter.tryTake(now)) {
            this.count("limitedAppends");
            this.send(response, 429, { reason: "append rate" }, {
                "retry-after": String(this.appendLimiter.retryAfterSeconds),
            });
            return;
        }
        this.count("appends");
        const answer = this.getOrCreateStream(standIn.readParameter(request, "stream")).append(body.entries, now);
        if (this.consumeLostAnswer()) {
            this.count("lostAnswers");
            response.destroy();
            return;
        }
        this.send(response, 200, answer);
    }

    private consumeLostAnswer(): boolean {
        const remainingAnswers = this.faults.loseAnswers ?? 0;
        if (remainingAnswers === "all") {
            return true;
        }
        this.faults = { ...this.faults, loseAnswers: Math.max(0, remainingAnswers - 1) };
        return remainingAnswers > 0;
    }

    private async read(request: polka.Request, response: http.ServerResponse): Promise<void> {
        const logStream = this.getOrCreateStream(standIn.readParameter(request, "stream"));
        const from = standIn.readNumber(request, "from", 0);
        const limit = standIn.readNumber(request, "limit", defaultReadLimit);
        this.count("reads");
        if (from >= logStream.headOffset) {
            await waitForAppend(logStream, response, standIn.readNumber(request, "waitMs", 0));
        }
        const answer = logStream.read(from, limit, Date.now());
        this.send(response, from < answer.oldestOffset ? 410 : 200, answer);
    }

    private async putMember(request: polka.Request, response: http.ServerResponse): Promise<void> {
        const list = { asOf: 0, members: [await standIn.readJson(request)] };
        if (!schema.validators.platformMembershipAnswer(list)) {
            const reason = schema.describeFailure(schema.validators.platformMembershipAnswer.errors);
            standIn.sendJson(response, 400, { reason });
            return;
        }
        this.members.put({ ...list.members[0]!, name: standIn.readParameter(request, "name") }, Date.now());
        standIn.sendJson(response, 200, {});
    }

    private async reboot(request: polka.Request, response: http.ServerResponse): Promise<void> {
        const name = standIn.readParameter(request, "name");
        const body = await standIn.readJson(request);
        if (!schema.validators.platformRebootRequest(body)) {
            const reason = schema.describeFailure(schema.validators.platformRebootRequest.errors);
            this.send(response, 400, { reason });
            return;
        }
        if (this.members.find(name) === undefined) {
            this.send(response, 404, { reason: `no instance ${name}` });
            return;
        }
        this.count("rebootRequests");
        this.send(response, 200, this.instances.reboot(name, body.id));
    }

    private findReboot(request: polka.Request, response: http.ServerResponse): void {
        const id = standIn.readParameter(request, "id");
        const found = this.instances.findReboot(standIn.readParameter(request, "name"), id);
        this.send(response, found === undefined ? 404 : 200, found ?? { reason: `no reboot ${id}` });
    }

    private async checkpoint(request: polka.Request, response: http.ServerResponse): Promise<void> {
        this.count("checkpoints");
        await this.instances.checkpoint(standIn.readParameter(request, "name"));
        this.send(response, 202, {});
    }

    private acceptThrottle(response: http.ServerResponse): void {
        this.count("throttles");
        this.send(response, 202, {});
    }

    private async changeFaults(request: polka.Request, response: http.ServerResponse): Promise<void> {
        this.faults = { ...this.faults, ...await standIn.readJson(request) as PlatformFaults };
        if (this.faults.down === true) {
            for (const socket of this.sockets) {
                socket.resetAndDestroy();
            }
        }
        standIn.sendJson(response, 200, this.faults);
    }

    private readAll(request: polka.Request, response: http.ServerResponse): void {
        const entries = this.getOrCreateStream(standIn.readParameter(request, "name")).readAll();
        standIn.sendJson(response, 200, { entries });
    }

    private async appendDirectly(request: polka.Request, response: http.ServerResponse): Promise<void> {
        const body = await standIn.readJson(request) as schema.platform.AppendRequest;
        const logStream = this.getOrCreateStream(standIn.readParameter(request, "stream"));
        standIn.sendJson(response, 200, logStream.append(body.entries, Date.now()));
    }
}

/** Resolves at the next append, after `waitMs`, or when the reader closes the connection. */
function waitForAppend(logStream: stream.Stream, response: http.ServerResponse, waitMs: number): Promise<void> {
    return new Promise(resolve => {
        const finish = () => {
            clearTimeout(timer);
            unsubscribe();
            response.off("close", finish);
            resolve();
        };
        const timer = setTimeout(finish, waitMs);
        const unsubscribe = logStream.onceAppended(finish);
        response.once("close", finish);
    });
}
