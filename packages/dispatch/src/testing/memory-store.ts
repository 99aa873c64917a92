/** The store in memory: keyed topics that processes share, and one client for each of them. */
import * as eventLog from "@catkinwharf/event-log";
import type * as platform from "@catkinwharf/platform";
import * as storeClient from "@catkinwharf/store";
import * as neverthrow from "neverthrow";
import * as timers from "node:timers/promises";
import type * as virtualTime from "./virtual-time.js";

type Client = storeClient.StoreClient;

/** An append as it reaches the store. */
export interface Append {
    readonly topic: string;
    readonly records: readonly platform.storeCalls.KeyedRecord[];
    readonly conditions: platform.storeCalls.AppendConditions;
}

/** Appends of the producer's epoch to one topic; the answers are kept for repeats. */
interface Producer {
    readonly epoch: number;
    sequence: number;
    readonly answers: Map<number, storeClient.AppendResult>;
}

/** Time in ms that a call takes, and after which one without a response fails. */
const latency = 4;
const timeout = 900;
/** Number of a producer's last appends whose repeats get the first answer again. */
const keptAnswers = 5;

export class MemoryLog {
    readonly #topics = new Map<string, platform.storeCalls.KeyedRecord[]>();
    readonly #producers = new Map<string, Producer>();
    #waiting: (() => void)[] = [];
    /** Appends that were stored, and the bytes of their records' keys and values. */
    readonly stored = { appends: 0, bytes: 0 };
    /** Whether the store doesn't answer an append; a test calls `carryOut` to have it carried out late. */
    holdsAppend: (append: Append, carryOut: () => void) => boolean = () => false;

    append(
        topic: string,
        records: readonly platform.storeCalls.KeyedRecord[],
        conditions: platform.storeCalls.AppendConditions = {},
    ): storeClient.AppendResult {
        const stored = this.list(topic);
        const { end, producer } = conditions;
        const known = this.#producers.get(topic);
        if (producer !== undefined && known !== undefined && producer.epoch <= known.epoch) {
            const repeated = known.answers.get(producer.sequence);
            if (producer.epoch < known.epoch) {
                return { kind: "fenced" };
            }
            if (repeated !== undefined) {
                return repeated;
            }
            if (producer.sequence !== known.sequence + 1) {
                return { kind: "sequence", expected: known.sequence + 1 };
            }
        }
        if (end !== undefined && end !== stored.length) {
            return { kind: "moved", end: stored.length };
        }
        const answer = { kind: "stored" as const, offset: stored.length, end: stored.length + records.length };
        if (producer !== undefined) {
            this.#recordAppend(topic, producer, answer);
        }
        stored.push(...records);
        this.stored.appends += 1;
        this.stored.bytes += records.reduce((sum, { key, value }) => sum + key.length + value.length, 0);
        this.#topics.set(topic, stored);
        this.#waiting.splice(0).forEach(wake => wake());
        return answer;
    }

    #recordAppend(
        topic: string,
        { epoch, sequence }: NonNullable<platform.storeCalls.AppendConditions["producer"]>,
        answer: storeClient.AppendResult,
    ): void {
        const known = this.#producers.get(topic);
        const producer = known?.epoch === epoch ? known : { epoch, sequence, answers: new Map() };
        producer.sequence = sequence;
        producer.answers.set(sequence, answer);
        producer.answers.delete(sequence - keptAnswers);
        this.#producers.set(topic, producer);
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
        const carryOut = () => this.topics.append(topic, records, conditions);
        if (this.topics.holdsAppend({ topic, records, conditions }, carryOut)) {
            await timers.setTimeout(timeout);
            return neverthrow.err({ layer: "store", fault: storeClient.StoreFault.unknown, reason: "timed out" });
        }
        return await this.#call(carryOut);
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
