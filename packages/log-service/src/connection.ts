/**
 * One HTTP connection to a service of the platform, for one question at a time.
 *
 * A question without a whole answer in time takes its connection with it: the connection may be one that no longer
 * reaches the service although new ones do, so the next question gets a new one.
 */
import * as errors from "@catkinwharf/errors";
import * as neverthrow from "neverthrow";
import * as undici from "undici";
import * as trafficMeter from "./traffic-meter.js";

/** A question to a service. */
export interface Question {
    readonly method: "GET" | "POST";
    /** Path with query, below the service's URL. */
    readonly path: string;
    /** Sent as JSON; undefined for none. */
    readonly body?: unknown;
    /** Time until the whole answer, in ms. */
    readonly timeoutMs: number;
}

/** A whole answer, of whatever status. */
export interface Answer {
    readonly status: number;
    /** Value of the Retry-After header. */
    readonly retryAfter: string | undefined;
    /** Body bytes. */
    readonly body: Buffer;
}

export interface ConnectionOptions {
    /** URL of the service; its path is put before each question's. */
    readonly url: string;
    /** Time until a connection stands, in ms. */
    readonly connectTimeoutMs: number;
    /** Source IP number. */
    readonly localAddress?: string;
    /** Told of the connections' bytes after each question. */
    readonly onBytes?: trafficMeter.TrafficListener;
}

/** Bytes of one answer; a larger one counts as unanswered. */
const maxAnswerBytes = 64 * 1024 * 1024;

/** Collects the answer to one question and knows whether the question was sent. */
class Exchange implements undici.Dispatcher.DispatchHandler {
    private sent = false;
    private status = 0;
    private retryAfter: string | undefined;
    private readonly chunks: Buffer[] = [];

    constructor(private readonly settle: (outcome: neverthrow.Result<Answer, errors.PlatformError>) => void) {}

    onRequestStart(): void {
        this.sent = true;
    }

    onResponseStart(
        _controller: undici.Dispatcher.DispatchController,
        status: number,
        headers: Readonly<Record<string, string | string[] | undefined>>,
    ): void {
        const retryAfter = headers["retry-after"];
        this.status = status;
        this.retryAfter = Array.isArray(retryAfter) ? retryAfter[0] : retryAfter;
    }

    onResponseData(_controller: undici.Dispatcher.DispatchController, chunk: Buffer): void {
        this.chunks.push(chunk);
    }

    onResponseEnd(): void {
        const body = Buffer.concat(this.chunks);
        this.settle(neverthrow.ok({ status: this.status, retryAfter: this.retryAfter, body }));
    }

    onResponseError(_controller: undici.Dispatcher.DispatchController | undefined, error: Error): void {
        this.fail(errors.describeThrown(error));
    }

    fail(reason: string): void {
        const fault = this.sent ? errors.PlatformFault.unanswered : errors.PlatformFault.unreachable;
        this.settle(neverthrow.err({ layer: "platform", fault, reason }));
    }
}

/** Connects at the first question, and again after a failure. */
export class Connection {
    private client: undici.Client | undefined;
    private readonly base: URL;
    private readonly meter: trafficMeter.TrafficMeter;

    constructor(private readonly options: ConnectionOptions) {
        this.meter = new trafficMeter.TrafficMeter(options.onBytes);
        this.base = new URL(options.url);
    }

    /** Asks a question. The error is `unreachable` if no byte of it was sent, otherwise `unanswered`. */
    ask(question: Question): Promise<neverthrow.Result<Answer, errors.PlatformError>> {
        return new Promise(resolve => {
            const client = this.connect();
            const exchange = new Exchange(outcome => {
                clearTimeout(timer);
                this.meter.read();
                resolve(outcome);
            });
            const timer = setTimeout(() => {
                exchange.fail(`no answer within ${question.timeoutMs} ms`);
                this.discard(client, "the answer is late");
            }, question.timeoutMs);
            client.dispatch(this.createRequest(question), exchange);
        });
    }

    /** Gives the connection up; a question that waits for its answer fails. */
    reset(): void {
        if (this.client !== undefined) {
            this.discard(this.client, "the connection was given up");
        }
    }

    private connect(): undici.Client {
        this.client ??= new undici.Client(this.base.origin, {
            bodyTimeout: 0,
            connect: this.createConnector(),
            headersTimeout: 0,
            localAddress: this.options.localAddress,
            maxResponseSize: maxAnswerBytes,
            pipelining: 1,
        });
        return this.client;
    }

    private createConnector(): undici.buildConnector.connector {
        const connect = undici.buildConnector({ timeout: this.options.connectTimeoutMs });
        return (options, callback) =>
            connect(options, (...outcome) => {
                const [, socket] = outcome;
                if (socket) {
                    this.meter.follow(socket);
                }
                callback(...outcome);
            });
    }

    private createRequest(question: Question): undici.Dispatcher.DispatchOptions {
        const path = this.base.pathname.replace(/\/$/, "") + question.path;
        if (question.body === undefined) {
            return { method: question.method, path };
        }
        const headers = { "content-type": "application/json" };
        return { method: question.method, path, headers, body: JSON.stringify(question.body) };
    }

    private discard(client: undici.Client, reason: string): void {
        if (this.client === client) {
            this.client = undefined;
        }
        client.destroy(new Error(reason)).catch(() => undefined);
    }
}
