/**
 * Demand of organisations with a quota: how much of their work counts when pools are sized.
 *
 * Work that a quota holds back can't use a larger pool. What arrives for an organisation counts up to its quota, as a
 * rate; of its backlog counts what the rest of the quota can work off in the time in which pools work off theirs.
 */
import type * as jobState from "@catkinwharf/job-state";
import * as quota from "./quota.js";

/** Resources that a quota limits. */
const resources = ["cpu", "memory", "accelerators"] as const;

/** Work in the units of a demand, each times seconds. */
export type Work = jobState.Demand;

interface ArrivalRate {
    /** Average of the work that arrives each second and counts. */
    readonly rate: Record<keyof Work, number>;
    /** Ms over which it is averaged. */
    span: number;
    updatedAt: number;
}

export class QuotaDemand {
    #limits: ReadonlyMap<string, jobState.Demand> = new Map();
    readonly #arrivals = new Map<string, ArrivalRate>();

    /** @param limits quota by organisation; 0 in a resource is no limit */
    setLimits(limits: ReadonlyMap<string, jobState.Demand>): void {
        this.#limits = limits;
    }

    hasQuota(organisation: string | undefined): organisation is string {
        const limit = organisation === undefined ? undefined : this.#limits.get(organisation);
        return limit !== undefined && resources.some(resource => limit[resource] > 0);
    }

    /**
     * Adds arriving work, and returns the share of it that counts as demand: all of it while the organisation's arrivals
     * stay within its quota.
     *
     * @param span ms over which arrivals are averaged
     * @param now on the monotonic clock, ms
     */
    addArrival(organisation: string | undefined, work: Work, span: number, now: number): number {
        if (!this.hasQuota(organisation)) {
            return 1;
        }
        const arrivals = this.#findArrivals(organisation, span, now);
        const share = this.#computeShare(organisation, arrivals.rate, work, 1000 / span);
        resources.forEach(resource => arrivals.rate[resource] += share * work[resource] * 1000 / span);
        arrivals.span = span;
        return share;
    }

    /** Number of the step's tasks that the organisation's quota lets run at a time. */
    countRunnable(organisation: string | undefined, { demand, taskCount }: jobState.Step): number {
        const usage = new quota.QuotaUsage(this.#limits);
        return usage.countAllowed(organisation, { demand, gang: false }, taskCount);
    }

    /**
     * Share of the ready work that counts as backlog beside the running work.
     *
     * @param running running work by the resources that it occupies, divided by the seconds in which pools work it off
     * @param ready the same of ready work
     */
    computeReadyShare(organisation: string, running: Work, ready: Work, now: number): number {
        const { rate } = this.#findArrivals(organisation, undefined, now);
        const used = { ...running };
        resources.forEach(resource => used[resource] += rate[resource]);
        return this.#computeShare(organisation, used, ready, 1);
    }

    #computeShare(organisation: string, used: Work, added: Work, factor: number): number {
        const limit = this.#limits.get(organisation)!;
        const shares = resources.map(resource =>
            limit[resource] === 0 || added[resource] === 0
                ? 1
                : (limit[resource] - used[resource]) / (added[resource] * factor)
        );
        return Math.max(0, Math.min(1, ...shares));
    }

    /** Finds the rate of arrivals, decayed until `now`. */
    #findArrivals(organisation: string, span: number | undefined, now: number): ArrivalRate {
        let found = this.#arrivals.get(organisation);
        if (found === undefined) {
            found = { rate: { cpu: 0, memory: 0, accelerators: 0 }, span: span ?? 1000, updatedAt: now };
            this.#arrivals.set(organisation, found);
        }
        const { rate } = found;
        const decay = Math.exp(-Math.max(0, now - found.updatedAt) / found.span);
        resources.forEach(resource => rate[resource] *= decay);
        found.updatedAt = now;
        return found;
    }
}
