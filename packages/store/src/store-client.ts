/**
 * Client of the store. A call that fails was either refused, so that nothing was done, or has an unknown outcome.
 */
import * as eventLog from "@catkinwharf/event-log";
import * as httpCalls from "@catkinwharf/http-calls";
import * as platform from "@catkinwharf/platform";
import * as neverthrow from "neverthrow";
import * as readMeter from "./read-meter.js";
import * as storeRelay from "./store-relay.js";
import type * as storeRoutes from "./store-routes.js";

export const StoreFault = {
    /** The call was not carried out. */
    refused: "refused",
    /** The call may have been carried out, or may still be. */
    unknown: "unknown",
} as const;
export type StoreFault = (typeof StoreFault)[keyof typeof StoreFault];

export interface StoreError {
    /** Package that reports the error. */
    readonly layer: "store";
    readonly fault: StoreFault;
    readonly reason: string;
}

/**
 * Results of calls that the store handled, including appends whose conditions weren't met. Refused calls are reported
 * as a `StoreError` instead.
 */
export type AppendResult = Exclude<platform.storeCalls.AppendResult, { readonly kind: "refused" | "malformed"; }>;
export type ReadResult = Exclude<platform.storeCalls.ReadResult, { readonly kind: "refused"; }>;
export type NewestResult = Exclude<platform.storeCalls.NewestResult, { readonly kind: "refused"; }>;

/**
 * Minimum timeout in ms of a call, in addition to the time of its long poll. A healthy store responds in 4 ms, so only
 * calls to an unhealthy one reach it.
 */
const minTimeout = 900;
/**
 * The same for a call through a peer's relay. It is shorter because a relay whose route to the store has failed says so
 * at once: usually, only an unreachable peer doesn't respond. A relay that still waits for the store (up to 800 ms) may
 * also exceed it.
 */
const minRelayedTimeout = 450;
/**
 * Maximum timeout in ms of a call, in addition to the time of its long poll. The store queues appends for 2 s before it
 * refuses them.
 */
const maxTimeout = 2500;
/** Timeout as a multiple of the average latency, so that calls to a slow store don't time out. */
const timeoutFactor = 4;
/**
 * Longest time in ms for which the response to a read may keep arriving after the timeout: the store's largest one, 1 MB
 * and a third more in base64, over a link of a tenth of the slowest one known (7 Mbit/s), rounded.
 */
const readTransferTime = 15_000;
/** Weight of the latest sample in the moving average of the latency. */
const latencyWeight = 0.2;

/** Time in ms since the last success after which the store counts as unavailable, if a call has failed since. */
const unavailableAfterFailure = 400;
/** The same if no call has failed since; longer than one long poll of a follower (1000 ms). */
const unavailableAfterSilence = 1500;

export class StoreClient {
    /** Unix time in ms of the last successful call. */
    lastSuccess = 0;
    #failing = false;
    /** Moving average in ms of the latency of calls without long polling. */
    latency = 0;
    readonly reads = new readMeter.ReadMeter();
    /** Long polls over the direct route that have no response yet. */
    readonly #directPolls = new Set<AbortController>();

    constructor(
        private readonly httpClient: Pick<httpCalls.HttpClient, "send">,
        private readonly routes: storeRoutes.StoreRoutes,
        private readonly log: eventLog.EventLog,
        private readonly now: () => number,
    ) {}

    /** Whether the store counts as unavailable to this process, by its last calls; `now` is Unix time in ms. */
    isUnavailable(now: number): boolean {
        return now - this.lastSuccess > (this.#failing ? unavailableAfterFailure : unavailableAfterSilence);
    }

    async append(
        topic: string,
        records: readonly platform.storeCalls.KeyedRecord[],
        conditions: platform.storeCalls.AppendConditions = {},
    ): Promise<neverthrow.Result<AppendResult, StoreError>> {
        const result = await this.#send(platform.storeCalls.createAppendCall(topic, records, conditions), 0);
        return result.andThen(response => {
            const decoded = platform.storeCalls.decodeAppend(response);
            if (decoded.kind === "malformed") {
                this.log.warn("append-answer-unreadable", { topic, size: response.body.byteLength });
                const reason = "the answer can't be read";
                return neverthrow.err<AppendResult, StoreError>({ layer: "store", fault: StoreFault.unknown, reason });
            }
            return decoded.kind === "refused"
                ? this.#refuse<AppendResult>(decoded.status)
                : this.#succeed<AppendResult>(decoded);
        });
    }

    /** Reads records from an offset on; the store responds once there is a record, at the latest after `wait` ms. */
    async read(topic: string, from: number, wait: number): Promise<neverthrow.Result<ReadResult, StoreError>> {
        const result = await this.#sendRead(topic, platform.storeCalls.createReadCall(topic, from, wait), wait);
        return result.andThen(response => {
            const decoded = platform.storeCalls.decodeRead(response, from);
            return decoded.kind === "refused"
                ? this.#refuse<ReadResult>(decoded.status)
                : this.#succeed<ReadResult>(decoded);
        });
    }

    /** Reads a page of the newest record of each key; `after` is the last key of the previous page. */
    async readNewest(topic: string, after: string | undefined): Promise<neverthrow.Result<NewestResult, StoreError>> {
        const result = await this.#sendRead(topic, platform.storeCalls.createNewestCall(topic, after), 0);
        return result.andThen(response => {
            const decoded = platform.storeCalls.decodeNewest(response);
            return decoded.kind === "refused"
                ? this.#refuse<NewestResult>(decoded.status)
                : this.#succeed<NewestResult>(decoded);
        });
    }

    async #sendRead(
        topic: string,
        call: platform.Call,
        wait: number,
    ): Promise<neverthrow.Result<platform.HttpResponse, StoreError>> {
        const result = await this.#send(call, wait, readTransferTime);
        if (result.isOk()) {
            this.reads.recordAnswered(topic, result.value.body.byteLength);
        }
        else {
            this.reads.recordFailed(topic);
        }
        return result;
    }

    /**
     * @param wait time in ms for which the store may delay its response (long polling)
     * @param transferTime see `HttpClient.send`
     */
    async #send(
        call: platform.Call,
        wait: number,
        transferTime = 0,
    ): Promise<neverthrow.Result<platform.HttpResponse, StoreError>> {
        this.#probe();
        const route = this.routes.choose(this.now());
        const sentAt = this.now();
        const minimum = route.relayed ? minRelayedTimeout : minTimeout;
        const timeout = Math.min(maxTimeout, Math.max(minimum, this.latency * timeoutFactor));
        const abort = new AbortController();
        if (wait > 0 && !route.relayed) {
            this.#directPolls.add(abort);
        }
        const result = await this.httpClient.send(route.address, call, wait + timeout, abort, transferTime);
        this.#directPolls.delete(abort);
        if (wait === 0) {
            const latency = Math.max(0, this.now() - sentAt);
            this.latency += (Math.min(latency, maxTimeout) - this.latency) * latencyWeight;
        }
        const error = this.#recordOutcome(route, result);
        if (error === undefined) {
            return neverthrow.ok(result._unsafeUnwrap());
        }
        this.#markFailing(route, error.reason);
        return neverthrow.err(error);
    }

    /**
     * Probes the routes that timed out, so that no other call waits for the probe: the direct one with a read of its own,
     * peers with a request that they answer themselves. The outcome is recorded for the route.
     */
    #probe(): void {
        for (const peer of this.routes.takePeerProbes(this.now())) {
            void storeRelay.isPeerReachable(this.httpClient, peer.address).then(reachable => {
                if (reachable) {
                    this.routes.recordSuccess(peer);
                }
            });
        }
        const route = this.routes.takeProbe(this.now());
        if (route !== undefined) {
            const call = platform.storeCalls.createReadCall(platform.storeCalls.waveStatusTopic, 0, 0);
            void this.httpClient.send(route.address, call, minTimeout).then(result =>
                this.#recordOutcome(route, result)
            );
        }
    }

    /** Records whether the call over this route succeeded; returns the error if it didn't. */
    #recordOutcome(
        route: storeRoutes.StoreRoute,
        result: neverthrow.Result<platform.HttpResponse, httpCalls.CallError>,
    ): StoreError | undefined {
        const error = result.isErr() ? toStoreError(result.error) : findStatusError(result.value.status);
        if (error === undefined) {
            this.routes.recordSuccess(route);
        }
        else {
            const timedOut = result.isErr() && result.error.timedOut;
            this.routes.recordFailure(route, this.now(), timedOut);
            if (timedOut && !route.relayed) {
                this.#abortDirectPolls();
            }
        }
        return error;
    }

    /**
     * Ends the long polls over a direct route on which another call has timed out, so that they are sent again through
     * a peer. They would notice the same only after the time of the long poll as well.
     */
    #abortDirectPolls(): void {
        this.#directPolls.forEach(abort => abort.abort());
        this.#directPolls.clear();
    }

    #succeed<Value>(value: Value): neverthrow.Result<Value, StoreError> {
        if (this.#failing) {
            this.#failing = false;
            this.log.info("store-regained", { lostFor: this.now() - this.lastSuccess });
        }
        this.lastSuccess = this.now();
        return neverthrow.ok(value);
    }

    /**
     * Returns the error of a call that the store refused with a status that says nothing against the route or the
     * store's availability, e.g. because the call is malformed. `findStatusError` finds the other refusals.
     */
    #refuse<Value>(status: number): neverthrow.Result<Value, StoreError> {
        this.log.warn("store-call-rejected", { status });
        return neverthrow.err({ layer: "store", fault: StoreFault.refused, reason: `status ${status}` });
    }

    #markFailing(route: storeRoutes.StoreRoute, reason: string): void {
        if (!this.#failing) {
            this.#failing = true;
            this.log.warn("store-lost", { ...route, reason, lastSuccess: this.lastSuccess });
        }
    }
}

function toStoreError(error: httpCalls.CallError): StoreError {
    const fault = error.fault === httpCalls.CallFault.unsent ? StoreFault.refused : StoreFault.unknown;
    return { layer: "store", fault, reason: error.reason };
}

/** Statuses with which the store or a relay refuses any call for now; the call was not carried out. */
const refusalStatuses: ReadonlySet<number> = new Set([429, 502, 503, storeRelay.notForwardedStatus]);

/** The error that counts as a failure of the route; `undefined` when the status shows a working route. */
function findStatusError(status: number): StoreError | undefined {
    if (refusalStatuses.has(status)) {
        return { layer: "store", fault: StoreFault.refused, reason: `status ${status}` };
    }
    return status === storeRelay.noResponseStatus
        ? { layer: "store", fault: StoreFault.unknown, reason: "the relay received no response from the store" }
        : undefined;
}
