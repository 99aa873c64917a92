/**
 * Follows a keyed topic: reads the newest record of each key, then every later record in order.
 *
 * When the store has dropped records that this follower has not read yet, it starts again with the newest records. It
 * never goes back behind what it has read.
 */
import * as eventLog from "@catkinwharf/event-log";
import * as platform from "@catkinwharf/platform";
import * as timers from "node:timers/promises";
import * as storeClient from "./store-client.js";

export interface TopicHandlers {
    /** Called for each record in order of offsets; after a reload, records may come again. */
    readonly apply: (record: platform.storeCalls.KeyedRecord, offset: number) => void;
    /**
     * Called before the newest records are applied, with their keys, so that those that no longer exist can be dropped;
     * with `undefined` if a record can't be read.
     */
    readonly reset?: (keys: ReadonlySet<string> | undefined) => void;
}

export interface FollowerOptions {
    readonly topic: string;
    readonly handlers: TopicHandlers;
    /** Time in ms for which the store may delay a read until there is a record (long polling). */
    readonly wait: number;
    /**
     * Only the newest record of each key matters, so records that a later one of the same read replaces are skipped:
     * in a burst a job's progress is stored several times between two reads.
     */
    readonly newestOnly?: boolean;
    /** Delay in ms after a read that returned records; batches records where latency doesn't matter. */
    readonly pause: () => number;
}

/** Time in ms before a failed read is retried. */
const retryDelay = 150;
/** Attempts to read a page of the newest records before the reload is given up and begins anew. */
const maxPageAttempts = 5;

/** What a follower has read. */
export interface ReadProgress {
    /** Records that were received, also those that weren't applied. */
    readonly records: number;
    /** Time in ms spent on reading the newest records, failed attempts included. */
    readonly loadTime: number;
}

export class TopicFollower {
    #records = 0;
    #loadTime = 0;
    /** Offset of the next record to apply; `undefined` until the newest records have been read. */
    #nextOffset: number | undefined;
    /** Unix time in ms at which this follower was last known to have read the whole topic. */
    caughtUpAt = 0;
    /** The last load of the newest records took so long that there may be many later ones, which haven't been read yet. */
    #lagging = false;
    #running = true;
    #reloading: Promise<boolean> | undefined;
    /** The catch-up that is under way. */
    #catchingUp: Promise<boolean> | undefined;
    /** The catch-up that begins after that one, shared by all calls that came meanwhile. */
    #nextCatchUp: Promise<boolean> | undefined;

    constructor(
        private readonly store: Pick<storeClient.StoreClient, "read" | "readNewest">,
        private readonly options: FollowerOptions,
        private readonly log: eventLog.EventLog,
        private readonly now: () => number,
    ) {}

    get topic(): string {
        return this.options.topic;
    }

    get progress(): ReadProgress {
        return { records: this.#records, loadTime: this.#loadTime };
    }

    get loaded(): boolean {
        return this.#nextOffset !== undefined;
    }

    /** Whether the newest records have been read, and what was stored while that took long. */
    get upToDate(): boolean {
        return this.loaded && !this.#lagging;
    }

    /** Offset of the next record to apply; 0 until the newest records have been read. */
    get nextOffset(): number {
        return this.#nextOffset ?? 0;
    }

    start(): void {
        void this.#follow();
    }

    stop(): void {
        this.#running = false;
    }

    /** Makes the next read start again with the newest records. */
    requestReload(): void {
        this.#nextOffset = undefined;
    }

    /**
     * Reads up to the current end of the topic; false when the store could not be read. Calls share their reads: a
     * process that is behind would otherwise read the same backlog for each of them.
     */
    catchUp(): Promise<boolean> {
        if (this.#catchingUp === undefined) {
            this.#catchingUp = this.#readToEnd().finally(() => this.#catchingUp = undefined);
            return this.#catchingUp;
        }
        // The reads under way may miss records stored after they were sent, so this call needs later ones.
        this.#nextCatchUp ??= this.#catchingUp.catch(() => false).then(() => {
            this.#nextCatchUp = undefined;
            return this.catchUp();
        });
        return this.#nextCatchUp;
    }

    async #readToEnd(): Promise<boolean> {
        if (this.#nextOffset === undefined && !await this.#reload()) {
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
            if (this.#nextOffset === undefined) {
                if (!await this.#reload()) {
                    await timers.setTimeout(retryDelay);
                }
                continue;
            }
            if (this.#catchingUp !== undefined) {
                await this.#catchingUp.catch(() => false); // Reported to the callers of the catch-up.
                continue;
            }
            const previousOffset = this.#nextOffset;
            const outcome = await this.#readOnce(this.#lagging ? 0 : this.options.wait);
            if (outcome === "failed") {
                await timers.setTimeout(retryDelay);
            }
            else if (this.#nextOffset !== previousOffset) {
                const pause = this.options.pause();
                if (pause > 0) {
                    await timers.setTimeout(pause);
                }
            }
        }
    }

    async #readOnce(wait: number): Promise<"more" | "end" | "failed"> {
        const from = this.#nextOffset;
        if (from === undefined) {
            return await this.#reload() ? "more" : "failed";
        }
        const sentAt = this.now();
        const result = await this.store.read(this.options.topic, from, wait);
        if (result.isErr()) {
            return "failed";
        }
        if (result.value.kind === "expired") {
            if (this.#nextOffset !== from) {
                return "more"; // A concurrent read or reload has gone beyond these records.
            }
            this.log.warn("topic-reloaded", { topic: this.options.topic, from });
            return await this.#reload() ? "more" : "failed";
        }
        this.#records += result.value.records.length;
        const newest = this.options.newestOnly === true ? findNewestOffsets(result.value.records) : undefined;
        for (const { offset, record } of result.value.records) {
            if (offset !== this.#nextOffset) {
                continue; // Already applied by a concurrent read, or a reload was requested.
            }
            this.#nextOffset = offset + 1;
            if (record !== undefined && newest !== undefined && newest.get(record.key) !== offset) {
                continue;
            }
            this.#apply(record, offset);
        }
        if (this.#nextOffset !== undefined && this.#nextOffset >= result.value.end) {
            // Records may have taken long to arrive; a response without any is small.
            this.caughtUpAt = result.value.records.length === 0 ? this.now() : sentAt;
            this.#lagging = false;
            return "end";
        }
        return "more";
    }

    /** Applies a record. One that can't be read or applied is skipped: the records after it would never be read. */
    #apply(record: platform.storeCalls.KeyedRecord | undefined, offset: number): void {
        const { topic, handlers } = this.options;
        if (record === undefined) {
            this.log.warn("record-unreadable", { topic, offset });
            return;
        }
        try {
            handlers.apply(record, offset);
        }
        catch (error) {
            const cause = error instanceof Error ? error.stack : String(error);
            this.log.warn("record-failed", { topic, offset, key: record.key, error: cause });
        }
    }

    /** Reads the newest records now, or waits for the read in progress; false when the store could not be read. */
    #reload(): Promise<boolean> {
        const startedAt = this.now();
        this.#reloading ??= this.#readNewest().finally(() => {
            this.#reloading = undefined;
            this.#loadTime += Math.max(0, this.now() - startedAt);
        });
        return this.#reloading;
    }

    /** Reads a page of the newest records, so that one failed call doesn't cost the pages before it. */
    async #readPage(after: string | undefined): Promise<storeClient.NewestResult | undefined> {
        for (let attempt = 1; attempt <= maxPageAttempts; attempt++) {
            const page = await this.store.readNewest(this.options.topic, after);
            if (page.isOk()) {
                return page.value;
            }
            if (after === undefined) {
                return undefined; // Nothing would be lost; the caller decides when to begin again.
            }
            await timers.setTimeout(retryDelay);
        }
        return undefined;
    }

    async #readNewest(): Promise<boolean> {
        const records: platform.storeCalls.StoredRecord[] = [];
        const from = this.#nextOffset;
        let end: number | undefined;
        let after: string | undefined;
        const startedAt = this.now();
        for (;;) {
            const page = await this.#readPage(after);
            if (page === undefined) {
                return false;
            }
            // Records stored after the first page was read are read again by offset, so that none is missed.
            end ??= page.end;
            records.push(...page.records);
            this.#records += page.records.length;
            if (!page.more) {
                break;
            }
            if (page.last === undefined) {
                return false; // Nothing says where the next page begins.
            }
            after = page.last;
        }
        if (this.#nextOffset !== undefined && this.#nextOffset !== from && this.#nextOffset >= end) {
            // A concurrent read has meanwhile applied every record up to `end` and beyond, some newer than these.
            this.log.info("newest-records-dropped", { topic: this.options.topic, end, reached: this.#nextOffset });
            return true;
        }
        this.options.handlers.reset?.(listKeys(records));
        for (const { offset, record } of records.sort((a, b) => a.offset - b.offset)) {
            this.#apply(record, offset);
        }
        this.log.info("newest-records-read", {
            topic: this.options.topic,
            records: records.length,
            end,
            reached: this.#nextOffset,
        });
        this.#nextOffset = end;
        this.caughtUpAt = startedAt;
        this.#lagging = this.now() - startedAt > this.options.wait;
        return true;
    }
}

/** Keys of the records; `undefined` if a record can't be read. */
function listKeys(records: readonly platform.storeCalls.StoredRecord[]): Set<string> | undefined {
    const keys = records.flatMap(({ record }) => record?.key ?? []);
    return keys.length === records.length ? new Set(keys) : undefined;
}

function findNewestOffsets(records: readonly platform.storeCalls.StoredRecord[]): Map<string, number> {
    const newest = new Map<string, number>();
    for (const { offset, record } of records) {
        if (record !== undefined) {
            newest.set(record.key, offset);
        }
    }
    return newest;
}
