/**
 * Demand of each service, with separate estimates for sustained demand and for bursts.
 *
 * Samples are averaged over intervals. Sustained demand is the minimum of the averages within a time span: a burst that
 * is shorter than the span leaves at least one interval unaffected, so it can't raise the result.
 */

/** Load of a service across the whole fleet at one moment. */
export interface Demand {
    readonly service: string;
    readonly busySlots: number;
    readonly queued: number;
    /** Clock time in ms. */
    readonly observedAt: number;
}

interface Interval {
    /** Number of intervals since 1970. */
    readonly index: number;
    sum: number;
    samples: number;
    peak: number;
}

const intervalMs = 10_000;
/** Maximum number of intervals kept for each service. */
const maxIntervals = 90;
/** Quantile of the intervals' averages that is used as the burst demand. */
const burstQuantile = 0.95;

/** Recent demand of all services. */
export class DemandHistory {
    readonly #intervals = new Map<string, Interval[]>();

    /** Adds a sample; one older than the newest interval is ignored. */
    record(sample: Demand): void {
        const index = Math.floor(sample.observedAt / intervalMs);
        const slots = sample.busySlots + sample.queued;
        const intervals = this.#findOrCreate(sample.service);
        const newest = intervals.at(-1);
        if (newest !== undefined && index < newest.index) {
            return;
        }
        if (newest === undefined || index > newest.index) {
            intervals.push({ index, sum: slots, samples: 1, peak: slots });
            intervals.splice(0, intervals.length - maxIntervals);
            return;
        }
        newest.sum += slots;
        newest.samples++;
        newest.peak = Math.max(newest.peak, slots);
    }

    /**
     * Slots that the service has needed throughout the last `spanMs`: the minimum average of the complete intervals,
     * 0 when any is missing. Two more intervals than the span holds are considered: a burst shorter than n intervals
     * overlaps at most n + 1, so at least one of n + 2 is free of it.
     */
    estimateSustained(service: string, spanMs: number, now: number): number {
        const count = Math.ceil(spanMs / intervalMs) + 2;
        const last = Math.floor(now / intervalMs) - 1;
        const averages = this.#listAverages(service, last - count + 1, last);
        return averages.length < count ? 0 : Math.min(...averages);
    }

    /** Slots that the service has needed during bursts within the last `spanMs`; 0 without samples. */
    estimateBurst(service: string, spanMs: number, now: number): number {
        const last = Math.floor(now / intervalMs);
        const averages = this.#listAverages(service, last - Math.ceil(spanMs / intervalMs), last);
        averages.sort((left, right) => left - right);
        return averages[Math.ceil(averages.length * burstQuantile) - 1] ?? 0;
    }

    /** Deletes the history of services that the configuration no longer names. */
    retain(services: ReadonlySet<string>): void {
        for (const service of this.#intervals.keys()) {
            if (!services.has(service)) {
                this.#intervals.delete(service);
            }
        }
    }

    #findOrCreate(service: string): Interval[] {
        const known = this.#intervals.get(service);
        if (known !== undefined) {
            return known;
        }
        const created: Interval[] = [];
        this.#intervals.set(service, created);
        return created;
    }

    #listAverages(service: string, first: number, last: number): number[] {
        return (this.#intervals.get(service) ?? [])
            .filter(interval => interval.index >= first && interval.index <= last)
            .map(interval => interval.sum / interval.samples);
    }
}
