/**
 * Remembers how many instances all pools together needed at most in the recent past.
 *
 * The bursts of the queues alternate: the end of one is soon followed by another's beginning. An instance that is on
 * its way to standby can't be used for seconds, so a fleet that gives up idle instances between two bursts lacks them
 * when the next one comes.
 */

/** Number of instances needed at a time, in ms on the monotonic clock. */
interface Sample {
    readonly at: number;
    readonly needed: number;
}

export class PeakNeed {
    /** Samples of the window that no later sample exceeds, in order of time; the first is the peak. */
    #samples: Sample[] = [];
    #firstAt: number | undefined;

    /** @param window ms for which a need is remembered */
    constructor(private readonly window: number) {}

    record(needed: number, now: number): void {
        this.#firstAt ??= now;
        while (this.#samples.length > 0 && this.#samples.at(-1)!.needed <= needed) {
            this.#samples.pop();
        }
        this.#samples.push({ at: now, needed });
        while (this.#samples[0]!.at < now - this.window) {
            this.#samples.shift();
        }
    }

    /** Largest need of the window; infinite until a whole window has been observed. */
    find(now: number): number {
        return this.#firstAt === undefined || now - this.#firstAt < this.window
            ? Number.POSITIVE_INFINITY
            : this.#samples[0]!.needed;
    }
}
