/**
 * Follows one stream of the log and appends to it.
 *
 * Reads long-poll on a connection of their own; appends use another, one at a time. What to append and when is decided
 * by `AppendQueue`; this module makes the calls and sets the timers.
 */
import type * as errors from "@catkinwharf/errors";
import * as logger from "@catkinwharf/logger";
import type * as schema from "@catkinwharf/schema";
import * as types from "@catkinwharf/types";
import type * as neverthrow from "neverthrow";
import * as appendQueue from "./append-queue.js";
import * as appendVerdict from "./append-verdict.js";
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
    /** Source IP number. */
    readonly localAddress?: string;
}

/** Failed reads in a row after which the log counts as out of reach; one may be a connection that had gone stale. */
const outOfReachReads = 2;

/** One stream of the log, as this process reads and writes it. */
export class Stream {
    private readonly queue: appendQueue.AppendQueue;
    private readonly appends: connection.Connection;
    private readonly follower: follower.Follower;
    private failures = 0;
    private timer: NodeJS.Timeout | undefined;
    private stopped = false;

    constructor(private readonly options: StreamOptions) {
        this.queue = new appendQueue.AppendQueue(options.limits);
        this.appends = new connection.Connection({
            url: options.url,
            connectTimeoutMs: options.limits.timeoutMs,
            localAddress: options.localAddress,
            onBytes: (direction, bytes) => options.counters.addBytes?.(direction, bytes),
        });
        this.follower = new follower.Follower({
            ...options,
            onObserved: entries => this.takeEntries(entries),
            onHead: sentAt => this.takeHead(sentAt),
            onSkip: nextOffset => this.queue.observeSkip(nextOffset),
        });
    }

    /** Next offset to be delivered. */
    get nextOffset(): number {
        return this.follower.nextOffset;
    }

    /** Largest head offset that the platform told; undefined before the first answer. */
    get headOffset(): number | undefined {
        return this.follower.headOffset;
    }

    /** Clock time (ms) at which the newest read that reached the head was sent; undefined before one did. */
    get freshAt(): number | undefined {
        return this.follower.freshAt;
    }

    /** Whether the newest reads failed one after the other, so that an append could not be read back now. */
    get isOutOfReach(): boolean {
        return this.follower.failedReads >= outOfReachReads;
    }

    /** Starts following at this offset. */
    start(from: number): void {
        this.follower.start(from);
    }

    /**
     * Appends a record and resolves with its offset once this follower has read it back and delivered it.
     *
     * Errors: `backlog-full` at once; `refused` if the platform refuses the content; `unanswered` if the deadline
     * passed and the record may be in the log, now or later; `unreachable` if it passed and the record was never sent
     * and never will be.
     *
     * @param deadline clock time in ms
     */
    append(record: appendQueue.AppendRecord, deadline: number): Promise<appendQueue.AppendOutcome> {
        return new Promise(resolve => {
            this.queue.add(record, deadline, this.options.clock(), outcome => {
                this.countOutcome(outcome);
                resolve(outcome);
            });
            if (this.stopped) {
                this.queue.failAll("the stream is stopped");
            }
            this.continueAppends();
        });
    }

    /** Goes on at a later offset, up to which the owner got its state elsewhere; an earlier one is ignored. */
    moveTo(offset: number): void {
        this.follower.moveTo(offset);
    }

    /** Delivers entries got from a peer, when they continue exactly at `nextOffset`; others are ignored. */
    offer(entries: readonly schema.platform.LogEntry[]): void {
        this.follower.offer(entries);
    }

    /** Stops reading and appending; records that wait get an error. */
    async stop(): Promise<void> {
        this.stopped = true;
        clearTimeout(this.timer);
        this.queue.failAll("the stream is stopped");
        this.appends.reset();
        await this.follower.stop();
    }

    private continueAppends(): void {
        clearTimeout(this.timer);
        if (this.stopped) {
            return;
        }
        const now = this.options.clock();
        const batch = this.queue.takeBatch(now);
        if (batch.length > 0) {
            void this.sendBatch(batch);
        }
        const wake = this.queue.computeNextWake(now);
        if (wake !== undefined) {
            this.timer = setTimeout(() => this.continueAppends(), Math.max(0, Math.ceil(wake - now)));
        }
    }

    private async sendBatch(batch: readonly appendQueue.AppendRecord[]): Promise<void> {
        const outcome = await this.appends.ask({
            method: "POST",
            path: endpoints.formatAppendPath(this.options.stream),
            body: { entries: [...batch] } satisfies schema.platform.AppendRequest,
            timeoutMs: this.options.limits.timeoutMs,
        });
        const verdict = appendVerdict.judgeAppend(outcome, batch.length);
        this.verdictHandlers[verdict.effect](verdict as never);
        this.continueAppends();
    }

    /** What follows from each verdict. */
    private readonly verdictHandlers: {
        readonly [Effect in appendVerdict.AppendVerdict["effect"]]: (
            verdict: Extract<appendVerdict.AppendVerdict, { effect: Effect; }>,
        ) => void;
    } = {
        appended: verdict => {
            this.failures = 0;
            this.queue.markAnswered(verdict.firstOffset);
        },
        none: verdict => {
            const delay = this.countFailure(verdict.reason);
            this.queue.markWithoutEffect(this.options.clock() + Math.max(verdict.retryAfterMs ?? 0, delay));
        },
        refused: verdict => {
            this.options.logger.warn(`append to ${this.options.stream} refused: ${verdict.reason}`);
            this.queue.markRefused(verdict.reason);
        },
        unknown: verdict => {
            const delay = this.countFailure(verdict.reason);
            const now = this.options.clock();
            this.queue.markUnknown(now, now + delay);
            this.follower.requestHead(now);
        },
    };

    private countFailure(reason: string): number {
        this.failures += 1;
        this.options.counters.count(counters.CounterName.appendRetry, reason);
        return types.computeBackoff(this.failures, Math.random());
    }

    private countOutcome(outcome: neverthrow.Result<number, errors.PlatformError>): void {
        if (outcome.isErr()) {
            this.options.counters.count(counters.CounterName.appendFailed, outcome.error.fault);
        }
    }

    /** The entries may settle the last record whose append is unknown, for which queued records wait. */
    private takeEntries(entries: readonly follower.LogEntry[]): void {
        this.queue.observeEntries(entries);
        this.continueAppends();
    }

    private takeHead(sentAt: number): void {
        if (this.queue.observeHead(sentAt) > 0) {
            this.continueAppends();
        }
    }
}
