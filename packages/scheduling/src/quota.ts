/**
 * Quotas of organisations: limits on what the tasks of an organisation may occupy on all backend servers together.
 *
 * A quota is checked where runs are planned. Every run that may be under way counts, also one that is being stopped or
 * whose server is out of reach, so an organisation that bursts to several times its usual load can't occupy more than its
 * quota, whichever coordinator plans.
 */
import type * as jobState from "@catkinwharf/job-state";

/** What the runs of one organisation occupy. */
export interface OrganisationUsage {
    /** Thousandths of a core. */
    cpu: number;
    /** Megabytes. */
    memory: number;
    accelerators: number;
}

/** Resources that a quota limits. */
const resources = ["cpu", "memory", "accelerators"] as const;

export class QuotaUsage {
    readonly #usages = new Map<string, OrganisationUsage>();
    /** Part of the usages that doesn't end by itself. */
    readonly #longRunning = new Map<string, OrganisationUsage>();
    /** Organisations of which a step that is held back has half of the quota reserved. */
    readonly #reserved = new Set<string>();

    /** @param limits quota by organisation; 0 in a resource is no limit, and an organisation without a quota has none */
    constructor(private readonly limits: ReadonlyMap<string, jobState.Demand>) {}

    /** Adds `count` runs of the organisation, each with this demand. */
    add(organisation: string | undefined, demand: jobState.Demand, count = 1): void {
        addTo(this.#usages, organisation, demand, count);
    }

    /** Marks `count` runs of the organisation that were added as long-running. */
    addLongRunning(organisation: string | undefined, demand: jobState.Demand, count = 1): void {
        addTo(this.#longRunning, organisation, demand, count);
    }

    find(organisation: string): OrganisationUsage {
        return this.#usages.get(organisation) ?? createUsage();
    }

    /**
     * Number of tasks of the step that the quota lets start now, at most `wanted`. While less than half of the quota is in
     * use, one task more than fits may start: one that is larger than what is left would otherwise wait for all others of
     * its organisation, and the platform's rule leaves room for it. A gang is started as a whole or not at all.
     */
    countAllowed(
        organisation: string | undefined,
        { demand, gang }: Pick<jobState.Step, "demand" | "gang">,
        wanted: number,
    ): number {
        const limit = organisation === undefined ? undefined : this.limits.get(organisation);
        if (organisation === undefined || limit === undefined) {
            return wanted;
        }
        const share = this.#reserved.has(organisation) ? 0.5 : 1;
        return countStartable({ demand, gang }, wanted, limit, share, this.find(organisation));
    }

    /**
     * Whether `reserve` has an effect: nothing is kept for the organisation yet, and the step can start once the
     * organisation's tasks that end by themselves have ended.
     */
    mayReserve(organisation: string, step: Pick<jobState.Step, "demand" | "gang">, wanted: number): boolean {
        const limit = this.limits.get(organisation);
        const remaining = this.#longRunning.get(organisation) ?? createUsage();
        return limit !== undefined && !this.#reserved.has(organisation)
            && countStartable(step, wanted, limit, 1, remaining) > 0;
    }

    /**
     * Keeps half of the quota for a step that it holds back, until the usage is summed anew: smaller tasks of the
     * organisation would otherwise take each bit of it that becomes free. Nothing is kept for a step that would still have
     * to wait then: a gang that is too wide for the quota, or a step behind long-running tasks.
     */
    reserve(organisation: string, step: Pick<jobState.Step, "demand" | "gang">, wanted: number): void {
        if (this.mayReserve(organisation, step, wanted)) {
            this.#reserved.add(organisation);
        }
    }
}

function createUsage(): OrganisationUsage {
    return { cpu: 0, memory: 0, accelerators: 0 };
}

function addTo(
    usages: Map<string, OrganisationUsage>,
    organisation: string | undefined,
    demand: jobState.Demand,
    count: number,
): void {
    if (organisation === undefined) {
        return;
    }
    const usage = usages.get(organisation) ?? createUsage();
    resources.forEach(resource => usage[resource] += count * demand[resource]);
    usages.set(organisation, usage);
}

/** Number of the step's tasks that may start beside the usage, at most `wanted`; see `QuotaUsage.countAllowed`. */
function countStartable(
    { demand, gang }: Pick<jobState.Step, "demand" | "gang">,
    wanted: number,
    limit: jobState.Demand,
    share: number,
    usage: jobState.Demand,
): number {
    const isBelowHalf = resources.every(resource => limit[resource] === 0 || usage[resource] < limit[resource] / 2);
    const fitting = countFitting(demand, limit, share, usage);
    // What is reserved isn't for a task beyond the quota.
    const extra = isBelowHalf && share === 1 ? 1 : 0;
    if (gang) {
        return fitting + extra >= wanted ? wanted : 0;
    }
    return Math.min(wanted, Math.max(fitting, extra));
}

/** Number of tasks with this demand that fit beside the usage into a share of the limit. */
function countFitting(
    demand: jobState.Demand,
    limit: jobState.Demand,
    share: number,
    usage: jobState.Demand,
): number {
    const left = resources.map(resource =>
        limit[resource] === 0 || demand[resource] === 0
            ? Number.POSITIVE_INFINITY
            : Math.floor((limit[resource] * share - usage[resource]) / demand[resource])
    );
    return Math.max(0, Math.min(...left));
}
