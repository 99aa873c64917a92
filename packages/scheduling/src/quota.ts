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
    runCount: number;
}

/** Resources that a quota limits. */
const resources = ["cpu", "memory", "accelerators"] as const;

export class QuotaUsage {
    readonly #usages = new Map<string, OrganisationUsage>();

    /** @param limits quota by organisation; 0 in a resource is no limit, and an organisation without a quota has none */
    constructor(private readonly limits: ReadonlyMap<string, jobState.Demand>) {}

    /** Adds `count` runs of the organisation, each with this demand. */
    add(organisation: string | undefined, demand: jobState.Demand, count = 1): void {
        if (organisation === undefined) {
            return;
        }
        const usage = this.find(organisation);
        resources.forEach(resource => usage[resource] += count * demand[resource]);
        usage.runCount += count;
        this.#usages.set(organisation, usage);
    }

    find(organisation: string): OrganisationUsage {
        return this.#usages.get(organisation) ?? { cpu: 0, memory: 0, accelerators: 0, runCount: 0 };
    }

    /**
     * Number of tasks of the step that the quota lets start now, at most `wanted`. A task that is larger than the quota
     * may start while nothing else of the organisation runs; a gang is started as a whole or not at all.
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
        const usage = this.find(organisation);
        const left = resources.map(resource =>
            limit[resource] === 0 || demand[resource] === 0
                ? Number.POSITIVE_INFINITY
                : Math.floor((limit[resource] - usage[resource]) / demand[resource])
        );
        const allowed = Math.min(wanted, Math.max(0, Math.min(...left)));
        if (gang) {
            return allowed === wanted ? wanted : 0;
        }
        return allowed === 0 && usage.runCount === 0 ? Math.min(wanted, 1) : allowed;
    }
}
