/**
 * An in-memory, append-only stream with offsets and limited retention.
 */
import type * as schema from "@catkinwharf/schema";

/** Age and number of entries up to which a stream keeps them readable. */
export interface RetentionLimits {
    readonly retentionMs: number;
    readonly retentionEntries: number;
}

/** A stream that also keeps entries past their retention, for checks by tests. */
export class Stream {
    private readonly entries: schema.platform.LogEntry[] = [];
    private readonly waiting = new Set<() => void>();
    private oldest = 0;

    constructor(private readonly retention: RetentionLimits) {}

    /** Offset that the next append will get. */
    get headOffset(): number {
        return this.entries.length;
    }

    /** Appends all bodies at consecutive offsets and notifies the waiting readers. */
    append(bodies: readonly unknown[], now: number): schema.platform.AppendAnswer {
        const firstOffset = this.headOffset;
        for (const body of bodies) {
            this.entries.push({ offset: this.headOffset, appendedAt: now, body });
        }
        this.applyRetention(now);
        for (const listener of [...this.waiting]) {
            listener();
        }
        return { firstOffset, nextOffset: this.headOffset };
    }

    /** Readable entries from an offset on; none if the offset is below the oldest retained one. */
    read(from: number, limit: number, now: number): schema.platform.ReadAnswer {
        this.applyRetention(now);
        const isRetained = from >= this.oldest;
        const entries = isRetained ? this.entries.slice(from, from + limit) : [];
        const nextOffset = isRetained ? from + entries.length : this.oldest;
        return { entries, nextOffset, oldestOffset: this.oldest, headOffset: this.headOffset };
    }

    /** Every entry ever appended, including those past their retention. */
    readAll(): readonly schema.platform.LogEntry[] {
        return this.entries;
    }

    /** Calls back once, at the next append. Returns a function that removes the callback. */
    onceAppended(callback: () => void): () => void {
        const listener = () => {
            this.waiting.delete(listener);
            callback();
        };
        this.waiting.add(listener);
        return () => this.waiting.delete(listener);
    }

    private applyRetention(now: number): void {
        const { retentionMs, retentionEntries } = this.retention;
        this.oldest = Math.max(this.oldest, this.headOffset - retentionEntries);
        for (let first = this.entries[this.oldest]; first !== undefined; first = this.entries[this.oldest]) {
            if (first.appendedAt >= now - retentionMs) {
                return;
            }
            this.oldest++;
        }
    }
}
