/**
 * Reads one stream of the log in order and delivers every entry once.
 */
import * as errors from "@catkinwharf/errors";
import type * as logger from "@catkinwharf/logger";
import * as schema from "@catkinwharf/schema";
import * as types from "@catkinwharf/types";
import * as neverthrow from "neverthrow";
import * as connection from "./connection.js";
import * as counters from "./counters.js";
import * as endpoints from "./endpoints.js";
import * as responses from "./responses.js";

/** One entry of a stream. */
export interface LogEntry {
    readonly offset: number;
    /** Wall-clock time of the platform, in ms since 1970. */
    readonly appendedAt: number;
    readonly body: unknown;
}

/** Where entries were read from. */
export type EntrySource = "platform" | "peer";

/** Handlers of a stream's owner. Entries are delivered in order of offset, and one handler runs at a time. */
export interface StreamHandlers {
    /** Must not throw. */
    onEntries(entries: readonly LogEntry[], source: EntrySource): void;
    /**
     * Called when the next offset is no longer kept. Resolves with the offset to continue from, after the owner has
     * loaded a snapshot. Called again after a delay if it rejects or resolves with an offset below the oldest.
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
    onDelivered(entries: readonly LogEntry[]): void;
    /** Called when every entry up to the head that was found by a read sent at this time (ms) has been delivered. */
    onHeadReached(sentAt: number): void;
    /** Called when the entries before this offset were skipped; delivery continues there. */
    onSkip(nextOffset: number): void;
}

/** Maximum number of entries of one read. */
const maxEntriesPerRead = 1000;
/** Minimum time between sending a read that returns no entries and sending the next read, in ms. */
const minEmptyReadIntervalMs = 20;
const statusGone = 410;

type ReadOutcome = neverthrow.Result<schema.platform.ReadAnswer, errors.PlatformError>;

/** Reads the stream by long polling until it is stopped. */
export class Follower {
    private position = 0;
    private largestHeadOffset: number | undefined;
    private lastCaughtUpAt: number | undefined;
    private consecutiveFailures = 0;
    private delivering = false;
    private handlingGap = false;
    private stopped = false;
    private longPollSentAt: number | undefined;
    private headReadAfter: number | undefined;
    private longPollAborted = false;
    private endPause: (() => void) | undefined;
    private readLoop: Promise<void> = Promise.resolve();
    private readonly connection: connection.Connection;

    constructor(private readonly options: FollowerOptions) {
        this.connection = new connection.Connection({
            url: options.url,
            connectTimeoutMs: options.limits.timeoutMs,
            localAddress: options.localAddress,
            onBytes: (direction, bytes) => options.counters.addBytes?.(direction, bytes),
        });
    }

    get nextOffset(): number {
        return this.position;
    }

    /** Largest head offset in any response so far; a smaller one comes from a lagging replica. */
    get headOffset(): number | undefined {
        return this.largestHeadOffset;
    }

    get caughtUpAt(): number | undefined {
        return this.lastCaughtUpAt;
    }

    /** Number of failed reads since the last successful one. */
    get failedReads(): number {
        return this.consecutiveFailures;
    }

    start(from: number): void {
        this.position = from;
        this.readLoop = this.readUntilStopped();
    }

    /** Requests reads without long polling until one that was sent at `after` (ms) or later reaches the head. */
    requestHeadRead(after: number): void {
        this.headReadAfter = after;
        // A long poll in progress is aborted, since it was sent too early and can take its whole waiting time.
        if (this.longPollSentAt !== undefined) {
            this.longPollAborted = true;
            this.connection.reset();
        }
    }

    /** Continues at a later offset, up to which the owner got its state from elsewhere; an earlier one is ignored. */
    skipTo(offset: number): void {
        if (offset > this.position && !this.stopped && !this.delivering) {
            this.position = offset;
            this.options.onSkip(offset);
        }
    }

    deliverPeerEntries(entries: readonly LogEntry[]): void {
        const next = entries.filter(entry => entry.offset >= this.position);
        const continues = next.every((entry, index) => entry.offset === this.position + index);
        if (continues && !this.stopped && !this.handlingGap) {
            this.deliver(next, this.position + next.length, "peer");
        }
    }

    async stop(): Promise<void> {
        this.stopped = true;
        this.endPause?.();
        this.connection.reset();
        await this.readLoop;
    }

    private async readUntilStopped(): Promise<void> {
        while (!this.stopped) {
            const waitMs = this.headReadAfter === undefined ? this.options.limits.longPollMs : 0;
            const delayMs = await this.readOnce(waitMs);
            if (delayMs > 0 && !this.stopped) {
                await this.pause(delayMs);
            }
        }
    }

    /** Sends one read and returns the delay (ms) before the next. */
    private async readOnce(waitMs: number): Promise<number> {
        const sentAt = this.options.clock();
        const from = this.position;
        this.longPollSentAt = waitMs > 0 ? sentAt : undefined;
        const outcome = await this.connection.send({
            method: "GET",
            path: endpoints.formatReadPath({ stream: this.options.stream, from, waitMs, limit: maxEntriesPerRead }),
            timeoutMs: waitMs + this.options.limits.timeoutMs,
        });
        this.longPollSentAt = undefined;
        const wasAborted = this.longPollAborted;
        this.longPollAborted = false;
        if (this.stopped || (wasAborted && outcome.isErr())) {
            return 0;
        }
        const handled = outcome.isOk() ? await this.handleResponse(outcome.value, from, sentAt) : outcome;
        return handled.isOk() ? this.handleSuccess(sentAt, from) : this.handleFailure(handled.error);
    }

    /** Returns the delay (ms) before the next read. */
    private handleSuccess(sentAt: number, from: number): number {
        this.consecutiveFailures = 0;
        const elapsed = this.options.clock() - sentAt;
        return this.position > from ? 0 : Math.max(0, minEmptyReadIntervalMs - elapsed);
    }

    /** Returns the delay (ms) before the next read. */
    private handleFailure(error: errors.PlatformError): number {
        this.consecutiveFailures += 1;
        this.options.counters.count(counters.CounterName.readRetry, error.fault);
        if (this.consecutiveFailures === 1) {
            this.options.logger.warn(`read of ${this.options.stream} failed: ${error.fault}, ${error.reason}`);
        }
        return types.computeBackoff(this.consecutiveFailures, Math.random());
    }

    private async handleResponse(
        response: connection.HttpResponse,
        from: number,
        sentAt: number,
    ): Promise<neverthrow.Result<void, errors.PlatformError>> {
        if (response.status === statusGone) {
            const oldest = responses.parseOldestOffset(response);
            return oldest === undefined
                ? createMalformedError("status 410 without oldestOffset")
                : this.handleGap(oldest);
        }
        const message = validateOffsets(responses.parseMessage(response, schema.validators.platformReadAnswer), from);
        if (message.isErr()) {
            return neverthrow.err(message.error);
        }
        if (message.value.oldestOffset > this.position) {
            return this.handleGap(message.value.oldestOffset);
        }
        this.handleEntries(message.value, sentAt);
        return neverthrow.ok();
    }

    private handleEntries(message: schema.platform.ReadAnswer, sentAt: number): void {
        const next = message.entries.filter(entry => entry.offset >= this.position);
        this.largestHeadOffset = Math.max(this.largestHeadOffset ?? 0, message.headOffset);
        this.deliver(next, Math.max(this.position, message.nextOffset), "platform");
        if (this.position < this.largestHeadOffset) {
            return;
        }
        this.lastCaughtUpAt = sentAt;
        if (this.headReadAfter !== undefined && sentAt >= this.headReadAfter) {
            this.headReadAfter = undefined;
        }
        this.options.onHeadReached(sentAt);
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
            this.options.onDelivered(entries);
        }
        finally {
            this.delivering = false;
        }
    }

    private async handleGap(oldestOffset: number): Promise<neverthrow.Result<void, errors.PlatformError>> {
        this.handlingGap = true;
        const next = await this.options.handlers.onGap(oldestOffset).catch(() => this.position);
        this.handlingGap = false;
        if (next < oldestOffset) {
            const reason = `offset ${next} is no longer kept; the oldest offset is ${oldestOffset}`;
            return neverthrow.err({ layer: "platform", fault: errors.PlatformFault.notRetained, reason });
        }
        this.position = next;
        this.options.onSkip(next);
        return neverthrow.ok();
    }

    private pause(delayMs: number): Promise<void> {
        return new Promise(resolve => {
            const timer = setTimeout(resolve, delayMs);
            this.endPause = () => {
                clearTimeout(timer);
                resolve();
            };
        });
    }
}

function createMalformedError(reason: string): neverthrow.Result<never, errors.PlatformError> {
    return neverthrow.err({ layer: "platform", fault: errors.PlatformFault.malformed, reason });
}

/** Rejects a response whose entries aren't in ascending order from `from`, or whose offsets are inconsistent. */
function validateOffsets(outcome: ReadOutcome, from: number): ReadOutcome {
    return outcome.andThen(response => {
        let next = from;
        for (const entry of response.entries) {
            if (entry.offset < next) {
                return createMalformedError(`entry has offset ${entry.offset}, expected ${next} or higher`);
            }
            next = entry.offset + 1;
        }
        if (response.nextOffset < next || response.headOffset < response.nextOffset) {
            return createMalformedError(
                `nextOffset ${response.nextOffset} and headOffset ${response.headOffset} violate ${
                    next - 1
                } < nextOffset <= headOffset`,
            );
        }
        return neverthrow.ok(response);
    });
}
