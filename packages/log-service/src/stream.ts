/**
 * Follows one stream of the log and appends records to it.
 *
 * Reads are long polls on one connection; appends use another connection, one at a time. `AppendQueue` decides what to
 * append and when; this module sends the requests and sets the timers.
 */
import type * as errors from "@catkinwharf/errors";
import * as logger from "@catkinwharf/logger";
import type * as schema from "@catkinwharf/schema";
import * as types from "@catkinwharf/types";
import type * as neverthrow from "neverthrow";
import * as appendQueue from "./append-queue.js";
import * as appendResult from "./append-result.js";
import * as connection from "./connection.js";
import * as counters from "./counters.js";
import * as endpoints from "./endpoints.js";
import * as follower from "./follower.js";

export interface StreamOptions {
    /** URL of the log service. */
    readonly url: string;
    /** Name of the stream. */
    readonly stream: string;
    readonly limits: schema.settings.LogLimits;
    readonly handlers: follower.StreamHandlers;
    /** Monotonic clock, in ms. */
    readonly clock: () => number;
    readonly logger: logger.Logger;
    readonly counters: counters.PlatformCounters;
    /** Source IP address. */
    readonly localAddress?: string;
}

/** Consecutive failed reads after which the log counts as unreachable; a stale connection can cause a single one. */
const unreachableAfterFailedReads = 2;

/** Client of one stream of the log. */
export class Stream {
    private readonly queue: appendQueue.AppendQueue;
    private readonly appendConnection: connection.Connection;
    private readonly follower: follower.Follower;
    private failedAppends = 0;
    private appendTimer: NodeJS.Timeout | undefined;
    private stopped = false;

    constructor(private readonly options: StreamOptions) {
        this.queue = new appendQueue.AppendQueue(options.limits);
        this.appendConnection = new connection.Connection({
            url: options.url,
            connectTimeoutMs: options.limits.timeoutMs,
            localAddress: options.localAddress,
            onBytes: (direction, bytes) => options.counters.addBytes?.(direction, bytes),
        });
        this.follower = new follower.Follower({
            ...options,
            onDelivered: entries => this.handleEntries(entries),
            onHeadReached: sentAt => this.handleHeadReached(sentAt),
            onSkip: nextOffset => this.queue.observeSkip(nextOffset),
        });
    }

    /** Offset of the next entry to be delivered. */
    get nextOffset(): number {
        return this.follower.nextOffset;
    }

    /** Largest head offset in any response so far; undefined before the first response. */
    get headOffset(): number | undefined {
        return this.follower.headOffset;
    }

    /** Clock time (ms) at which the latest read that reached the head was sent; undefined before such a read. */
    get caughtUpAt(): number | undefined {
        return this.follower.caughtUpAt;
    }

    /** Whether the most recent reads failed, so that an append could not be read back now. */
    get isUnreachable(): boolean {
        return this.follower.failedReads >= unreachableAfterFailedReads;
    }

    /** Starts reading at this offset. */
    start(from: number): void {
        this.follower.start(from);
    }

    /**
     * Appends a record and resolves with its offset once it has been read back and delivered.
     *
     * Errors: `backlog-full` at once; `refused` if the platform rejects the content or the id is already queued;
     * `unanswered` if the record may be in the log, now or later, because the outcome was unknown at the deadline or
     * entries that may include the record were skipped; `unreachable` if the record was not appended by the deadline
     * and will not be appended afterwards.
     *
     * @param deadline clock time in ms
     */
    append(record: appendQueue.AppendRecord, deadline: number): Promise<appendQueue.AppendOutcome> {
        return new Promise(resolve => {
            this.queue.add(record, deadline, this.options.clock(), outcome => {
                this.countError(outcome);
                resolve(outcome);
            });
            if (this.stopped) {
                this.queue.failAll("the stream is stopped");
            }
            this.sendDueBatch();
        });
    }

    /** Continues at a later offset, up to which the owner got its state from elsewhere; an earlier one is ignored. */
    skipTo(offset: number): void {
        this.follower.skipTo(offset);
    }

    /**
     * Delivers entries from a peer. Those before `nextOffset` are dropped, and all are ignored if the others don't
     * continue exactly at `nextOffset`.
     */
    deliverPeerEntries(entries: readonly schema.platform.LogEntry[]): void {
        this.follower.deliverPeerEntries(entries);
    }

    /** Stops reading and appending; pending records fail. */
    async stop(): Promise<void> {
        this.stopped = true;
        clearTimeout(this.appendTimer);
        this.queue.failAll("the stream is stopped");
        this.appendConnection.reset();
        await this.follower.stop();
    }

    /** Sends the next batch if it is due, and sets the timer for the one after it. */
    private sendDueBatch(): void {
        clearTimeout(this.appendTimer);
        if (this.stopped) {
            return;
        }
        const now = this.options.clock();
        const batch = this.queue.takeBatch(now);
        if (batch.length > 0) {
            void this.sendBatch(batch);
        }
        const wake = this.queue.computeNextWakeTime(now);
        if (wake !== undefined) {
            this.appendTimer = setTimeout(() => this.sendDueBatch(), Math.max(0, Math.ceil(wake - now)));
        }
    }

    private async sendBatch(batch: readonly appendQueue.AppendRecord[]): Promise<void> {
        const outcome = await this.appendConnection.send({
            method: "POST",
            path: endpoints.formatAppendPath(this.options.stream),
            body: { entries: [...batch] } satisfies schema.platform.AppendRequest,
            timeoutMs: this.options.limits.timeoutMs,
        });
        const result = appendResult.classifyAppend(outcome, batch.length);
        this.resultHandlers[result.effect](result as never);
        this.sendDueBatch();
    }

    /** Handlers of the append results, by effect. */
    private readonly resultHandlers: {
        readonly [Effect in appendResult.AppendResult["effect"]]: (
            result: Extract<appendResult.AppendResult, { effect: Effect; }>,
        ) => void;
    } = {
        appended: result => {
            this.failedAppends = 0;
            this.queue.markAppended(result.firstOffset);
        },
        none: result => {
            const delay = this.recordFailedAppend(result.reason);
            this.queue.markNotAppended(this.options.clock() + Math.max(result.retryAfterMs ?? 0, delay));
        },
        refused: result => {
            this.options.logger.warn(`append to ${this.options.stream} refused: ${result.reason}`);
            this.queue.markRefused(result.reason);
        },
        unknown: result => {
            const delay = this.recordFailedAppend(result.reason);
            const now = this.options.clock();
            this.queue.markUnresolved(now, now + delay);
            this.follower.requestHeadRead(now);
        },
    };

    /** Counts a failed append and returns the delay (ms) before the next one. */
    private recordFailedAppend(reason: string): number {
        this.failedAppends += 1;
        this.options.counters.count(counters.CounterName.appendRetry, reason);
        return types.computeBackoff(this.failedAppends, Math.random());
    }

    private countError(outcome: neverthrow.Result<number, errors.PlatformError>): void {
        if (outcome.isErr()) {
            this.options.counters.count(counters.CounterName.appendFailed, outcome.error.fault);
        }
    }

    /** The entries may settle the last unresolved record, which blocks the queued ones. */
    private handleEntries(entries: readonly follower.LogEntry[]): void {
        this.queue.observeEntries(entries);
        this.sendDueBatch();
    }

    private handleHeadReached(sentAt: number): void {
        if (this.queue.observeHead(sentAt) > 0) {
            this.sendDueBatch();
        }
    }
}
