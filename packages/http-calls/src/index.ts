/**
 * Sends calls over kept connections. Every call has a time limit; a connection whose call ran out of time is closed,
 * because one that fell silent never answers again.
 */
import type * as platform from "@catkinwharf/platform";
import * as neverthrow from "neverthrow";
import * as undici from "undici";

export const CallFault = {
    /** No byte of the call left this process: it was not carried out. */
    unsent: "unsent",
    /** It was sent and no whole answer came: it may have been carried out, or may be later. */
    unanswered: "unanswered",
} as const;
export type CallFault = (typeof CallFault)[keyof typeof CallFault];

export interface CallError {
    readonly layer: "http-calls";
    readonly fault: CallFault;
    /** The time limit passed; otherwise the other side or the network refused or broke off. */
    readonly timedOut: boolean;
    readonly reason: string;
}

/** Connections to one address; more calls wait for one. */
const maxConnections = 12;
/** Time in ms that a connection may be idle; longer than a calm stretch, since new connections are dear to servers. */
const idleTimeout = 60_000;
/**
 * Time in ms for a connection to be made. Left to the system, a connection begun during a partition is tried again ever
 * more rarely, and long after its end.
 */
const connectTimeout = 600;
const connectTimeoutCode = "UND_ERR_CONNECT_TIMEOUT";
/** Errors that show that nothing was sent. */
const unsentCodes: ReadonlySet<string> = new Set([
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    connectTimeoutCode,
]);

export class HttpCalls {
    readonly #pools = new Map<string, undici.Pool>();

    /**
     * Sends a call and reads its whole answer.
     *
     * @param timeout in ms, for the whole exchange
     */
    async send(
        address: string,
        call: platform.Call,
        timeout: number,
    ): Promise<neverthrow.Result<platform.Answer, CallError>> {
        const abort = new AbortController();
        const timer = setTimeout(() => abort.abort(), timeout);
        try {
            const response = await this.#findPool(address).request({
                method: call.method,
                path: call.path,
                headers: call.headers,
                body: call.body,
                signal: abort.signal,
                headersTimeout: 0,
                bodyTimeout: 0,
            });
            const body = new Uint8Array(await response.body.arrayBuffer());
            return neverthrow.ok({ status: response.statusCode, body });
        }
        catch (error) {
            return neverthrow.err(describeError(error, abort.signal.aborted));
        }
        finally {
            clearTimeout(timer);
        }
    }

    /** Closes the connections to an address that is no longer used. */
    forget(address: string): void {
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

function describeError(error: unknown, timedOut: boolean): CallError {
    const code = typeof error === "object" && !!error && "code" in error ? String(error.code) : "";
    return {
        layer: "http-calls",
        fault: unsentCodes.has(code) ? CallFault.unsent : CallFault.unanswered,
        timedOut: timedOut || code === connectTimeoutCode,
        reason: timedOut ? "timed out" : code !== "" ? code : String(error),
    };
}
