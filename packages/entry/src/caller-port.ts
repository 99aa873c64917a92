/**
 * HTTP port for callers: proxies service requests, issues tickets, and reports the outcomes known for a key.
 */
import * as errors from "@catkinwharf/errors";
import * as fleetState from "@catkinwharf/fleet-state";
import * as logger from "@catkinwharf/logger";
import * as requestBody from "@catkinwharf/request-body";
import * as schema from "@catkinwharf/schema";
import * as types from "@catkinwharf/types";
import * as crypto from "node:crypto";
import * as http from "node:http";
import * as polka from "polka";
import * as headers from "./headers.js";
import * as httpServer from "./http-server.js";
import * as metrics from "./metrics.js";
import * as request from "./request.js";

const servicePath = /^\/v1\/services\/([^/?]+)(\/[^?]*)?(\?.*)?$/;

/** Methods that RFC 9110, section 9.2.2, defines as idempotent. */
const idempotentMethods: ReadonlySet<string> = new Set(["GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"]);

/** Header fields of the answer to input that is not HTTP. */
const malformedInputFields = [
    `${types.outcomeHeader}: ${types.Outcome.notRun}`,
    `${types.reasonHeader}: ${types.Reason.badRequest}`,
];

/** Outcome known for a request with a key. */
export interface KnownOutcome {
    readonly service: string;
    readonly key: string;
    readonly state: schema.peer.KeyAnswer["state"];
    readonly status: number | undefined;
}

export interface CallerPortOptions {
    readonly limits: schema.settings.RequestLimits;
    readonly metrics: metrics.Metrics;
    readonly logger: logger.Logger;
    readonly clock: () => number;
    /** Reason why requests are refused now; undefined if they are accepted. */
    readRefusal(): types.Reason | undefined;
    readState(): fleetState.FleetState;
    /** Runs a request that may run more than once. */
    runIdempotent(serviceRequest: request.ServiceRequest, signal: AbortSignal): Promise<request.RequestResult>;
    /** Runs a request at most once under its key. */
    runKeyed(serviceRequest: request.ServiceRequest, key: string): Promise<request.RequestResult>;
    issueTicket(): string;
    /** Lists the outcomes known for a key, one for each service that received a request with it. */
    describeKey(key: string, service: string | undefined): Promise<readonly KnownOutcome[]>;
}

/** A request that was read in full, or the reason for refusing it. */
type ParsedRequest = { readonly serviceRequest: request.ServiceRequest; readonly key: string | undefined; } | {
    readonly refusal: types.Reason;
};

export class CallerPort {
    readonly #options: CallerPortOptions;
    readonly #server: http.Server;
    #closing = false;

    constructor(options: CallerPortOptions) {
        this.#options = options;
        this.#server = http.createServer();
        httpServer.refuseMalformedInput(
            this.#server,
            malformedInputFields,
            () => this.#options.metrics.count("bad_input", "callers"),
        );
        const app = polka.default({
            server: this.#server,
            onError: (error, _message, response) => this.#fail(error, response as http.ServerResponse),
            onNoMatch: (_message, response) =>
                httpServer.sendProblem(response as unknown as http.ServerResponse, types.Reason.badRequest),
        });
        app.all("/v1/services/*", (message, response) => void this.#serve(message, response));
        app.post("/v1/tickets", (_message, response) => this.#issueTicket(response));
        app.get(
            "/v1/requests/:key",
            (message, response) =>
                void this.#describeKey(String(message.params["key"] ?? ""), message.query["service"], response)
                    .catch((error: unknown) => this.#fail(error, response)),
        );
        this.#server.on("request", app.handler as unknown as http.RequestListener);
    }

    listen(listener: schema.settings.Listener): Promise<number> {
        return httpServer.listen(this.#server, listener);
    }

    /** Sends `connection: close` with each response from now on, so that callers open new connections. */
    announceClose(): void {
        this.#closing = true;
    }

    /** Stops accepting connections and waits for the open requests. */
    close(): Promise<void> {
        return httpServer.closeServer(this.#server);
    }

    #fail(error: unknown, response: http.ServerResponse): void {
        this.#options.logger.error(`A request failed: ${errors.getErrorMessage(error)}.`);
        httpServer.sendProblem(response, types.Reason.badRequest);
    }

    async #serve(message: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        const arrivedAt = this.#options.clock();
        try {
            const result = await this.#run(message, response, arrivedAt);
            this.#respond(response, result);
            this.#recordMetrics(result, arrivedAt);
        }
        catch (error) {
            this.#fail(error, response);
        }
    }

    async #run(
        message: http.IncomingMessage,
        response: http.ServerResponse,
        arrivedAt: number,
    ): Promise<request.RequestResult> {
        const refusal = this.#options.readRefusal();
        if (refusal !== undefined) {
            return refuseUnreadRequest(message, refusal);
        }
        const read = await this.#readRequest(message, arrivedAt);
        if ("refusal" in read) {
            return request.createNotRun(read.refusal);
        }
        if (read.key !== undefined) {
            return this.#options.runKeyed(read.serviceRequest, read.key);
        }
        return this.#options.runIdempotent(read.serviceRequest, createCallerSignal(response));
    }

    async #readRequest(message: http.IncomingMessage, arrivedAt: number): Promise<ParsedRequest> {
        const urlParts = servicePath.exec(message.url ?? "") ?? undefined;
        if (urlParts === undefined) {
            return { refusal: types.Reason.badRequest };
        }
        const service = this.#findService(urlParts[1]);
        if (service === undefined) {
            return { refusal: types.Reason.serviceUnknown };
        }
        const timeoutMs = headers.readTimeout(
            headers.readField(message.headers, types.timeoutHeader),
            service.timeoutMs,
            this.#options.limits.maxTimeoutMs,
        );
        if (timeoutMs === undefined) {
            return { refusal: types.Reason.badRequest };
        }
        const body = await requestBody.readBody(message, this.#options.limits.maxBodyBytes);
        if (typeof body === "string") {
            return { refusal: bodyRefusals[body] };
        }
        const path = `${urlParts[2] ?? "/"}${urlParts[3] ?? ""}`;
        return this.#createRequest(message, service, path, body, arrivedAt + timeoutMs);
    }

    #findService(encoded: string | undefined): schema.log.Service | undefined {
        return this.#options.readState().configuration?.value.services.find(service => service.name === encoded);
    }

    #createRequest(
        message: http.IncomingMessage,
        service: schema.log.Service,
        path: string,
        body: Uint8Array,
        deadline: number,
    ): ParsedRequest {
        const method = message.method ?? "GET";
        const idempotent = idempotentMethods.has(method) || isDeclaredIdempotent(service, method, path);
        const field = headers.readField(message.headers, types.idempotencyKeyHeader);
        const key = field === undefined ? undefined : headers.readIdempotencyKey(field);
        if (field !== undefined && key === undefined) {
            return { refusal: types.Reason.badRequest };
        }
        if (!idempotent && key === undefined) {
            return { refusal: types.Reason.keyRequired };
        }
        const serviceRequest: request.ServiceRequest = {
            requestId: crypto.randomUUID(),
            service: service.name,
            method,
            path,
            headers: headers.listForwardedFields(message.headers),
            body,
            idempotent,
            urgency: headers.readUrgency(headers.readField(message.headers, "priority")),
            deadline,
        };
        return { serviceRequest, key: idempotent ? undefined : key };
    }

    #respond(response: http.ServerResponse, result: request.RequestResult): void {
        if (response.destroyed || response.headersSent) {
            return;
        }
        if (this.#closing) {
            response.setHeader("connection", "close");
        }
        if (result.outcome !== types.Outcome.answered) {
            if (result.reason === types.Reason.bodyTooLarge) {
                response.setHeader("connection", "close");
            }
            httpServer.sendProblem(response, result.reason);
            return;
        }
        for (const field of result.headers) {
            response.appendHeader(field.name, field.value);
        }
        response.setHeader(types.outcomeHeader, result.outcome);
        response.statusCode = result.status;
        if (allowsBody(result.status)) {
            response.setHeader("content-length", result.body.byteLength);
        }
        response.end(result.body);
    }

    #recordMetrics(result: request.RequestResult, arrivedAt: number): void {
        const reason = result.outcome === types.Outcome.answered ? "" : result.reason;
        this.#options.metrics.count("requests", reason === "" ? result.outcome : `${result.outcome}:${reason}`);
        this.#options.metrics.observeDuration(result.outcome, this.#options.clock() - arrivedAt);
        if (reason === types.Reason.badRequest) {
            this.#options.metrics.count("bad_input", "callers");
        }
    }

    #issueTicket(response: http.ServerResponse): void {
        const refusal = this.#options.readRefusal();
        if (refusal !== undefined) {
            httpServer.sendProblem(response, refusal);
            return;
        }
        response.setHeader(types.outcomeHeader, types.Outcome.answered);
        httpServer.sendJson(response, 201, { key: this.#options.issueTicket() });
    }

    async #describeKey(encoded: string, service: unknown, response: http.ServerResponse): Promise<void> {
        const key = httpServer.decodePath(encoded);
        if (key === undefined) {
            this.#options.metrics.count("bad_input", "callers");
            httpServer.sendProblem(response, types.Reason.badRequest);
            return;
        }
        const serviceFilter = typeof service === "string" ? service : undefined;
        const outcomes = await this.#options.describeKey(key, serviceFilter);
        response.setHeader(types.outcomeHeader, types.Outcome.answered);
        httpServer.sendJson(response, outcomes.length === 0 ? 404 : 200, { key, outcomes });
    }
}

/**
 * Refuses a request before it is read. The outcome of one with a key is unknown, because its key was not looked up and
 * an earlier request may have used it.
 */
function refuseUnreadRequest(message: http.IncomingMessage, refusal: types.Reason): request.RequestResult {
    return headers.readField(message.headers, types.idempotencyKeyHeader) === undefined
        ? request.createNotRun(refusal)
        : request.createUnknown(types.Reason.claimUnconfirmed);
}

const bodyRefusals: Readonly<Record<requestBody.BodyFault, types.Reason>> = {
    [requestBody.BodyFault.tooLarge]: types.Reason.bodyTooLarge,
    [requestBody.BodyFault.incomplete]: types.Reason.callerGone,
};

function isDeclaredIdempotent(service: schema.log.Service, method: string, path: string): boolean {
    return (service.idempotentOperations ?? []).some(operation =>
        operation.method === method && path.startsWith(operation.pathPrefix)
    );
}

/** Whether a response with this status may have a body (RFC 9110, section 6.4.1). */
function allowsBody(status: number): boolean {
    return status !== 204 && status !== 304;
}

/** Creates a signal that aborts when the caller closes its connection before the response is written. */
function createCallerSignal(response: http.ServerResponse): AbortSignal {
    const controller = new AbortController();
    response.on("close", () => {
        if (!response.writableFinished) {
            controller.abort();
        }
    });
    return controller.signal;
}
