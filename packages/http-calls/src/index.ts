/**
 * HTTP client with a connection pool for each address. Every call has a timeout; a call may allow its response to take
 * longer while it keeps arriving. The connection of a call that timed out is closed, because a connection that stopped
 * responding doesn't recover.
 */
import type * as platform from "@catkinwharf/platform";
import * as neverthrow from "neverthrow";
import * as undici from "undici";

export const CallFault = {
    /** Nothing was sent, so the call was not carried out. */
    unsent: "unsent",
    /** The call may have been sent, but no complete response arrived: it may have been carried out, or may still be. */
    unanswered: "unanswered",
} as const;
export type CallFault = (typeof CallFault)[keyof typeof CallFault];

export interface CallError {
    /** Package that reports the error. */
    readonly layer: "http-calls";
    readonly fault: CallFault;
    /** The call timed out; otherwise the connection was refused or closed by the other side or the network. */
    readonly timedOut: boolean;
    /**
     * The call was sent on a connection that had carried a response before, so it can only reach the process that gave that
     * response; one that was started since under the same address isn't reached.
     */
    readonly onUsedConnection: boolean;
    readonly reason: string;
}

/** Maximum connections to one address unless the client is given another number; further calls wait until one is free. */
const defaultMaxConnections = 12;
/**
 * Lateness in ms of an expired timer above which the process counts as having been busy: the response may have arrived
 * meanwhile, so the call gets the time back.
 */
const minLateness = 20;
/**
 * Time in ms before an idle connection is closed; longer than the usual time between two calls to an address, as
 * opening a new connection is costly for the server.
 */
const idleTimeout = 60_000;
/**
 * Timeout in ms for establishing a connection. Without it, the operating system retries a connection attempt made
 * during a network partition at growing intervals, and the attempt outlasts the partition by a long time.
 */
const connectTimeout = 600;
const connectTimeoutCode = "UND_ERR_CONNECT_TIMEOUT";

export class HttpClient {
    /** Connection pools by address. */
    readonly #pools = new Map<string, undici.Pool>();

    /** @param maxConnections maximum connections to one address */
    constructor(private readonly maxConnections = defaultMaxConnections) {}

    /**
     * Sends a call and reads the complete response.
     *
     * @param timeout in ms, from the start of the call to the end of the response; with `transferTime`, until the body
     * of the response begins to arrive, and then between any two parts of it. Time in which this process was too busy to
     * handle the response doesn't count, up to the timeout's length; a call that wasn't sent by the timeout never is.
     * @param transferTime longest time in ms that a large response may take in addition while it keeps arriving:
     * repeating the call would only add to what a slow link has to carry
     * @param abort ends the call when it is aborted before the body of the response begins to arrive; the call then counts
     * as timed out
     */
    send(
        address: string,
        call: platform.Call,
        timeout: number,
        abort?: AbortController,
        transferTime = 0,
    ): Promise<neverthrow.Result<platform.HttpResponse, CallError>> {
        return new Promise(resolve => {
            const handler = new ResponseHandler(timeout, transferTime, result => {
                abort?.signal.removeEventListener("abort", abortEarly);
                resolve(result);
            });
            const abortEarly = () => handler.abortUnlessArriving();
            abort?.signal.addEventListener("abort", abortEarly);
            try {
                const options: CallOptions = {
                    method: call.method as undici.Dispatcher.HttpMethod,
                    path: call.path,
                    headers: call.headers,
                    body: call.body ?? null, // eslint-disable-line no-restricted-syntax -- undici's types
                    headersTimeout: 0,
                    bodyTimeout: 0,
                    onDispatched: connection => handler.connection = connection,
                };
                this.#findPool(address).dispatch(options, handler);
            }
            catch (error) {
                handler.fail(error); // The address or the path can't be one.
            }
        });
    }

    /** Closes all connections to an address that is no longer used. */
    closeConnections(address: string): void {
        const pool = this.#pools.get(address);
        this.#pools.delete(address);
        void pool?.destroy();
    }

    #findPool(address: string): undici.Pool {
        let pool = this.#pools.get(address);
        if (pool === undefined) {
            pool = new undici.Pool(`http://${address}`, {
                connections: this.maxConnections,
                pipelining: 1,
                keepAliveTimeout: idleTimeout,
                keepAliveMaxTimeout: idleTimeout,
                connect: connectResettable,
                factory: (origin, options) => new Connection(origin, options as undici.Client.Options),
            });
            this.#pools.set(address, pool);
        }
        return pool;
    }
}

interface CallOptions extends undici.Dispatcher.DispatchOptions {
    /** Called when a connection of the pool gets the call, before it is sent. */
    readonly onDispatched: (connection: Connection) => void;
}

/** One of a pool's connections, which is opened anew after it was closed. */
class Connection extends undici.Client {
    /** Whether the connection that is open has carried a response. */
    hasResponded = false;

    constructor(origin: URL, options: undici.Client.Options) {
        super(origin, options);
        const reset = () => this.hasResponded = false;
        this.on("connect", reset);
        this.on("disconnect", reset);
    }

    override dispatch(
        options: undici.Dispatcher.DispatchOptions,
        handler: undici.Dispatcher.DispatchHandler,
    ): boolean {
        (options as CallOptions).onDispatched(this);
        return super.dispatch(options, handler);
    }
}

const connectPlainly = undici.buildConnector({ timeout: connectTimeout });

/**
 * Connects with a socket that is reset when it is destroyed. One that is closed instead would go on sending what a
 * partition holds up: a call that timed out would be carried out seconds later, after those of this process's successor.
 */
const connectResettable: undici.buildConnector.connector = (options, callback) => {
    connectPlainly(options, (...[error, socket]) => {
        if (!socket) { // Without a connection undici passes null or nothing.
            callback(error, socket);
            return;
        }
        const destroy = socket.destroy.bind(socket);
        socket.destroy = () => {
            socket.destroy = destroy; // `resetAndDestroy` ends with it.
            return socket.resetAndDestroy();
        };
        callback(error, socket);
    });
};

/**
 * Collects one response. undici's own collectors make a stream, an iterator and a signal for each response; a
 * coordinator of a large deployment makes thousands of calls a second, of which these would be a third of the cost.
 */
class ResponseHandler implements undici.Dispatcher.DispatchHandler {
    #timer: NodeJS.Timeout;
    /** Length in ms of `#timer`. */
    #timerDuration: number;
    /** On the monotonic clock, ms: when `#timer` is to expire. */
    #timerDueAt: number;
    /** Whether the timeout has been extended because this process was busy when it expired. */
    #extended = false;
    /** On the monotonic clock, ms: the call may not be sent any more, as what allowed the caller to send it may have ended. */
    readonly #sendableUntil: number;
    readonly #transferTimer: NodeJS.Timeout | undefined;
    readonly #parts: Buffer[] = [];
    #status = 0;
    /** Has the call; `undefined` until one of the pool's does. */
    connection: Connection | undefined;
    #sentOnUsedConnection = false;
    #controller: undici.Dispatcher.DispatchController | undefined;
    #done = false;

    /** @param transferTime see `HttpClient.send` */
    constructor(
        private readonly timeout: number,
        transferTime: number,
        private readonly resolve: (result: neverthrow.Result<platform.HttpResponse, CallError>) => void,
    ) {
        this.#timerDuration = timeout;
        this.#timerDueAt = performance.now() + timeout;
        this.#sendableUntil = this.#timerDueAt;
        this.#timer = setTimeout(() => this.#handleTimeout(), timeout);
        this.#transferTimer = transferTime > 0
            ? setTimeout(() => this.#abort(), timeout + transferTime)
            : undefined;
    }

    /** Ends the call unless the body of its response has begun to arrive. */
    abortUnlessArriving(): void {
        if (this.#parts.length === 0) {
            this.#abort();
        }
    }

    onRequestStart(controller: undici.Dispatcher.DispatchController): void {
        // After a pause of this process, a connection may be ready before the timer has expired.
        if (!this.#done && performance.now() > this.#sendableUntil) {
            this.#abort();
        }
        if (this.#done) {
            controller.abort(new Error("the call timed out before it was sent"));
            return;
        }
        this.#controller = controller;
        this.#sentOnUsedConnection = this.connection?.hasResponded === true;
    }

    onResponseStart(_controller: undici.Dispatcher.DispatchController, status: number): void {
        this.#status = status;
    }

    onResponseData(_controller: undici.Dispatcher.DispatchController, part: Buffer): void {
        this.#parts.push(part);
        if (this.#transferTimer !== undefined) {
            this.#timer.refresh();
            this.#timerDueAt = performance.now() + this.#timerDuration;
        }
    }

    onResponseEnd(): void {
        if (this.connection !== undefined) {
            this.connection.hasResponded = true;
        }
        const body = this.#parts.length === 1 ? this.#parts[0]! : Buffer.concat(this.#parts);
        this.#finish(neverthrow.ok({ status: this.#status, body: new Uint8Array(body) }));
    }

    onResponseError(_controller: undici.Dispatcher.DispatchController, error: Error): void {
        this.fail(error);
    }

    fail(error: unknown): void {
        this.#finish(neverthrow.err(this.#describe(error, false)));
    }

    /** @param aborted whether a timeout has expired or the call was aborted */
    #describe(error: unknown, aborted: boolean): CallError {
        const code = typeof error === "object" && !!error && "code" in error ? String(error.code) : "";
        const received = this.#parts.reduce((sum, part) => sum + part.byteLength, 0);
        return {
            layer: "http-calls",
            // Nothing is sent before a connection takes the call, and nothing after it has failed.
            fault: this.#controller === undefined ? CallFault.unsent : CallFault.unanswered,
            timedOut: aborted || code === connectTimeoutCode,
            onUsedConnection: this.#sentOnUsedConnection,
            reason: formatReason(aborted ? "timed out" : code !== "" ? code : String(error), received),
        };
    }

    /**
     * Ends the call, or if it was sent extends its timeout once by the time for which this process was busy. The event loop
     * runs expired timers before it reads from connections, so a response that has arrived is read first.
     */
    #handleTimeout(): void {
        const lateness = performance.now() - this.#timerDueAt;
        if (this.#controller !== undefined && lateness >= minLateness && !this.#extended) {
            this.#extended = true;
            this.#timerDuration = Math.min(lateness, this.timeout);
            this.#timerDueAt = performance.now() + this.#timerDuration;
            this.#timer = setTimeout(() => this.#handleTimeout(), this.#timerDuration);
            return;
        }
        setImmediate(() => this.#abort());
    }

    #abort(): void {
        const error = new Error("timed out");
        this.#finish(neverthrow.err(this.#describe(error, true)));
        this.#controller?.abort(error);
    }

    #finish(result: neverthrow.Result<platform.HttpResponse, CallError>): void {
        if (this.#done) {
            return;
        }
        this.#done = true;
        clearTimeout(this.#timer);
        clearTimeout(this.#transferTimer);
        this.resolve(result);
    }
}

/** @param received bytes of the response's body that had arrived */
function formatReason(cause: string, received: number): string {
    return received === 0 ? cause : `${cause} after ${received} bytes of the response`;
}
