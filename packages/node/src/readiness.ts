/**
 * Logs when the process becomes ready, what it had to read for that, and why it isn't ready at other times. Callers are sent to
 * processes that are ready, so these lines explain which processes had to answer.
 */
import type * as eventLog from "@catkinwharf/event-log";
import type * as store from "@catkinwharf/store";

/** Why the process isn't ready. */
export const Hindrance = {
    shuttingDown: "shutting down",
    /** No configuration has been read. */
    configuration: "configuration",
    /** The submissions haven't been read. */
    submissions: "submissions",
    ledger: "ledger",
    /** The store counts as unavailable. */
    store: "store",
} as const;
export type Hindrance = (typeof Hindrance)[keyof typeof Hindrance];

export interface ReadinessLogOptions {
    readonly log: eventLog.EventLog;
    /** Monotonic time in ms. */
    readonly now: () => number;
    readonly followers: readonly Pick<store.TopicFollower, "topic" | "progress">[];
    readonly reads: Pick<store.ReadMeter, "totals">;
}

export class ReadinessLog {
    readonly #startedAt: number;
    #hindrances: readonly Hindrance[] | undefined;
    #changedAt: number;
    #wasReady = false;

    constructor(private readonly options: ReadinessLogOptions) {
        this.#startedAt = options.now();
        this.#changedAt = this.#startedAt;
    }

    /** Records why the process isn't ready now; it is if nothing hinders it. */
    update(hindrances: readonly Hindrance[]): void {
        const before = this.#hindrances;
        if (before?.join() === hindrances.join()) {
            return;
        }
        const now = this.options.now();
        const isReady = hindrances.length === 0;
        this.options.log.info("readiness-changed", {
            ready: isReady,
            hindrances,
            before,
            // Ms for which the state before lasted.
            lasted: Math.round(now - this.#changedAt),
        });
        this.#hindrances = hindrances;
        this.#changedAt = now;
        if (isReady && !this.#wasReady) {
            this.#wasReady = true;
            this.options.log.info("first-ready", {
                after: Math.round(now - this.#startedAt),
                topics: this.#describeTopics(),
            });
        }
    }

    #describeTopics(): object[] {
        return this.options.followers.map(({ topic, progress }) => ({
            topic,
            records: progress.records,
            bytes: this.options.reads.totals.get(topic)?.bytes ?? 0,
            failed: this.options.reads.totals.get(topic)?.failed ?? 0,
            // Ms until the newest records had been read.
            took: Math.round(progress.loadTime),
        }));
    }
}
