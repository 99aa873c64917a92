/**
 * Run times learnt from observation; what callers or operators declare is not used.
 *
 * The estimate is an exponentially weighted mean. Each observation is limited to the mean plus some deviations before
 * it counts, so that single outliers hardly matter, while a lasting change widens the deviation and is then followed
 * (winsorizing; the mean and deviation follow Jacobson, "Congestion Avoidance and Control", 1988).
 */

interface Estimate {
    meanMs: number;
    deviationMs: number;
    observations: number;
    updatedAt: number;
}

/** Weight of a new observation once there are enough of them. */
const gain = 0.05;
/** Deviations above the mean at which an observation is limited. */
const limitDeviations = 4;
/** Deviations above the mean of a long run. */
const longDeviations = 5;
/** Least limit, as a multiple of the mean, so that a constant run time does not lock the estimate. */
const minLimitFactor = 2;
/** Time without an observation after which the next one weighs as much as the past, in ms. */
const staleAfterMs = 600_000;
const staleGain = 0.5;

/** Learns the run time of each service. */
export class RunTimeEstimator {
    readonly #estimates = new Map<string, Estimate>();
    readonly #initialMs: number;

    /** `initialMs` is the estimate of a service that was not observed yet; 0 refuses nobody early. */
    constructor(initialMs = 0) {
        this.#initialMs = initialMs;
    }

    /** Learns from a request that ended after `runMs` at a backend server. */
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

    /** Run time in ms that few runs exceed; 0 when nothing is known. */
    estimateLong(service: string): number {
        const estimate = this.#estimates.get(service);
        return estimate === undefined ? this.#initialMs : estimate.meanMs + longDeviations * estimate.deviationMs;
    }

    /** Drops the services that the configuration no longer names. */
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
