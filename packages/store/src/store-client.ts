/**
 * Calls to the store with their outcomes: stored, refused, or unknown.
 */
import * as eventLog from "@catkinwharf/event-log";
import * as httpCalls from "@catkinwharf/http-calls";
import * as platform from "@catkinwharf/platform";
import * as neverthrow from "neverthrow";

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

/** Longest time in ms for a call that doesn't wait for anything; the store answers in 4 ms, slow in up to 300. */
export const callTimeout = 900;

/** Time in ms since the last success after which failing calls mean that the store is out of reach. */
const lostPatience = 400;
/** The same when no call has failed yet: longer than the reads of all followers wait. */
const silencePatience = 1500;

export class StoreClient {
    /** Unix time in ms of the last answer that did what was asked. */
    lastSuccess = 0;
    #lost = false;

    constructor(
        private readonly calls: httpCalls.HttpCalls,
        private readonly address: string,
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
        timeout: number = callTimeout,
    ): Promise<neverthrow.Result<Append, StoreError>> {
        const answer = await this.#send(platform.storeCalls.createAppend(topic, records, conditions), timeout);
        return answer.andThen(whole => {
            const decoded = platform.storeCalls.decodeAppend(whole);
            return decoded.kind === "refused" ? this.#refuse<Append>(decoded.status) : this.#succeed<Append>(decoded);
        });
    }

    /** Reads from an offset on; the answer comes when there is a record, or after `wait` ms. */
    async read(topic: string, from: number, wait: number): Promise<neverthrow.Result<Read, StoreError>> {
        const answer = await this.#send(platform.storeCalls.createRead(topic, from, wait), wait + callTimeout);
        return answer.andThen(whole => {
            const decoded = platform.storeCalls.decodeRead(whole, from);
            return decoded.kind === "refused" ? this.#refuse<Read>(decoded.status) : this.#succeed<Read>(decoded);
        });
    }

    async readNewest(topic: string, after: string | undefined): Promise<neverthrow.Result<Newest, StoreError>> {
        const answer = await this.#send(platform.storeCalls.createNewest(topic, after), callTimeout);
        return answer.andThen(whole => {
            const decoded = platform.storeCalls.decodeNewest(whole);
            return decoded.kind === "refused" ? this.#refuse<Newest>(decoded.status) : this.#succeed<Newest>(decoded);
        });
    }

    async #send(
        call: platform.Call,
        timeout: number,
    ): Promise<neverthrow.Result<platform.Answer, StoreError>> {
        const answer = await this.calls.send(this.address, call, timeout);
        return answer.mapErr(error => {
            this.#noteLoss(error.reason);
            return {
                layer: "store",
                fault: error.fault === httpCalls.CallFault.unsent ? StoreFault.refused : StoreFault.unknown,
                reason: error.reason,
            };
        });
    }

    #succeed<Value>(value: Value): neverthrow.Result<Value, StoreError> {
        if (this.#lost) {
            this.#lost = false;
            this.log.info("store-regained", { address: this.address, lostFor: this.now() - this.lastSuccess });
        }
        this.lastSuccess = this.now();
        return neverthrow.ok(value);
    }

    #refuse<Value>(status: number): neverthrow.Result<Value, StoreError> {
        this.#noteLoss(`status ${status}`);
        return neverthrow.err({ layer: "store", fault: StoreFault.refused, reason: `status ${status}` });
    }

    #noteLoss(reason: string): void {
        if (!this.#lost) {
            this.#lost = true;
            this.log.warn("store-lost", { address: this.address, reason, lastSuccess: this.lastSuccess });
        }
    }
}
