/**
 * Demand of each service, and the difference between what lasts and what is only a burst.
 *
 * Samples are averaged over intervals. Sustained demand is the least of the averages over a span: a burst that is
 * shorter than the span leaves at least one interval without it, so it can't raise the result.
 */

/** Load of a service over the whole fleet at one moment. */
export interface Demand {
    readonly service: string;
    readonly busySlots: number;
    readonly queued: number;
    /** Clock time in ms. */
    readonly observedAt: number;
}

interface Interval {
    /** Number of the interval since 1970. */
    readonly index: number;
    sum: number;
    samples: number;
    peak: number;
}

const intervalMs = 10_000;
/** Intervals that are kept. */
const maxIntervals = 90;
/** Quantile of the intervals' averages that the burst demand stands for. */
const burstQuantile = 0.95;

/** Recent demand of all services. */
export class DemandHistory {
    readonly #intervals = new Map<string, Interval[]>();

    /** Adds a sample; one older than the newest interval is ignored. */
    record(sample: Demand): void {
        const index = Math.floor(sample.observedAt / intervalMs);
        const slots = sample.busySlots + sample.queued;
        const intervals = this.#find(sample.service);
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
     * Slots that the service has needed throughout the last `spanMs`: the least average of the whole intervals in it,
     * 0 when some are missing. Two intervals more than the span holds are looked at, since a shorter burst can reach
     * into that many but one.
     */
    estimateSustained(service: string, spanMs: number, now: number): number {
        const count = Math.ceil(spanMs / intervalMs) + 2;
        const last = Math.floor(now / intervalMs) - 1;
        const averages = this.#listAverages(service, last - count + 1, last);
        return averages.length < count ? 0 : Math.min(...averages);
    }

    /** Slots that the service's bursts have needed within the last `spanMs`; 0 without samples. */
    estimateBurst(service: string, spanMs: number, now: number): number {
        const last = Math.floor(now / intervalMs);
        const averages = this.#listAverages(service, last - Math.ceil(spanMs / intervalMs), last);
        averages.sort((left, right) => left - right);
        return averages[Math.ceil(averages.length * burstQuantile) - 1] ?? 0;
    }

    /** Drops the services that the configuration no longer names. */
    retain(services: ReadonlySet<string>): void {
        for (const service of this.#intervals.keys()) {
            if (!services.has(service)) {
                this.#intervals.delete(service);
            }
        }
    }

    #find(service: string): Interval[] {
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
