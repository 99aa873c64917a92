/** The store in memory: keyed topics that processes share, and one client for each of them. */
import * as eventLog from "@catkinwharf/event-log";
import * as jobState from "@catkinwharf/job-state";
import type * as platform from "@catkinwharf/platform";
import * as storeClient from "@catkinwharf/store";
import * as neverthrow from "neverthrow";
import * as timers from "node:timers/promises";
import type * as virtualTime from "./virtual-time.js";

type Client = storeClient.StoreClient;

/** Time in ms that a call takes, and after which one without a response fails. */
const latency = 4;
const timeout = 900;

export class MemoryLog {
    /** Highest epoch that may append to the ledger; lower ones are refused. */
    ledgerEpoch = 0;
    readonly #topics = new Map<string, platform.storeCalls.KeyedRecord[]>();
    #waiting: (() => void)[] = [];

    append(topic: string, records: readonly platform.storeCalls.KeyedRecord[]): number {
        const stored = this.list(topic);
        stored.push(...records);
        this.#topics.set(topic, stored);
        this.#waiting.splice(0).forEach(wake => wake());
        return stored.length;
    }

    list(topic: string): platform.storeCalls.KeyedRecord[] {
        return this.#topics.get(topic) ?? [];
    }

    /** The newest record of each key, without those that were deleted. */
    listNewest(topic: string): platform.storeCalls.StoredRecord[] {
        const newest = new Map<string, platform.storeCalls.StoredRecord>();
        this.list(topic).forEach((record, offset) => newest.set(record.key, { offset, record }));
        return [...newest.values()].filter(({ record }) => record!.value.length > 0);
    }

    /** Waits for a record, for at most `wait` ms. */
    async waitForRecord(wait: number): Promise<void> {
        const appended = new Promise<void>(resolve => this.#waiting.push(resolve));
        await Promise.race([appended, timers.setTimeout(wait)]);
    }
}

export class MemoryStore extends storeClient.StoreClient {
    constructor(
        private readonly topics: MemoryLog,
        time: virtualTime.VirtualTime,
        private readonly isReachable: () => boolean,
    ) {
        super(
            { send: () => Promise.reject(new Error("not used")) },
            new storeClient.StoreRoutes("store:1"),
            eventLog.silentEventLog,
            () => time.clock.wall(),
        );
    }

    override async append(
        topic: string,
        records: readonly platform.storeCalls.KeyedRecord[],
        conditions: platform.storeCalls.AppendConditions = {},
    ): ReturnType<Client["append"]> {
        return await this.#call(() => {
            if (topic === jobState.ledgerTopic && (conditions.producer?.epoch ?? 0) < this.topics.ledgerEpoch) {
                return { kind: "fenced" as const };
            }
            const end = this.topics.append(topic, records);
            return { kind: "stored" as const, offset: end - records.length, end };
        });
    }

    override async read(topic: string, from: number, wait: number): ReturnType<Client["read"]> {
        if (wait > 0 && this.topics.list(topic).length <= from) {
            await this.topics.waitForRecord(wait);
        }
        return await this.#call(() => {
            const all = this.topics.list(topic);
            const records = all.slice(from).map((record, i) => ({ offset: from + i, record }));
            return { kind: "records" as const, end: all.length, records };
        });
    }

    override async readNewest(topic: string): ReturnType<Client["readNewest"]> {
        return await this.#call(() => ({
            kind: "page" as const,
            records: this.topics.listNewest(topic),
            more: false,
            end: this.topics.list(topic).length,
            last: undefined,
        }));
    }

    async #call<Value>(handle: () => Value): Promise<neverthrow.Result<Value, storeClient.StoreError>> {
        await timers.setTimeout(latency);
        if (!this.isReachable()) {
            await timers.setTimeout(timeout);
            return neverthrow.err({ layer: "store", fault: storeClient.StoreFault.refused, reason: "unreachable" });
        }
        return neverthrow.ok(handle());
    }
}
