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

export interface SendOptions {
    /** Time in ms after which a server that sent nothing counts as silent. */
    readonly timeoutMs: number;
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

    send(question: request.ServiceRequest, options: SendOptions): Promise<SendResult> {
        return new Promise(resolve => {
            const exchange = new Exchange(question, options, this.#limits.maxAnswerBytes, resolve);
            this.#pool.dispatch(
                {
                    path: question.path,
                    method: question.method as undici.Dispatcher.HttpMethod,
                    headers: writeHeaders(question),
                    body: question.body.byteLength === 0 ? undefined : Buffer.from(question.body),
                },
                exchange.createHandler(),
            );
        });
    }

    async close(): Promise<void> {
        await this.#pool.close();
    }
}

/** Whether another request's answer came, so that the server's other connections may be mixed up too. */
export function isMismatched(sent: SendResult): boolean {
    return sent.result.outcome === types.Outcome.unknown && sent.result.reason === types.Reason.answerMismatched;
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

/** One request on its way: collects the answer and settles once. */
class Exchange {
    readonly #question: request.ServiceRequest;
    readonly #options: SendOptions;
    readonly #maxAnswerBytes: number;
    readonly #settle: (sent: SendResult) => void;
    readonly #timer: NodeJS.Timeout;
    #settled = false;
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
        settle: (sent: SendResult) => void,
    ) {
        this.#question = question;
        this.#options = options;
        this.#maxAnswerBytes = maxAnswerBytes;
        this.#settle = settle;
        this.#timer = setTimeout(() => this.#giveUp(this.#describeSilence()), options.timeoutMs);
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
        if (this.#settled) {
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

    #describeSilence(): SendResult {
        return this.#started
            ? unknown(types.Reason.serverSilent, ServerFault.silent)
            : notRun(types.Reason.noCapacity, ServerFault.silent);
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

    #finish(sent: SendResult): void {
        if (this.#settled) {
            return;
        }
        this.#settled = true;
        clearTimeout(this.#timer);
        this.#settle(sent);
    }
}

function notRun(reason: types.Reason, fault?: ServerFault): SendResult {
    return { result: request.createNotRun(reason), fault };
}

function unknown(reason: types.Reason, fault: ServerFault | undefined): SendResult {
    return { result: request.createUnknown(reason), fault };
}
