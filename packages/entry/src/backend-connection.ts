/**
 * Sends requests to one backend server over HTTP. A request that gets no complete answer is reported as not run only if
 * no byte of it was written; otherwise its outcome is unknown.
 */
import * as schema from "@catkinwharf/schema";
import * as types from "@catkinwharf/types";
import * as undici from "undici";
import * as headers from "./headers.js";
import * as request from "./request.js";

/** Header by which a backend server states that it refused a request before running it. */
export const refusedHeader = "catkinwharf-refused";

/** Time limit in ms for opening a connection. */
const connectTimeoutMs = 2_000;
/** Time in ms for which an idle connection is kept open. */
const idleConnectionMs = 4_000;

/** Faults of the backend server that a failed send can show. */
export const ServerFault = { error: "error", silent: "silent", refused: "refused" } as const;
export type ServerFault = (typeof ServerFault)[keyof typeof ServerFault];

/** Result of one send, and the fault that it shows. */
export interface SendResult {
    readonly result: request.RequestResult;
    readonly fault: ServerFault | undefined;
}

/** A request that was sent and has not ended. */
export interface PendingSend {
    /** Result for the caller; settles after `timeoutMs` at the latest. */
    readonly callerResult: Promise<SendResult>;
    /** Result at the backend server, which may come later. The request holds its slot there until then. */
    readonly finalResult: Promise<SendResult>;
}

export interface SendOptions {
    /** Time in ms after which the caller gets a result without an answer. */
    readonly timeoutMs: number;
    /** Time in ms without an answer that counts as a fault of the connection or the server instead of a long run. */
    readonly silentAfterMs: number;
    /** Called immediately before the first byte is written; the request is not sent if it returns false. */
    mayDispatch(): boolean;
}

export interface ConnectionLimits {
    readonly connections: number;
    readonly maxAnswerBytes: number;
    readonly sourceHost: string | undefined;
}

export class BackendConnection {
    #pool: undici.Pool;
    /** Clock time in ms before which no connection of the pool was opened. */
    #poolCreatedAt = Number.NEGATIVE_INFINITY;
    readonly #origin: string;
    readonly #limits: ConnectionLimits;

    constructor(address: schema.log.Address, limits: ConnectionLimits) {
        this.#origin = `http://${address.host}:${address.port}`;
        this.#limits = limits;
        this.#pool = this.#createPool();
    }

    #createPool(): undici.Pool {
        return new undici.Pool(this.#origin, {
            connections: this.#limits.connections,
            pipelining: 1,
            keepAliveTimeout: idleConnectionMs,
            keepAliveMaxTimeout: idleConnectionMs,
            headersTimeout: 0,
            bodyTimeout: 0,
            connect: { timeout: connectTimeoutMs },
            ...(this.#limits.sourceHost === undefined ? {} : { localAddress: this.#limits.sourceHost }),
        });
    }

    /**
     * Replaces the pool if its connections may have been opened before `before`. Requests on the old connections run to
     * their end. Times are clock time in ms.
     */
    retireConnections(before: number, now: number): void {
        if (this.#poolCreatedAt >= before) {
            return;
        }
        this.#poolCreatedAt = now;
        const retired = this.#pool;
        this.#pool = this.#createPool();
        void retired.close();
    }

    send(serviceRequest: request.ServiceRequest, options: SendOptions): PendingSend {
        const callerResult = createDeferred<SendResult>();
        const finalResult = createDeferred<SendResult>();
        const exchange = new Exchange(
            serviceRequest,
            options,
            this.#limits.maxAnswerBytes,
            callerResult.resolve,
            finalResult.resolve,
        );
        this.#pool.dispatch(
            {
                path: serviceRequest.path,
                method: serviceRequest.method as undici.Dispatcher.HttpMethod,
                headers: writeHeaders(serviceRequest),
                body: serviceRequest.body.byteLength === 0 ? undefined : Buffer.from(serviceRequest.body),
            },
            exchange.createHandler(),
        );
        return { callerResult: callerResult.promise, finalResult: finalResult.promise };
    }

    async close(): Promise<void> {
        await this.#pool.close();
    }
}

/** Whether the answer belonged to another request, so that the server's other connections may be mismatched too. */
export function isMismatched(sent: SendResult): boolean {
    return sent.result.outcome === types.Outcome.unknown && sent.result.reason === types.Reason.answerMismatched;
}

interface Deferred<Value> {
    readonly promise: Promise<Value>;
    resolve(value: Value): void;
}

function createDeferred<Value>(): Deferred<Value> {
    let resolve!: (value: Value) => void;
    const promise = new Promise<Value>(settle => resolve = settle);
    return { promise, resolve: value => resolve(value) };
}

function writeHeaders(serviceRequest: request.ServiceRequest): string[] {
    return [
        ...serviceRequest.headers.flatMap(field => [field.name, field.value]),
        types.requestIdHeader,
        serviceRequest.requestId,
        "catkinwharf-service",
        serviceRequest.service,
    ];
}

/** One request and its answer: collects the answer, and settles the caller's result and the final result once each. */
class Exchange {
    readonly #serviceRequest: request.ServiceRequest;
    readonly #options: SendOptions;
    readonly #maxAnswerBytes: number;
    readonly #reportToCaller: (sent: SendResult) => void;
    readonly #reportFinal: (sent: SendResult) => void;
    #timer: NodeJS.Timeout;
    #isFinished = false;
    #isStarted = false;
    #isFenced = false;
    #abort: ((reason: Error) => void) | undefined;
    #status = 0;
    #fields: headers.RawFields = {};
    #chunks: Buffer[] = [];
    #bytes = 0;

    constructor(
        serviceRequest: request.ServiceRequest,
        options: SendOptions,
        maxAnswerBytes: number,
        reportToCaller: (sent: SendResult) => void,
        reportFinal: (sent: SendResult) => void,
    ) {
        this.#serviceRequest = serviceRequest;
        this.#options = options;
        this.#maxAnswerBytes = maxAnswerBytes;
        this.#reportToCaller = reportToCaller;
        this.#reportFinal = reportFinal;
        this.#timer = setTimeout(() => this.#onTimeout(), options.timeoutMs);
    }

    createHandler(): undici.Dispatcher.DispatchHandler {
        return {
            onRequestStart: controller => this.#start(controller),
            onResponseStart: (_controller, status, fields) => this.#receiveHead(status, fields),
            onResponseData: (_controller, chunk) => this.#receiveData(chunk),
            onResponseEnd: () => this.#finish(this.#createResponseResult()),
            onResponseError: () => this.#finish(this.#createErrorResult()),
        };
    }

    #start(controller: undici.Dispatcher.DispatchController): void {
        this.#abort = reason => controller.abort(reason);
        if (this.#isFinished) {
            controller.abort(new Error("request abandoned"));
            return;
        }
        if (!this.#options.mayDispatch()) {
            this.#isFenced = true;
            controller.abort(new Error("dispatch refused: the session is fenced"));
            return;
        }
        this.#isStarted = true;
    }

    #receiveHead(status: number, fields: headers.RawFields): void {
        this.#status = status;
        this.#fields = fields;
    }

    #receiveData(chunk: Buffer): void {
        this.#bytes += chunk.byteLength;
        if (this.#bytes > this.#maxAnswerBytes) {
            this.#abandon(createUnknownResult(types.Reason.answerTooLarge, undefined));
            return;
        }
        this.#chunks.push(chunk);
    }

    #createResponseResult(): SendResult {
        const echoed = headers.readField(this.#fields, types.requestIdHeader);
        if (echoed !== this.#serviceRequest.requestId) {
            return createUnknownResult(types.Reason.answerMismatched, ServerFault.error);
        }
        if (headers.readField(this.#fields, refusedHeader) !== undefined) {
            return { result: request.createNotRun(types.Reason.refusedByServer), fault: ServerFault.refused };
        }
        const result: request.Answered = {
            outcome: types.Outcome.answered,
            status: this.#status,
            headers: headers.listForwardedFields(this.#fields),
            body: Buffer.concat(this.#chunks),
        };
        return { result, fault: this.#status >= 500 ? ServerFault.error : undefined };
    }

    /**
     * Abandons a request that was not started or whose server counts as silent. Any other request continues after its
     * caller has a result, because it holds its slot until it ends.
     */
    #onTimeout(): void {
        const { timeoutMs, silentAfterMs } = this.#options;
        const silent = createUnknownResult(types.Reason.serverSilent, ServerFault.silent);
        if (!this.#isStarted) {
            this.#abandon(
                createNotRunResult(types.Reason.noCapacity, timeoutMs < silentAfterMs ? undefined : ServerFault.silent),
            );
            return;
        }
        if (timeoutMs >= silentAfterMs) {
            this.#abandon(silent);
            return;
        }
        this.#reportToCaller(createUnknownResult(types.Reason.serverSilent, undefined));
        this.#timer = setTimeout(() => this.#abandon(silent), silentAfterMs - timeoutMs);
    }

    #createErrorResult(): SendResult {
        if (this.#isFenced) {
            return createNotRunResult(types.Reason.fenced);
        }
        if (!this.#isStarted) {
            return createNotRunResult(types.Reason.noCapacity, ServerFault.error);
        }
        return createUnknownResult(types.Reason.answerCutShort, ServerFault.error);
    }

    #abandon(sent: SendResult): void {
        this.#finish(sent);
        this.#abort?.(new Error("request abandoned"));
    }

    /** Ends the request once; a result that the caller already has is not changed by this one. */
    #finish(sent: SendResult): void {
        if (this.#isFinished) {
            return;
        }
        this.#isFinished = true;
        clearTimeout(this.#timer);
        this.#reportToCaller(sent);
        this.#reportFinal(sent);
    }
}

function createNotRunResult(reason: types.Reason, fault?: ServerFault): SendResult {
    return { result: request.createNotRun(reason), fault };
}

function createUnknownResult(reason: types.Reason, fault: ServerFault | undefined): SendResult {
    return { result: request.createUnknown(reason), fault };
}
