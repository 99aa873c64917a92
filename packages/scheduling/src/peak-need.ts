/**
 * Remembers how many instances all pools together needed at most in the recent past. Callers record how many ran tasks at
 * the same time, not the target sizes of the pools: these allow for a burst's rise, so their sum may exceed the fleet.
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
    /** Instances in service at the first sample; infinite if not known. */
    #firstInService = Number.POSITIVE_INFINITY;

    /** @param window ms for which a need is remembered */
    constructor(private readonly window: number) {}

    /** @param inService instances in service, which count as needed before a whole window has been observed */
    record(needed: number, now: number, inService = Number.POSITIVE_INFINITY): void {
        if (this.#firstAt === undefined) {
            this.#firstAt = now;
            this.#firstInService = inService;
        }
        while (this.#samples.length > 0 && this.#samples.at(-1)!.needed <= needed) {
            this.#samples.pop();
        }
        this.#samples.push({ at: now, needed });
        while (this.#samples[0]!.at < now - this.window) {
            this.#samples.shift();
        }
    }

    /**
     * Largest need of the window. Until a whole window has been observed, the instances beyond it that were in service at
     * first count by the part of the window that hasn't been observed.
     */
    find(now: number): number {
        if (this.#firstAt === undefined) {
            return Number.POSITIVE_INFINITY;
        }
        const { needed } = this.#samples[0]!;
        const unobserved = 1 - (now - this.#firstAt) / this.window;
        return unobserved <= 0 ? needed : needed + unobserved * Math.max(0, this.#firstInService - needed);
    }
}
