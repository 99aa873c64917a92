/**
 * Follows a keyed topic: the newest record of each key first, then every record in order.
 *
 * When the store has dropped records that weren't read yet, the newest records are read again.
 */
import * as eventLog from "@catkinwharf/event-log";
import * as platform from "@catkinwharf/platform";
import * as timers from "node:timers/promises";
import * as client from "./store-client.js";

export interface TopicHandlers {
    /** A record, in order of offsets; the same one may come again after a reload. */
    readonly apply: (record: platform.storeCalls.KeyedRecord, offset: number) => void;
    /** Called once before the newest records are read again, so that keys that are gone can be dropped. */
    readonly reset?: () => void;
}

export interface FollowerOptions {
    readonly topic: string;
    readonly handlers: TopicHandlers;
    /** Time in ms for which a read waits at the store for a record. */
    readonly wait: number;
    /** Time in ms between a read that brought records and the next one; gathers records where nobody waits. */
    readonly pause: () => number;
}

/** Time in ms between two tries while the store can't be used. */
const retryDelay = 150;

export class TopicFollower {
    /** Offset of the next record; `undefined` until the newest records have been read. */
    #next: number | undefined;
    /** Unix time in ms at which the end of the topic was last seen. */
    currentAt = 0;
    #running = true;
    #reloading: Promise<boolean> | undefined;

    constructor(
        private readonly store: Pick<client.StoreClient, "read" | "readNewest">,
        private readonly options: FollowerOptions,
        private readonly log: eventLog.EventLog,
        private readonly now: () => number,
    ) {}

    get loaded(): boolean {
        return this.#next !== undefined;
    }

    /** End of the topic as far as this process has applied it. */
    get end(): number {
        return this.#next ?? 0;
    }

    start(): void {
        void this.#follow();
    }

    stop(): void {
        this.#running = false;
    }

    /** Reads the newest records again before anything else. */
    reload(): void {
        this.#next = undefined;
    }

    /** Reads up to the present end of the topic; false when the store couldn't be asked. */
    async catchUp(): Promise<boolean> {
        if (this.#next === undefined && !await this.#reload()) {
            return false;
        }
        for (;;) {
            const outcome = await this.#readOnce(0);
            if (outcome === "failed") {
                return false;
            }
            if (outcome === "end") {
                return true;
            }
        }
    }

    async #follow(): Promise<void> {
        while (this.#running) {
            if (this.#next === undefined) {
                if (!await this.#reload()) {
                    await timers.setTimeout(retryDelay);
                }
                continue;
            }
            const before = this.#next;
            const outcome = await this.#readOnce(this.options.wait);
            if (outcome === "failed") {
                await timers.setTimeout(retryDelay);
            }
            else if (this.#next !== before) {
                const pause = this.options.pause();
                if (pause > 0) {
                    await timers.setTimeout(pause);
                }
            }
        }
    }

    async #readOnce(wait: number): Promise<"more" | "end" | "failed"> {
        const from = this.#next;
        if (from === undefined) {
            return await this.#reload() ? "more" : "failed";
        }
        const answer = await this.store.read(this.options.topic, from, wait);
        if (answer.isErr()) {
            return "failed";
        }
        if (answer.value.kind === "expired") {
            this.log.warn("topic-reloaded", { topic: this.options.topic, from });
            return await this.#reload() ? "more" : "failed";
        }
        for (const { offset, record } of answer.value.records) {
            if (offset !== this.#next) {
                continue; // Another read has applied it.
            }
            this.#next = offset + 1;
            if (record === undefined) {
                this.log.warn("record-unreadable", { topic: this.options.topic, offset });
                continue;
            }
            this.options.handlers.apply(record, offset);
        }
        if (this.#next !== undefined && this.#next >= answer.value.end) {
            this.currentAt = this.now();
            return "end";
        }
        return "more";
    }

    #reload(): Promise<boolean> {
        this.#reloading ??= this.#readNewest().finally(() => this.#reloading = undefined);
        return this.#reloading;
    }

    async #readNewest(): Promise<boolean> {
        const gathered: platform.storeCalls.StoredRecord[] = [];
        let end: number | undefined;
        let after: string | undefined;
        const askedAt = this.now();
        for (;;) {
            const page = await this.store.readNewest(this.options.topic, after);
            if (page.isErr()) {
                return false;
            }
            end ??= page.value.end;
            gathered.push(...page.value.records);
            if (!page.value.more || page.value.last === undefined) {
                break;
            }
            after = page.value.last;
        }
        this.options.handlers.reset?.();
        for (const { offset, record } of gathered.sort((a, b) => a.offset - b.offset)) {
            if (record === undefined) {
                this.log.warn("record-unreadable", { topic: this.options.topic, offset });
            }
            else {
                this.options.handlers.apply(record, offset);
            }
        }
        this.#next = end;
        this.currentAt = askedAt;
        return true;
    }
}
