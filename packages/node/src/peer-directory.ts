/**
 * The addresses of the peers. Each process stores its own among the submissions, which every process follows; so that one
 * which has just started knows its peers before it has read those, it stores it in a small topic as well, which is read
 * once at the start, and again when no known peer answers.
 */
import * as jobState from "@catkinwharf/job-state";
import type * as platform from "@catkinwharf/platform";
import type * as store from "@catkinwharf/store";
import * as timers from "node:timers/promises";

export interface PeerDirectoryOptions {
    readonly store: Pick<store.StoreClient, "append" | "readNewest">;
    readonly own: jobState.NodeAddress;
    /** Monotonic time in ms. */
    readonly monotonicNow: () => number;
    readonly isShuttingDown: () => boolean;
    readonly onChange: () => void;
}

/** Time in ms before a failed call to the store is retried. */
const retryDelay = 500;
/** Least time in ms between two reads because no known peer answers. */
const readInterval = 2000;

export class PeerDirectory {
    /** By name of the process; without this one. */
    readonly peers = new Map<string, jobState.NodeAddress>();
    #reading: Promise<boolean> | undefined;
    #readAt = Number.NEGATIVE_INFINITY;
    /** Address and capacity under which the topic knows this process, encoded. */
    #announced: platform.storeCalls.KeyedRecord | undefined;

    constructor(private readonly options: PeerDirectoryOptions) {}

    /** Applies a record of either topic; returns whether it is an address. */
    apply(record: platform.storeCalls.KeyedRecord): boolean {
        const peer = jobState.decodeNode(record.key, record.value);
        if (peer === undefined) {
            return false;
        }
        if (peer.node !== this.options.own.node) {
            this.peers.set(peer.node, peer);
            this.options.onChange();
        }
        return true;
    }

    /** Reads the addresses, and stores that of this process; among the submissions at once, as peers follow those. */
    async start(): Promise<void> {
        const record = jobState.encodeNode(this.options.own);
        await Promise.all([this.#store(jobState.submissionsTopic, record), this.#announce(record)]);
    }

    /** Stores the address of this process in the small topic, unless it is there already. */
    async #announce(record: platform.storeCalls.KeyedRecord): Promise<void> {
        while (!this.options.isShuttingDown() && !await this.#read()) {
            await timers.setTimeout(retryDelay);
        }
        const announced = this.#announced?.value;
        if (announced === undefined || !Buffer.from(announced).equals(record.value)) {
            await this.#store(jobState.peersTopic, record);
        }
    }

    /** Reads the addresses again, unless that was done just now. */
    async refresh(): Promise<void> {
        if (this.#reading !== undefined || this.options.monotonicNow() - this.#readAt >= readInterval) {
            await this.#read();
        }
    }

    #read(): Promise<boolean> {
        this.#readAt = this.options.monotonicNow();
        this.#reading ??= this.#readTopic().finally(() => this.#reading = undefined);
        return this.#reading;
    }

    /** Returns whether the store answered. */
    async #readTopic(): Promise<boolean> {
        let after: string | undefined;
        for (;;) {
            const page = await this.options.store.readNewest(jobState.peersTopic, after);
            if (page.isErr()) {
                return false;
            }
            for (const { record } of page.value.records) {
                if (record !== undefined) {
                    this.#applyRead(record);
                }
            }
            after = page.value.last;
            if (!page.value.more || after === undefined) {
                return true;
            }
        }
    }

    #applyRead(record: platform.storeCalls.KeyedRecord): void {
        if (jobState.decodeNode(record.key, record.value)?.node === this.options.own.node) {
            this.#announced = record;
        }
        this.apply(record);
    }

    async #store(topic: string, record: platform.storeCalls.KeyedRecord): Promise<void> {
        while (!this.options.isShuttingDown() && (await this.options.store.append(topic, [record])).isErr()) {
            await timers.setTimeout(retryDelay);
        }
    }
}
