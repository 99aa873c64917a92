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
    readonly reason: string;
}

/** Maximum connections to one address; further calls wait until one is free. */
const maxConnections = 12;
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
/** Codes of errors that occur before anything is sent. */
const unsentErrorCodes: ReadonlySet<string> = new Set([
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    connectTimeoutCode,
]);

export class HttpClient {
    /** Connection pools by address. */
    readonly #pools = new Map<string, undici.Pool>();

    /**
     * Sends a call and reads the complete response.
     *
     * @param timeout in ms, from the start of the call to the end of the response; with `transferTime`, until the body
     * of the response begins to arrive, and then between any two parts of it
     * @param transferTime longest time in ms that a large response may take in addition while it keeps arriving:
     * repeating the call would only add to what a slow link has to carry
     * @param abort ends the call when it is aborted before the body of the response begins to arrive; the call then counts
     * as timed out
     */
    async send(
        address: string,
        call: platform.Call,
        timeout: number,
        abort = new AbortController(),
        transferTime = 0,
    ): Promise<neverthrow.Result<platform.HttpResponse, CallError>> {
        const ended = new AbortController();
        const received: Uint8Array[] = [];
        const timer = setTimeout(() => ended.abort(), timeout);
        const total = setTimeout(() => ended.abort(), timeout + transferTime);
        const abortEarly = () => {
            if (received.length === 0) {
                ended.abort();
            }
        };
        abort.signal.addEventListener("abort", abortEarly);
        try {
            const response = await this.#findPool(address).request({
                method: call.method,
                path: call.path,
                headers: call.headers,
                body: call.body,
                signal: ended.signal,
                headersTimeout: 0,
                bodyTimeout: 0,
            });
            for await (const part of response.body as AsyncIterable<Uint8Array>) {
                received.push(part);
                timer.refresh();
            }
            return neverthrow.ok({ status: response.statusCode, body: new Uint8Array(Buffer.concat(received)) });
        }
        catch (error) {
            return neverthrow.err(toCallError(error, ended.signal.aborted, countBytes(received)));
        }
        finally {
            clearTimeout(timer);
            clearTimeout(total);
            abort.signal.removeEventListener("abort", abortEarly);
        }
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
                connections: maxConnections,
                pipelining: 1,
                keepAliveTimeout: idleTimeout,
                keepAliveMaxTimeout: idleTimeout,
                connect: { timeout: connectTimeout },
            });
            this.#pools.set(address, pool);
        }
        return pool;
    }
}

function countBytes(parts: readonly Uint8Array[]): number {
    return parts.reduce((sum, part) => sum + part.byteLength, 0);
}

/**
 * @param aborted whether a timeout has expired or the call was aborted
 * @param received bytes of the response's body that had arrived
 */
function toCallError(error: unknown, aborted: boolean, received: number): CallError {
    const code = typeof error === "object" && !!error && "code" in error ? String(error.code) : "";
    return {
        layer: "http-calls",
        fault: unsentErrorCodes.has(code) ? CallFault.unsent : CallFault.unanswered,
        timedOut: aborted || code === connectTimeoutCode,
        reason: formatReason(aborted ? "timed out" : code !== "" ? code : String(error), received),
    };
}

function formatReason(cause: string, received: number): string {
    return received === 0 ? cause : `${cause} after ${received} bytes of the response`;
}
