/**
 * Decides when records are appended, and when a record may be appended again. It does no I/O and reads no clock.
 *
 * A record is queued, in flight, unresolved (its append may have taken effect, but got no usable response), or appended
 * and waiting to be read back. At most one append is in flight, and none starts while a record is unresolved, so that
 * records keep their order. An unresolved record is queued again only after a read that was sent after the append
 * failed has reached the head of the stream without finding its id.
 */
import * as errors from "@catkinwharf/errors";
import * as neverthrow from "neverthrow";
import * as tokenBucket from "./token-bucket.js";

/** A record to append. Ids are unique. */
export interface AppendRecord {
    readonly id: string;
}

/** Offset at which a record was read back, or the error for its caller. */
export type AppendOutcome = neverthrow.Result<number, errors.PlatformError>;

/** Limits of the queue. */
export interface AppendLimits {
    readonly batchWaitMs: number;
    readonly maxBatch: number;
    readonly maxBacklog: number;
    readonly appendsPerSecond: number;
}

/** The properties of a read entry that the queue uses. */
export interface ReadEntry {
    readonly offset: number;
    readonly body: unknown;
}

interface PendingRecord {
    readonly record: AppendRecord;
    readonly deadline: number;
    readonly enqueuedAt: number;
    readonly settle: (outcome: AppendOutcome) => void;
    /** Whether an earlier append of this record got no usable response; that append may still take effect. */
    uncertain: boolean;
    /** Whether the record is appended in a batch of its own, because a larger batch with it was rejected. */
    isolated: boolean;
    /** Offset from the platform's response; undefined before the response. */
    appendedOffset: number | undefined;
}

function createError(fault: errors.PlatformFault, reason: string): errors.PlatformError {
    return { layer: "platform", fault, reason };
}

/** Queue of the records that are to be appended to one stream. */
export class AppendQueue {
    private readonly unsettled = new Map<string, PendingRecord>();
    private queued: PendingRecord[] = [];
    private inFlight: PendingRecord[] = [];
    private unresolved: PendingRecord[] = [];
    private unresolvedAt = Number.NEGATIVE_INFINITY;
    private notBefore = Number.NEGATIVE_INFINITY;
    private earliestDeadline = Number.POSITIVE_INFINITY;
    private readonly tokenBucket: tokenBucket.TokenBucket;

    constructor(private readonly limits: AppendLimits) {
        this.tokenBucket = new tokenBucket.TokenBucket(limits.appendsPerSecond);
    }

    /** Number of records whose callers are still waiting. */
    get size(): number {
        return this.unsettled.size;
    }

    /**
     * Time (ms) at which the append of the unresolved records failed; undefined if there are none. A read that resolves
     * them must be sent at that time or later.
     */
    get unresolvedSince(): number | undefined {
        return this.unresolved.length > 0 ? this.unresolvedAt : undefined;
    }

    /** Queues a record; fails it at once if the backlog is full or its id is already queued. */
    add(record: AppendRecord, deadline: number, now: number, settle: (outcome: AppendOutcome) => void): void {
        if (this.unsettled.size >= this.limits.maxBacklog) {
            settle(neverthrow.err(createError(errors.PlatformFault.backlogFull, "too many records wait")));
            return;
        }
        if (this.unsettled.has(record.id)) {
            settle(neverthrow.err(createError(errors.PlatformFault.refused, `id ${record.id} is already queued`)));
            return;
        }
        const pending: PendingRecord = {
            record,
            deadline,
            enqueuedAt: now,
            settle,
            uncertain: false,
            isolated: false,
            appendedOffset: undefined,
        };
        this.unsettled.set(record.id, pending);
        this.queued.push(pending);
        this.earliestDeadline = Math.min(this.earliestDeadline, deadline);
    }

    /**
     * Takes the records of the next append; none if no append may start now. The caller must report the outcome with
     * `markAppended`, `markNotAppended`, `markUnresolved` or `markRefused`.
     */
    takeBatch(now: number): readonly AppendRecord[] {
        this.expire(now);
        if (!this.canAppend() || now < this.computeReadyTime(now)) {
            return [];
        }
        this.inFlight = this.queued.splice(0, this.computeBatchSize());
        this.tokenBucket.take(now);
        return this.inFlight.map(pending => pending.record);
    }

    /** Time (ms) of the next due call of `takeBatch`, which also expires records; undefined if no call is due. */
    computeNextWakeTime(now: number): number | undefined {
        const readyAt = this.canAppend() ? this.computeReadyTime(now) : Number.POSITIVE_INFINITY;
        const wake = Math.min(readyAt, this.earliestDeadline);
        return Number.isFinite(wake) ? wake : undefined;
    }

    /** Reports that the append took effect, with the offset of its first record. */
    markAppended(firstOffset: number): void {
        this.inFlight.forEach((pending, index) => pending.appendedOffset = firstOffset + index);
        this.inFlight = [];
        this.notBefore = Number.NEGATIVE_INFINITY;
    }

    /** Reports that the append had no effect; its records are queued again and not sent before `retryAt` (ms). */
    markNotAppended(retryAt: number): void {
        this.requeue(this.inFlight, retryAt);
        this.inFlight = [];
    }

    /** Reports that the append may or may not have taken effect. */
    markUnresolved(now: number, retryAt: number): void {
        this.inFlight.forEach(pending => pending.uncertain = true);
        this.unresolved = this.inFlight.filter(pending => this.isUnsettled(pending));
        this.inFlight = [];
        this.unresolvedAt = now;
        this.notBefore = retryAt;
    }

    /** Reports that the platform rejected the content: a single record fails, several are queued again one by one. */
    markRefused(reason: string): void {
        const refused = this.inFlight;
        this.inFlight = [];
        if (refused.length === 1) {
            refused.forEach(pending => this.settleError(pending, errors.PlatformFault.refused, reason));
            return;
        }
        refused.forEach(pending => pending.isolated = true);
        this.requeue(refused, Number.NEGATIVE_INFINITY);
    }

    /** Reports entries that were read and applied, and settles the records among them. */
    observeEntries(entries: readonly ReadEntry[]): void {
        for (const entry of entries) {
            const pending = this.findPending(entry.body);
            if (pending !== undefined) {
                this.settle(pending, neverthrow.ok(entry.offset));
            }
        }
        this.unresolved = this.unresolved.filter(pending => this.isUnsettled(pending));
    }

    /**
     * Reports that a read sent at `readSentAt` (ms) reached the head and that all its entries were observed. Returns
     * the number of unresolved records that are queued again.
     */
    observeHead(readSentAt: number): number {
        if (this.unresolved.length === 0 || readSentAt < this.unresolvedAt) {
            return 0;
        }
        const absent = this.unresolved;
        this.unresolved = [];
        this.requeue(absent, this.notBefore);
        return absent.length;
    }

    /** Reports that the entries before `nextOffset` were skipped; records that may be among them can't be read back. */
    observeSkip(nextOffset: number): void {
        const lost = [...this.unsettled.values()].filter(pending =>
            pending.appendedOffset !== undefined ? pending.appendedOffset < nextOffset : pending.uncertain
        );
        const reason = "the records that may hold it are no longer kept";
        lost.forEach(pending => this.settleError(pending, errors.PlatformFault.unanswered, reason));
        this.dropSettled();
    }

    /** Fails every record whose deadline has passed. Those that are still queued are not sent afterwards. */
    expire(now: number): void {
        if (now < this.earliestDeadline) {
            return;
        }
        this.settleMatching(pending => pending.deadline <= now, "the deadline passed");
        const deadlines = [...this.unsettled.values()].map(pending => pending.deadline);
        this.earliestDeadline = deadlines.reduce((a, b) => Math.min(a, b), Number.POSITIVE_INFINITY);
    }

    /** Fails every record; none is sent afterwards. */
    failAll(reason: string): void {
        this.settleMatching(() => true, reason);
    }

    private settleMatching(matches: (pending: PendingRecord) => boolean, reason: string): void {
        const inFlight = new Set(this.inFlight);
        for (const pending of [...this.unsettled.values()].filter(matches)) {
            const sent = pending.uncertain || pending.appendedOffset !== undefined || inFlight.has(pending);
            const fault = sent
                ? errors.PlatformFault.unanswered
                : errors.PlatformFault.unreachable;
            this.settleError(pending, fault, reason);
        }
        this.dropSettled();
    }

    private canAppend(): boolean {
        return this.inFlight.length === 0 && this.unresolved.length === 0 && this.queued.length > 0;
    }

    private computeReadyTime(now: number): number {
        const oldest = this.queued[0]?.enqueuedAt ?? now;
        const full = this.queued.length >= this.limits.maxBatch;
        const batchAt = full ? Number.NEGATIVE_INFINITY : oldest + this.limits.batchWaitMs;
        return Math.max(batchAt, this.notBefore, this.tokenBucket.computeReadyTime(now));
    }

    private computeBatchSize(): number {
        if (this.queued[0]?.isolated === true) {
            return 1;
        }
        const isolated = this.queued.findIndex(pending => pending.isolated);
        return Math.min(this.limits.maxBatch, isolated === -1 ? this.queued.length : isolated);
    }

    private requeue(records: readonly PendingRecord[], notBefore: number): void {
        this.queued = [...records.filter(pending => this.isUnsettled(pending)), ...this.queued];
        this.notBefore = notBefore;
    }

    private findPending(body: unknown): PendingRecord | undefined {
        const id = typeof body === "object" && body ? (body as Partial<AppendRecord>).id : undefined;
        return typeof id === "string" ? this.unsettled.get(id) : undefined;
    }

    private isUnsettled(pending: PendingRecord): boolean {
        return this.unsettled.get(pending.record.id) === pending;
    }

    private dropSettled(): void {
        this.queued = this.queued.filter(pending => this.isUnsettled(pending));
        this.unresolved = this.unresolved.filter(pending => this.isUnsettled(pending));
    }

    private settleError(pending: PendingRecord, fault: errors.PlatformFault, reason: string): void {
        this.settle(pending, neverthrow.err(createError(fault, reason)));
    }

    private settle(pending: PendingRecord, outcome: AppendOutcome): void {
        if (this.isUnsettled(pending)) {
            this.unsettled.delete(pending.record.id);
            pending.settle(outcome);
        }
    }
}
