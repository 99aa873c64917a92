/**
 * Estimates run times from observations alone; values declared by callers or operators are not used.
 *
 * The estimate is an exponentially weighted moving average. Each observation is first limited to the mean plus a number
 * of deviations (winsorizing), so that single outliers have little effect, while a lasting change increases the
 * deviation until the estimate follows it. Mean and deviation are computed as in Jacobson, "Congestion Avoidance and
 * Control", 1988.
 */

interface Estimate {
    meanMs: number;
    deviationMs: number;
    observations: number;
    updatedAt: number;
}

/** Weight of a new observation after the first ones, which are averaged evenly. */
const gain = 0.05;
/** Limit of an observation, in deviations above the mean. */
const limitDeviations = 4;
/** Duration of a long run, in deviations above the mean. */
const longDeviations = 5;
/**
 * Minimum limit as a multiple of the mean. Otherwise a constant run time would reduce the deviation to zero, and the
 * estimate could no longer rise.
 */
const minLimitFactor = 2;
/** Time without an observation after which the next one has the same weight as all earlier ones together, in ms. */
const staleAfterMs = 600_000;
const staleGain = 0.5;

/** Estimates the run time of each service. */
export class RunTimeEstimator {
    readonly #estimates = new Map<string, Estimate>();
    readonly #initialMs: number;

    /** `initialMs` is the estimate for a service without observations; with 0, the admission refuses none for it. */
    constructor(initialMs = 0) {
        this.#initialMs = initialMs;
    }

    /** Records a request that ran for `runMs` on a backend server. */
    record(service: string, runMs: number, now: number): void {
        if (!Number.isFinite(runMs) || runMs < 0) {
            return;
        }
        const estimate = this.#estimates.get(service);
        if (estimate === undefined) {
            this.#estimates.set(service, { meanMs: runMs, deviationMs: runMs / 2, observations: 1, updatedAt: now });
            return;
        }
        update(estimate, runMs, now);
    }

    /** Expected run time in ms. */
    estimate(service: string): number {
        return this.#estimates.get(service)?.meanMs ?? this.#initialMs;
    }

    /** Run time in ms that few runs exceed; `initialMs` without observations. */
    estimateLong(service: string): number {
        const estimate = this.#estimates.get(service);
        return estimate === undefined ? this.#initialMs : estimate.meanMs + longDeviations * estimate.deviationMs;
    }

    /** Deletes the estimates of services that the configuration no longer names. */
    retain(services: ReadonlySet<string>): void {
        for (const service of this.#estimates.keys()) {
            if (!services.has(service)) {
                this.#estimates.delete(service);
            }
        }
    }
}

function update(estimate: Estimate, runMs: number, now: number): void {
    const limitMs = Math.max(
        estimate.meanMs + limitDeviations * estimate.deviationMs,
        estimate.meanMs * minLimitFactor,
        // 1 ms, so that an estimate of 0 can rise.
        1,
    );
    const counted = Math.min(runMs, limitMs);
    estimate.observations++;
    const weight = now - estimate.updatedAt > staleAfterMs ? staleGain : Math.max(gain, 1 / estimate.observations);
    const error = counted - estimate.meanMs;
    estimate.meanMs += weight * error;
    estimate.deviationMs += weight * (Math.abs(error) - estimate.deviationMs);
    estimate.updatedAt = now;
}
