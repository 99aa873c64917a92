/**
 * Decides when records are appended, and when a record may be appended again. No I/O, and no clock of its own.
 *
 * A record is queued, in flight, unknown (its append got no answer), or answered and waiting to be read back. At most
 * one append is in flight, and none starts while a record is unknown, so records keep their order. An unknown record is
 * queued again only when a read that began after its append failed reached the head without showing its id.
 */
import * as errors from "@catkinwharf/errors";
import * as neverthrow from "neverthrow";
import * as rateBudget from "./rate-budget.js";

/** A record that is appended; ids are unique. */
export interface AppendRecord {
    readonly id: string;
}

/** The offset at which a record was read back, or why its caller is told no offset. */
export type AppendOutcome = neverthrow.Result<number, errors.PlatformError>;

/** Bounds of the queue. */
export interface AppendLimits {
    readonly batchWaitMs: number;
    readonly maxBatch: number;
    readonly maxBacklog: number;
    readonly appendsPerSecond: number;
}

/** What the queue needs to know of an entry that was read. */
export interface ReadEntry {
    readonly offset: number;
    readonly body: unknown;
}

interface PendingRecord {
    readonly record: AppendRecord;
    readonly deadline: number;
    readonly queuedAt: number;
    readonly settle: (outcome: AppendOutcome) => void;
    /** Whether an earlier append with this record got no answer; it may still take effect. */
    uncertain: boolean;
    /** Whether the record is appended alone, because a batch that held it was refused. */
    isolated: boolean;
    /** Offset that the platform's answer gave; undefined before an answer. */
    answeredOffset: number | undefined;
}

function createError(fault: errors.PlatformFault, reason: string): errors.PlatformError {
    return { layer: "platform", fault, reason };
}

/** Records of one stream on their way into the log. */
export class AppendQueue {
    private readonly unsettled = new Map<string, PendingRecord>();
    private queued: PendingRecord[] = [];
    private inFlight: PendingRecord[] = [];
    private unknown: PendingRecord[] = [];
    private unknownSince = Number.NEGATIVE_INFINITY;
    private notBefore = Number.NEGATIVE_INFINITY;
    private earliestDeadline = Number.POSITIVE_INFINITY;
    private readonly budget: rateBudget.RateBudget;

    constructor(private readonly limits: AppendLimits) {
        this.budget = new rateBudget.RateBudget(limits.appendsPerSecond);
    }

    /** Records whose callers still wait. */
    get size(): number {
        return this.unsettled.size;
    }

    /** Time (ms) of the failure that made records unknown; undefined if none is. A read must begin after it. */
    get unresolvedSince(): number | undefined {
        return this.unknown.length > 0 ? this.unknownSince : undefined;
    }

    /** Queues a record, or settles it at once when the backlog is full or its id is already here. */
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
            queuedAt: now,
            settle,
            uncertain: false,
            isolated: false,
            answeredOffset: undefined,
        };
        this.unsettled.set(record.id, pending);
        this.queued.push(pending);
        this.earliestDeadline = Math.min(this.earliestDeadline, deadline);
    }

    /** Takes the records of the next append, or none when none may start now. The caller must report how it ended. */
    takeBatch(now: number): readonly AppendRecord[] {
        this.expire(now);
        if (!this.mayAppend() || now < this.computeReadyAt(now)) {
            return [];
        }
        this.inFlight = this.queued.splice(0, this.computeBatchSize());
        this.budget.take(now);
        return this.inFlight.map(pending => pending.record);
    }

    /** Time (ms) at which `takeBatch` or `expire` should be called next; undefined if nothing is due. */
    computeNextWake(now: number): number | undefined {
        const readyAt = this.mayAppend() ? this.computeReadyAt(now) : Number.POSITIVE_INFINITY;
        const wake = Math.min(readyAt, this.earliestDeadline);
        return Number.isFinite(wake) ? wake : undefined;
    }

    /** The append took effect; its first record got this offset. */
    markAnswered(firstOffset: number): void {
        this.inFlight.forEach((pending, index) => pending.answeredOffset = firstOffset + index);
        this.inFlight = [];
        this.notBefore = Number.NEGATIVE_INFINITY;
    }

    /** The append is known to have had no effect; its records are queued again, to be sent from `retryAt` on. */
    markWithoutEffect(retryAt: number): void {
        this.requeue(this.inFlight, retryAt);
        this.inFlight = [];
    }

    /** It is not known whether the append took effect. */
    markUnknown(now: number, retryAt: number): void {
        this.inFlight.forEach(pending => pending.uncertain = true);
        this.unknown = this.inFlight.filter(pending => this.isUnsettled(pending));
        this.inFlight = [];
        this.unknownSince = now;
        this.notBefore = retryAt;
    }

    /** The platform refused the content: a single record fails, the records of a batch are tried one by one. */
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

    /** Entries were read and applied: settles the records among them. */
    observeEntries(entries: readonly ReadEntry[]): void {
        for (const entry of entries) {
            const pending = this.findByBody(entry.body);
            if (pending !== undefined) {
                this.settle(pending, neverthrow.ok(entry.offset));
            }
        }
        this.unknown = this.unknown.filter(pending => this.isUnsettled(pending));
    }

    /**
     * A read that was sent at `readSentAt` reached the head, and all its entries were observed. Returns how many
     * records are queued again.
     */
    observeHead(readSentAt: number): number {
        if (this.unknown.length === 0 || readSentAt < this.unknownSince) {
            return 0;
        }
        const absent = this.unknown;
        this.unknown = [];
        this.requeue(absent, this.notBefore);
        return absent.length;
    }

    /** Entries up to `nextOffset` were skipped: records that may stand among them can't be read back any more. */
    observeSkip(nextOffset: number): void {
        const lost = [...this.unsettled.values()].filter(pending =>
            pending.answeredOffset !== undefined ? pending.answeredOffset < nextOffset : pending.uncertain
        );
        const reason = "the records that may hold it are no longer kept";
        lost.forEach(pending => this.settleError(pending, errors.PlatformFault.unanswered, reason));
        this.dropSettled();
    }

    /** Settles every record whose deadline has passed. A record that was never sent is dropped and never will be. */
    expire(now: number): void {
        if (now < this.earliestDeadline) {
            return;
        }
        this.fail(pending => pending.deadline <= now, "the deadline passed");
        const deadlines = [...this.unsettled.values()].map(pending => pending.deadline);
        this.earliestDeadline = deadlines.reduce((a, b) => Math.min(a, b), Number.POSITIVE_INFINITY);
    }

    /** Settles every record; nothing is sent afterwards. */
    failAll(reason: string): void {
        this.fail(() => true, reason);
    }

    private fail(matches: (pending: PendingRecord) => boolean, reason: string): void {
        const inFlight = new Set(this.inFlight);
        for (const pending of [...this.unsettled.values()].filter(matches)) {
            const sent = pending.uncertain || pending.answeredOffset !== undefined || inFlight.has(pending);
            const fault = sent
                ? errors.PlatformFault.unanswered
                : errors.PlatformFault.unreachable;
            this.settleError(pending, fault, reason);
        }
        this.dropSettled();
    }

    private mayAppend(): boolean {
        return this.inFlight.length === 0 && this.unknown.length === 0 && this.queued.length > 0;
    }

    private computeReadyAt(now: number): number {
        const oldest = this.queued[0]?.queuedAt ?? now;
        const full = this.queued.length >= this.limits.maxBatch;
        const batchAt = full ? Number.NEGATIVE_INFINITY : oldest + this.limits.batchWaitMs;
        return Math.max(batchAt, this.notBefore, this.budget.readyAt(now));
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

    private findByBody(body: unknown): PendingRecord | undefined {
        const id = typeof body === "object" && body ? (body as Partial<AppendRecord>).id : undefined;
        return typeof id === "string" ? this.unsettled.get(id) : undefined;
    }

    private isUnsettled(pending: PendingRecord): boolean {
        return this.unsettled.get(pending.record.id) === pending;
    }

    private dropSettled(): void {
        this.queued = this.queued.filter(pending => this.isUnsettled(pending));
        this.unknown = this.unknown.filter(pending => this.isUnsettled(pending));
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
