/**
 * HTTP connection to a service of the platform, for one request at a time.
 *
 * When a request times out, its connection is closed and the next request opens a new one: an established connection
 * can stop reaching the service while new connections still work.
 */
import * as errors from "@catkinwharf/errors";
import * as neverthrow from "neverthrow";
import * as undici from "undici";
import * as trafficMeter from "./traffic-meter.js";

/** A request to a service. */
export interface HttpRequest {
    readonly method: "GET" | "POST";
    /** Path and query, relative to the service's URL. */
    readonly path: string;
    /** Sent as JSON; undefined for a request without a body. */
    readonly body?: unknown;
    /** Time until the response must be complete, in ms. */
    readonly timeoutMs: number;
}

/** A complete response, whatever its status. */
export interface HttpResponse {
    readonly status: number;
    /** Value of the Retry-After header. */
    readonly retryAfter: string | undefined;
    readonly body: Buffer;
}

export interface ConnectionOptions {
    /** URL of the service; its path is prepended to the path of each request. */
    readonly url: string;
    /** Time until a connection must be established, in ms. */
    readonly connectTimeoutMs: number;
    /** Source IP address. */
    readonly localAddress?: string;
    /** Called with the connection's bytes after each request. */
    readonly onBytes?: trafficMeter.TrafficListener;
}

/** Maximum size of a response's body, in bytes; a request whose response is larger fails as `unanswered`. */
const maxResponseBytes = 64 * 1024 * 1024;

/** Collects the response to one request and tracks whether the request was sent. */
class ResponseCollector implements undici.Dispatcher.DispatchHandler {
    private sent = false;
    private status = 0;
    private retryAfter: string | undefined;
    private readonly chunks: Buffer[] = [];

    constructor(private readonly settle: (outcome: neverthrow.Result<HttpResponse, errors.PlatformError>) => void) {}

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
        this.fail(errors.getErrorMessage(error));
    }

    fail(reason: string): void {
        const fault = this.sent ? errors.PlatformFault.unanswered : errors.PlatformFault.unreachable;
        this.settle(neverthrow.err({ layer: "platform", fault, reason }));
    }
}

/** Connects for the first request, and again after a failure. */
export class Connection {
    private client: undici.Client | undefined;
    private readonly baseUrl: URL;
    private readonly meter: trafficMeter.TrafficMeter;

    constructor(private readonly options: ConnectionOptions) {
        this.meter = new trafficMeter.TrafficMeter(options.onBytes);
        this.baseUrl = new URL(options.url);
    }

    /** Sends a request. Fails as `unreachable` if it was not sent, otherwise as `unanswered`. */
    send(request: HttpRequest): Promise<neverthrow.Result<HttpResponse, errors.PlatformError>> {
        return new Promise(resolve => {
            const client = this.connect();
            const collector = new ResponseCollector(outcome => {
                clearTimeout(timer);
                this.meter.report();
                resolve(outcome);
            });
            const timer = setTimeout(() => {
                collector.fail(`no response within ${request.timeoutMs} ms`);
                this.discard(client, "the response timed out");
            }, request.timeoutMs);
            client.dispatch(this.createDispatchOptions(request), collector);
        });
    }

    /** Closes the connection; a pending request fails. */
    reset(): void {
        if (this.client !== undefined) {
            this.discard(this.client, "the connection was closed by this side");
        }
    }

    private connect(): undici.Client {
        this.client ??= new undici.Client(this.baseUrl.origin, {
            bodyTimeout: 0,
            connect: this.createConnector(),
            headersTimeout: 0,
            localAddress: this.options.localAddress,
            maxResponseSize: maxResponseBytes,
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
                    this.meter.attach(socket);
                }
                callback(...outcome);
            });
    }

    private createDispatchOptions(request: HttpRequest): undici.Dispatcher.DispatchOptions {
        const path = this.baseUrl.pathname.replace(/\/$/, "") + request.path;
        if (request.body === undefined) {
            return { method: request.method, path };
        }
        const headers = { "content-type": "application/json" };
        return { method: request.method, path, headers, body: JSON.stringify(request.body) };
    }

    private discard(client: undici.Client, reason: string): void {
        if (this.client === client) {
            this.client = undefined;
        }
        client.destroy(new Error(reason)).catch(() => undefined);
    }
}
