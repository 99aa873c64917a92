/**
 * Sends requests to one backend server over HTTP, and tells exactly what is known when no whole answer comes.
 */
import * as schema from "@catkinwharf/schema";
import * as types from "@catkinwharf/types";
import * as undici from "undici";
import * as headers from "./headers.js";
import * as request from "./request.js";

/** Header with which a backend server says that it refused a request before running it. */
export const refusedHeader = "catkinwharf-refused";

/** Time in ms for a new connection. */
const connectTimeoutMs = 2_000;
/** Time in ms that an idle connection is kept. */
const idleConnectionMs = 4_000;

/** What a failed send says about the backend server. */
export const ServerFault = { error: "error", silent: "silent", refused: "refused" } as const;
export type ServerFault = (typeof ServerFault)[keyof typeof ServerFault];

/** What became of one send. */
export interface SendResult {
    readonly result: request.RequestResult;
    readonly fault: ServerFault | undefined;
}

/** A request on its way. */
export interface Sending {
    /** What its caller is told, at the latest after the time allowed. */
    readonly told: Promise<SendResult>;
    /** What became of it at the backend server, which may come later: until then it holds its slot there. */
    readonly ended: Promise<SendResult>;
}

export interface SendOptions {
    /** Time in ms after which the caller is told that no answer came. */
    readonly timeoutMs: number;
    /** Time in ms without an answer that speaks against the connection or its server, and not for a long run. */
    readonly silentAfterMs: number;
    /** Checked immediately before the first byte is written. */
    mayDispatch(): boolean;
}

export interface ConnectionLimits {
    readonly connections: number;
    readonly maxAnswerBytes: number;
    readonly sourceHost: string | undefined;
}

export class BackendConnection {
    #pool: undici.Pool;
    /** Clock time in ms from which on the connections were opened. */
    #openedSince = Number.NEGATIVE_INFINITY;
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

    /** Gives up connections that may be older than `before`; requests on them still end. Times are clock time in ms. */
    retireConnections(before: number, now: number): void {
        if (this.#openedSince >= before) {
            return;
        }
        this.#openedSince = now;
        const retired = this.#pool;
        this.#pool = this.#createPool();
        void retired.close();
    }

    send(question: request.ServiceRequest, options: SendOptions): Sending {
        const told = createDeferred<SendResult>();
        const ended = createDeferred<SendResult>();
        const exchange = new Exchange(question, options, this.#limits.maxAnswerBytes, told.resolve, ended.resolve);
        this.#pool.dispatch(
            {
                path: question.path,
                method: question.method as undici.Dispatcher.HttpMethod,
                headers: writeHeaders(question),
                body: question.body.byteLength === 0 ? undefined : Buffer.from(question.body),
            },
            exchange.createHandler(),
        );
        return { told: told.promise, ended: ended.promise };
    }

    async close(): Promise<void> {
        await this.#pool.close();
    }
}

/** Whether another request's answer came, so that the server's other connections may be mixed up too. */
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

function writeHeaders(question: request.ServiceRequest): string[] {
    return [
        ...question.headers.flatMap(field => [field.name, field.value]),
        types.requestIdHeader,
        question.requestId,
        "catkinwharf-service",
        question.service,
    ];
}

/** One request on its way: collects the answer, tells its caller once, and ends once. */
class Exchange {
    readonly #question: request.ServiceRequest;
    readonly #options: SendOptions;
    readonly #maxAnswerBytes: number;
    readonly #tell: (sent: SendResult) => void;
    readonly #end: (sent: SendResult) => void;
    #timer: NodeJS.Timeout;
    #ended = false;
    #started = false;
    #fenced = false;
    #abort: ((reason: Error) => void) | undefined;
    #status = 0;
    #fields: headers.RawFields = {};
    #chunks: Buffer[] = [];
    #bytes = 0;

    constructor(
        question: request.ServiceRequest,
        options: SendOptions,
        maxAnswerBytes: number,
        tell: (sent: SendResult) => void,
        end: (sent: SendResult) => void,
    ) {
        this.#question = question;
        this.#options = options;
        this.#maxAnswerBytes = maxAnswerBytes;
        this.#tell = tell;
        this.#end = end;
        this.#timer = setTimeout(() => this.#onTimeout(), options.timeoutMs);
    }

    createHandler(): undici.Dispatcher.DispatchHandler {
        return {
            onRequestStart: controller => this.#start(controller),
            onResponseStart: (_controller, status, fields) => this.#receiveHead(status, fields),
            onResponseData: (_controller, chunk) => this.#receiveData(chunk),
            onResponseEnd: () => this.#finish(this.#describeAnswer()),
            onResponseError: () => this.#finish(this.#describeError()),
        };
    }

    #start(controller: undici.Dispatcher.DispatchController): void {
        this.#abort = reason => controller.abort(reason);
        if (this.#ended) {
            controller.abort(new Error("given up"));
            return;
        }
        if (!this.#options.mayDispatch()) {
            this.#fenced = true;
            controller.abort(new Error("fenced"));
            return;
        }
        this.#started = true;
    }

    #receiveHead(status: number, fields: headers.RawFields): void {
        this.#status = status;
        this.#fields = fields;
    }

    #receiveData(chunk: Buffer): void {
        this.#bytes += chunk.byteLength;
        if (this.#bytes > this.#maxAnswerBytes) {
            this.#giveUp(unknown(types.Reason.answerTooLarge, undefined));
            return;
        }
        this.#chunks.push(chunk);
    }

    #describeAnswer(): SendResult {
        const echoed = headers.readField(this.#fields, types.requestIdHeader);
        if (echoed !== this.#question.requestId) {
            return unknown(types.Reason.answerMismatched, ServerFault.error);
        }
        if (headers.readField(this.#fields, refusedHeader) !== undefined) {
            return { result: request.createNotRun(types.Reason.refusedByServer), fault: ServerFault.refused };
        }
        const result: request.Answered = {
            outcome: types.Outcome.answered,
            status: this.#status,
            headers: headers.listPassedFields(this.#fields),
            body: Buffer.concat(this.#chunks),
        };
        return { result, fault: this.#status >= 500 ? ServerFault.error : undefined };
    }

    /** A run that may only be long goes on, since its slot is taken until it ends. */
    #onTimeout(): void {
        const { timeoutMs, silentAfterMs } = this.#options;
        const silent = unknown(types.Reason.serverSilent, ServerFault.silent);
        if (!this.#started) {
            this.#giveUp(notRun(types.Reason.noCapacity, timeoutMs < silentAfterMs ? undefined : ServerFault.silent));
            return;
        }
        if (timeoutMs >= silentAfterMs) {
            this.#giveUp(silent);
            return;
        }
        this.#tell(unknown(types.Reason.serverSilent, undefined));
        this.#timer = setTimeout(() => this.#giveUp(silent), silentAfterMs - timeoutMs);
    }

    #describeError(): SendResult {
        if (this.#fenced) {
            return notRun(types.Reason.fenced);
        }
        if (!this.#started) {
            return notRun(types.Reason.noCapacity, ServerFault.error);
        }
        return unknown(types.Reason.answerCutShort, ServerFault.error);
    }

    #giveUp(sent: SendResult): void {
        this.#finish(sent);
        this.#abort?.(new Error("given up"));
    }

    /** The caller hears only the first thing that it is told. */
    #finish(sent: SendResult): void {
        if (this.#ended) {
            return;
        }
        this.#ended = true;
        clearTimeout(this.#timer);
        this.#tell(sent);
        this.#end(sent);
    }
}

function notRun(reason: types.Reason, fault?: ServerFault): SendResult {
    return { result: request.createNotRun(reason), fault };
}

function unknown(reason: types.Reason, fault: ServerFault | undefined): SendResult {
    return { result: request.createUnknown(reason), fault };
}
