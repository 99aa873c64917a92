/**
 * Reads one stream of the log in order and delivers every entry once.
 */
import * as errors from "@catkinwharf/errors";
import type * as logger from "@catkinwharf/logger";
import * as schema from "@catkinwharf/schema";
import * as types from "@catkinwharf/types";
import * as neverthrow from "neverthrow";
import * as answers from "./answers.js";
import * as connection from "./connection.js";
import * as counters from "./counters.js";
import * as endpoints from "./endpoints.js";

/** One entry of a stream. */
export interface LogEntry {
    readonly offset: number;
    /** Platform's wall-clock time in ms since 1970. */
    readonly appendedAt: number;
    readonly body: unknown;
}

/** Where entries came from. */
export type EntrySource = "platform" | "peer";

/** What a stream tells its owner. Entries come in order of offset, and one handler runs at a time. */
export interface StreamHandlers {
    /** Must not throw. */
    onEntries(entries: readonly LogEntry[], source: EntrySource): void;
    /**
     * The next offset is no longer kept. Resolves with the offset to go on from, after the owner loaded a snapshot.
     * Called again after a delay when it rejects, or resolves with an offset below the oldest.
     */
    onGap(oldestOffset: number): Promise<number>;
}

export interface FollowerOptions {
    readonly url: string;
    readonly stream: string;
    readonly limits: schema.settings.LogLimits;
    readonly handlers: StreamHandlers;
    readonly clock: () => number;
    readonly logger: logger.Logger;
    readonly counters: counters.PlatformCounters;
    readonly localAddress?: string;
    /** Called after the handlers for the same entries. */
    onObserved(entries: readonly LogEntry[]): void;
    /** Every entry below the head that a read sent at this time (ms) found has been delivered. */
    onHead(sentAt: number): void;
    /** Delivery goes on at this offset; entries before it were skipped. */
    onSkip(nextOffset: number): void;
}

/** Entries that one read asks for. */
const readLimit = 1000;
/** Least time between two reads that brought nothing, in ms. */
const idleReadMs = 20;
const statusGone = 410;

type ReadOutcome = neverthrow.Result<schema.platform.ReadAnswer, errors.PlatformError>;

/** Reads with long polls until it is stopped. */
export class Follower {
    private position = 0;
    private head: number | undefined;
    private fresh: number | undefined;
    private failures = 0;
    private delivering = false;
    private skipping = false;
    private stopped = false;
    private pollSentAt: number | undefined;
    private headWantedAfter: number | undefined;
    private interrupted = false;
    private wake: (() => void) | undefined;
    private running: Promise<void> = Promise.resolve();
    private readonly reads: connection.Connection;

    constructor(private readonly options: FollowerOptions) {
        this.reads = new connection.Connection({
            url: options.url,
            connectTimeoutMs: options.limits.timeoutMs,
            localAddress: options.localAddress,
            onBytes: (direction, bytes) => options.counters.addBytes?.(direction, bytes),
        });
    }

    get nextOffset(): number {
        return this.position;
    }

    /** Largest head that an answer told; a smaller one comes from a replica that lags. */
    get headOffset(): number | undefined {
        return this.head;
    }

    get freshAt(): number | undefined {
        return this.fresh;
    }

    /** Reads that failed since the last that succeeded. */
    get failedReads(): number {
        return this.failures;
    }

    start(from: number): void {
        this.position = from;
        this.running = this.readUntilStopped();
    }

    /** Asks for a read that begins at `after` (ms) or later, without a long poll. A poll under way is given up. */
    requestHead(after: number): void {
        this.headWantedAfter = after;
        if (this.pollSentAt !== undefined) {
            this.interrupted = true;
            this.reads.reset();
        }
    }

    /** Goes on at a later offset, up to which the owner got its state elsewhere. An earlier one is ignored. */
    moveTo(offset: number): void {
        if (offset > this.position && !this.stopped && !this.delivering) {
            this.position = offset;
            this.options.onSkip(offset);
        }
    }

    offer(entries: readonly LogEntry[]): void {
        const next = entries.filter(entry => entry.offset >= this.position);
        const continues = next.every((entry, index) => entry.offset === this.position + index);
        if (continues && !this.stopped && !this.skipping) {
            this.deliver(next, this.position + next.length, "peer");
        }
    }

    async stop(): Promise<void> {
        this.stopped = true;
        this.wake?.();
        this.reads.reset();
        await this.running;
    }

    private async readUntilStopped(): Promise<void> {
        while (!this.stopped) {
            const waitMs = this.headWantedAfter === undefined ? this.options.limits.longPollMs : 0;
            const delayMs = await this.readOnce(waitMs);
            if (delayMs > 0 && !this.stopped) {
                await this.pause(delayMs);
            }
        }
    }

    /** Makes one read and returns the delay in ms before the next. */
    private async readOnce(waitMs: number): Promise<number> {
        const sentAt = this.options.clock();
        const from = this.position;
        this.pollSentAt = waitMs > 0 ? sentAt : undefined;
        const outcome = await this.reads.ask({
            method: "GET",
            path: endpoints.formatReadPath({ stream: this.options.stream, from, waitMs, limit: readLimit }),
            timeoutMs: waitMs + this.options.limits.timeoutMs,
        });
        this.pollSentAt = undefined;
        const wasInterrupted = this.interrupted;
        this.interrupted = false;
        if (this.stopped || (wasInterrupted && outcome.isErr())) {
            return 0;
        }
        const taken = outcome.isOk() ? await this.takeAnswer(outcome.value, from, sentAt) : outcome;
        return taken.isOk() ? this.takeSuccess(sentAt, from) : this.takeFailure(taken.error);
    }

    private takeSuccess(sentAt: number, from: number): number {
        this.failures = 0;
        const elapsed = this.options.clock() - sentAt;
        return this.position > from ? 0 : Math.max(0, idleReadMs - elapsed);
    }

    private takeFailure(error: errors.PlatformError): number {
        this.failures += 1;
        this.options.counters.count(counters.CounterName.readRetry, error.fault);
        if (this.failures === 1) {
            this.options.logger.warn(`read of ${this.options.stream} failed: ${error.fault}, ${error.reason}`);
        }
        return types.computeBackoff(this.failures, Math.random());
    }

    private async takeAnswer(
        answer: connection.Answer,
        from: number,
        sentAt: number,
    ): Promise<neverthrow.Result<void, errors.PlatformError>> {
        if (answer.status === statusGone) {
            const oldest = answers.readOldestOffset(answer);
            return oldest === undefined ? malformed("status 410 without oldestOffset") : this.skipTo(oldest);
        }
        const message = checkOrder(answers.readMessage(answer, schema.validators.platformReadAnswer), from);
        if (message.isErr()) {
            return neverthrow.err(message.error);
        }
        if (message.value.oldestOffset > this.position) {
            return this.skipTo(message.value.oldestOffset);
        }
        this.takeEntries(message.value, sentAt);
        return neverthrow.ok();
    }

    private takeEntries(message: schema.platform.ReadAnswer, sentAt: number): void {
        const next = message.entries.filter(entry => entry.offset >= this.position);
        this.head = Math.max(this.head ?? 0, message.headOffset);
        this.deliver(next, Math.max(this.position, message.nextOffset), "platform");
        if (this.position < this.head) {
            return;
        }
        this.fresh = sentAt;
        if (this.headWantedAfter !== undefined && sentAt >= this.headWantedAfter) {
            this.headWantedAfter = undefined;
        }
        this.options.onHead(sentAt);
    }

    private deliver(entries: readonly LogEntry[], nextOffset: number, source: EntrySource): void {
        if (this.delivering) {
            return;
        }
        this.position = nextOffset;
        if (entries.length === 0) {
            return;
        }
        this.delivering = true;
        try {
            this.options.handlers.onEntries(entries, source);
            this.options.onObserved(entries);
        }
        finally {
            this.delivering = false;
        }
    }

    private async skipTo(oldestOffset: number): Promise<neverthrow.Result<void, errors.PlatformError>> {
        this.skipping = true;
        const next = await this.options.handlers.onGap(oldestOffset).catch(() => this.position);
        this.skipping = false;
        if (next < oldestOffset) {
            const reason = `offset ${next} is not kept; the oldest is ${oldestOffset}`;
            return neverthrow.err({ layer: "platform", fault: errors.PlatformFault.notRetained, reason });
        }
        this.position = next;
        this.options.onSkip(next);
        return neverthrow.ok();
    }

    private pause(delayMs: number): Promise<void> {
        return new Promise(resolve => {
            const timer = setTimeout(resolve, delayMs);
            this.wake = () => {
                clearTimeout(timer);
                resolve();
            };
        });
    }
}

function malformed(reason: string): neverthrow.Result<never, errors.PlatformError> {
    return neverthrow.err({ layer: "platform", fault: errors.PlatformFault.malformed, reason });
}

/** Refuses an answer whose entries don't rise from `from`, or whose offsets contradict each other. */
function checkOrder(outcome: ReadOutcome, from: number): ReadOutcome {
    return outcome.andThen(answer => {
        let next = from;
        for (const entry of answer.entries) {
            if (entry.offset < next) {
                return malformed(`offset ${entry.offset} where ${next} or later belongs`);
            }
            next = entry.offset + 1;
        }
        if (answer.nextOffset < next || answer.headOffset < answer.nextOffset) {
            return malformed(`next offset ${answer.nextOffset}, head ${answer.headOffset} after offset ${next - 1}`);
        }
        return neverthrow.ok(answer);
    });
}
