/**
 * An append-only stream with offsets and limited retention, in memory.
 */
import type * as schema from "@catkinwharf/schema";

/** How long and how many entries a stream keeps readable. */
export interface Retention {
    readonly retentionMs: number;
    readonly retentionEntries: number;
}

/** A stream that also keeps what readers may no longer see, for checkers. */
export class Stream {
    private readonly entries: schema.platform.LogEntry[] = [];
    private readonly waiting = new Set<() => void>();
    private oldest = 0;

    constructor(private readonly retention: Retention) {}

    /** Offset that the next append will get. */
    get headOffset(): number {
        return this.entries.length;
    }

    /** Appends all bodies at consecutive offsets and wakes the waiting readers. */
    append(bodies: readonly unknown[], now: number): schema.platform.AppendAnswer {
        const firstOffset = this.headOffset;
        for (const body of bodies) {
            this.entries.push({ offset: this.headOffset, appendedAt: now, body });
        }
        this.dropExpired(now);
        for (const wake of [...this.waiting]) {
            wake();
        }
        return { firstOffset, nextOffset: this.headOffset };
    }

    /** Readable entries from an offset on. Below the oldest kept offset there are none. */
    read(from: number, limit: number, now: number): schema.platform.ReadAnswer {
        this.dropExpired(now);
        const isKept = from >= this.oldest;
        const entries = isKept ? this.entries.slice(from, from + limit) : [];
        const nextOffset = isKept ? from + entries.length : this.oldest;
        return { entries, nextOffset, oldestOffset: this.oldest, headOffset: this.headOffset };
    }

    /** Every entry ever appended. */
    readAll(): readonly schema.platform.LogEntry[] {
        return this.entries;
    }

    /** Calls back once, at the next append. Returns a function that gives up waiting. */
    onceAppended(callback: () => void): () => void {
        const wake = () => {
            this.waiting.delete(wake);
            callback();
        };
        this.waiting.add(wake);
        return () => this.waiting.delete(wake);
    }

    private dropExpired(now: number): void {
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
