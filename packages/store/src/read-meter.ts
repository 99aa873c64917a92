/**
 * Measures what a process reads from the store, by topic. A process whose followers reach the store's read rate, or that
 * repeats reads that fail, then shows it.
 */
import type * as eventLog from "@catkinwharf/event-log";

/** Reads of one topic. */
export interface ReadCounts {
    /** Calls with a response. */
    readonly answered: number;
    /** Calls without a response, or refused for now; their followers repeat them. */
    readonly failed: number;
    /** Bytes of the responses. */
    readonly bytes: number;
}

/** Bytes read since the last line from which on a line is logged although no read has failed. */
const minLoggedBytes = 64 * 1024;
const noReads: ReadCounts = { answered: 0, failed: 0, bytes: 0 };

export class ReadMeter {
    readonly #totals = new Map<string, ReadCounts>();
    #reported: ReadonlyMap<string, ReadCounts> = new Map();

    /** Reads since the start of the process, by topic. */
    get totals(): ReadonlyMap<string, ReadCounts> {
        return this.#totals;
    }

    recordAnswered(topic: string, bytes: number): void {
        const total = this.#totals.get(topic) ?? noReads;
        this.#totals.set(topic, { ...total, answered: total.answered + 1, bytes: total.bytes + bytes });
    }

    recordFailed(topic: string): void {
        const total = this.#totals.get(topic) ?? noReads;
        this.#totals.set(topic, { ...total, failed: total.failed + 1 });
    }

    /** Logs the reads since the last line, unless they are few and none of them failed. */
    report(log: eventLog.EventLog): void {
        const topics = [...this.#totals].map(([topic, total]) => {
            const before = this.#reported.get(topic) ?? noReads;
            return {
                topic,
                answered: total.answered - before.answered,
                failed: total.failed - before.failed,
                bytes: total.bytes - before.bytes,
            };
        }).filter(reads => reads.answered > 0 || reads.failed > 0);
        const bytes = topics.reduce((sum, reads) => sum + reads.bytes, 0);
        if (bytes < minLoggedBytes && topics.every(reads => reads.failed === 0)) {
            return;
        }
        this.#reported = new Map(this.#totals);
        log.info("store-reads", { bytes, topics });
    }
}
