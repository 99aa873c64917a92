/**
 * Calls to the store with their outcomes: stored, refused, or unknown.
 */
import * as eventLog from "@catkinwharf/event-log";
import * as httpCalls from "@catkinwharf/http-calls";
import * as platform from "@catkinwharf/platform";
import * as neverthrow from "neverthrow";
import * as storeRelay from "./store-relay.js";
import type * as storeRoutes from "./store-routes.js";

export const StoreFault = {
    /** Nothing was done. */
    refused: "refused",
    /** It may have been done, or may be done later. */
    unknown: "unknown",
} as const;
export type StoreFault = (typeof StoreFault)[keyof typeof StoreFault];

export interface StoreError {
    readonly layer: "store";
    readonly fault: StoreFault;
    readonly reason: string;
}

export type Append = Exclude<platform.storeCalls.AppendAnswer, { readonly kind: "refused"; }>;
export type Read = Exclude<platform.storeCalls.ReadAnswer, { readonly kind: "refused"; }>;
export type Newest = Exclude<platform.storeCalls.NewestAnswer, { readonly kind: "refused"; }>;

/** Least time in ms for a call that doesn't wait for anything; a store in order answers in 4 ms. */
const minTimeout = 900;
/** The same through a peer: one that is out of reach stays silent, one that can't help says so at once. */
const minRelayedTimeout = 450;
/** Most time in ms for such a call: the store queues appends for 2 s before it refuses them. */
const maxTimeout = 2500;
/** How many times its usual answer a call may take, for a store that is slow. */
const slowFactor = 4;
/** Weight of the newest answer in the estimate of the usual one. */
const latencyWeight = 0.2;

/** Time in ms since the last success after which failing calls mean that the store is out of reach. */
const lostPatience = 400;
/** The same when no call has failed yet: longer than the reads of all followers wait. */
const silencePatience = 1500;

export class StoreClient {
    /** Unix time in ms of the last answer that did what was asked. */
    lastSuccess = 0;
    #lost = false;
    /** Usual time in ms of an answer. */
    latency = 0;

    constructor(
        private readonly calls: httpCalls.HttpCalls,
        private readonly routes: storeRoutes.StoreRoutes,
        private readonly log: eventLog.EventLog,
        private readonly now: () => number,
    ) {}

    /** The store can't be used from here, as far as the last calls tell; `now` is Unix time in ms. */
    isOut(now: number): boolean {
        return now - this.lastSuccess > (this.#lost ? lostPatience : silencePatience);
    }

    async append(
        topic: string,
        records: readonly platform.storeCalls.KeyedRecord[],
        conditions: platform.storeCalls.AppendConditions = {},
    ): Promise<neverthrow.Result<Append, StoreError>> {
        const answer = await this.#send(platform.storeCalls.createAppend(topic, records, conditions), 0);
        return answer.andThen(whole => {
            const decoded = platform.storeCalls.decodeAppend(whole);
            return decoded.kind === "refused" ? this.#refuse<Append>(decoded.status) : this.#succeed<Append>(decoded);
        });
    }

    /** Reads from an offset on; the answer comes when there is a record, or after `wait` ms. */
    async read(topic: string, from: number, wait: number): Promise<neverthrow.Result<Read, StoreError>> {
        const answer = await this.#send(platform.storeCalls.createRead(topic, from, wait), wait);
        return answer.andThen(whole => {
            const decoded = platform.storeCalls.decodeRead(whole, from);
            return decoded.kind === "refused" ? this.#refuse<Read>(decoded.status) : this.#succeed<Read>(decoded);
        });
    }

    async readNewest(topic: string, after: string | undefined): Promise<neverthrow.Result<Newest, StoreError>> {
        const answer = await this.#send(platform.storeCalls.createNewest(topic, after), 0);
        return answer.andThen(whole => {
            const decoded = platform.storeCalls.decodeNewest(whole);
            return decoded.kind === "refused" ? this.#refuse<Newest>(decoded.status) : this.#succeed<Newest>(decoded);
        });
    }

    /** @param wait Ms for which the store may keep the answer back */
    async #send(
        call: platform.Call,
        wait: number,
    ): Promise<neverthrow.Result<platform.Answer, StoreError>> {
        this.#probe();
        const way = this.routes.choose(this.now());
        const sentAt = this.now();
        const least = way.relayed ? minRelayedTimeout : minTimeout;
        const patience = Math.min(maxTimeout, Math.max(least, this.latency * slowFactor));
        const answer = await this.calls.send(way.address, call, wait + patience);
        if (wait === 0) {
            const taken = Math.max(0, this.now() - sentAt);
            this.latency += (Math.min(taken, maxTimeout) - this.latency) * latencyWeight;
        }
        const failure = this.#judge(way, answer);
        if (failure === undefined) {
            return neverthrow.ok(answer._unsafeUnwrap());
        }
        this.#noteLoss(way, failure.reason);
        return neverthrow.err(failure);
    }

    /** Tries a direct way that stayed silent with a call that nobody waits for. */
    #probe(): void {
        const way = this.routes.takeProbe(this.now());
        if (way !== undefined) {
            const call = platform.storeCalls.createRead(platform.storeCalls.statusTopic, 0, 0);
            void this.calls.send(way.address, call, minTimeout).then(answer => this.#judge(way, answer));
        }
    }

    /** Notes whether the way works; returns why it doesn't. */
    #judge(
        way: storeRoutes.Way,
        answer: neverthrow.Result<platform.Answer, httpCalls.CallError>,
    ): StoreError | undefined {
        const failure = answer.isErr() ? describeError(answer.error) : describeStatus(answer.value.status);
        if (failure === undefined) {
            this.routes.noteSuccess(way);
        }
        else {
            this.routes.noteFailure(way, this.now(), answer.isErr() && answer.error.timedOut);
        }
        return failure;
    }

    #succeed<Value>(value: Value): neverthrow.Result<Value, StoreError> {
        if (this.#lost) {
            this.#lost = false;
            this.log.info("store-regained", { lostFor: this.now() - this.lastSuccess });
        }
        this.lastSuccess = this.now();
        return neverthrow.ok(value);
    }

    /** The store understood the call and doesn't do it. */
    #refuse<Value>(status: number): neverthrow.Result<Value, StoreError> {
        this.log.warn("store-call-rejected", { status });
        return neverthrow.err({ layer: "store", fault: StoreFault.refused, reason: `status ${status}` });
    }

    #noteLoss(way: storeRoutes.Way, reason: string): void {
        if (!this.#lost) {
            this.#lost = true;
            this.log.warn("store-lost", { ...way, reason, lastSuccess: this.lastSuccess });
        }
    }
}

function describeError(error: httpCalls.CallError): StoreError {
    const fault = error.fault === httpCalls.CallFault.unsent ? StoreFault.refused : StoreFault.unknown;
    return { layer: "store", fault, reason: error.reason };
}

/** Statuses with which the store turns a process away; nothing was done. */
const turnedAway: ReadonlySet<number> = new Set([429, 502, 503, storeRelay.notPassedStatus]);

/** Why the way to the store failed; `undefined` when the store has dealt with the call. */
function describeStatus(status: number): StoreError | undefined {
    if (turnedAway.has(status)) {
        return { layer: "store", fault: StoreFault.refused, reason: `status ${status}` };
    }
    return status === storeRelay.unansweredStatus
        ? { layer: "store", fault: StoreFault.unknown, reason: "the relay got no answer" }
        : undefined;
}
