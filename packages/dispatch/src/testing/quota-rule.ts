/**
 * Judges, from what the servers see, whether a start brings what an organisation has running on all of them above its quota:
 * above the limit and a tenth of it, and the started task itself.
 */
import type * as jobState from "@catkinwharf/job-state";
import type * as platform from "@catkinwharf/platform";

/** By how much, as a share of the limit, the platform lets an organisation exceed it. */
const overrun = 0.1;
const resources = ["cpu", "memory", "accelerators"] as const;

/** What a start brought the organisation to. */
export interface QuotaViolation {
    readonly at: number;
    readonly task: string;
    readonly organisation: string;
    readonly resource: (typeof resources)[number];
    readonly running: number;
    readonly limit: number;
}

interface LimitPeriod {
    readonly from: number;
    readonly limits: ReadonlyMap<string, jobState.Demand>;
}

export class QuotaRule {
    readonly violations: QuotaViolation[] = [];
    /** Time in ms for which a limit counts after it was replaced, as starts may be on their way. */
    grace = 3000;
    readonly #jobs = new Map<string, jobState.Job>();
    readonly #running = new Map<string, Record<(typeof resources)[number], number>>();
    #periods: LimitPeriod[] = [];

    constructor(private readonly now: () => number) {}

    addJob(job: jobState.Job): void {
        this.#jobs.set(job.id, job);
    }

    setLimits(organisations: readonly platform.operatorRecords.Organisation[]): void {
        const limits = new Map(organisations.map(({ name, limit }) => [name, limit]));
        this.#periods = [...this.#periods, { from: this.now(), limits }];
    }

    /** What the organisation has running on all servers. */
    measure(organisation: string): Readonly<Record<(typeof resources)[number], number>> {
        return this.#running.get(organisation) ?? { cpu: 0, memory: 0, accelerators: 0 };
    }

    recordStart(task: string): void {
        const { organisation, demand } = this.#find(task);
        if (organisation === undefined) {
            return;
        }
        const running = this.#add(organisation, demand, 1);
        for (const resource of resources) {
            const limit = this.#findLimit(organisation, resource);
            if (running[resource] > limit * (1 + overrun) + demand[resource]) {
                const at = Math.round(this.now());
                this.violations.push({ at, task, organisation, resource, running: running[resource], limit });
            }
        }
    }

    recordEnd(task: string): void {
        const { organisation, demand } = this.#find(task);
        if (organisation !== undefined) {
            this.#add(organisation, demand, -1);
        }
    }

    #add(organisation: string, demand: jobState.Demand, count: number): Record<(typeof resources)[number], number> {
        const running = { ...this.measure(organisation) };
        resources.forEach(resource => running[resource] += count * demand[resource]);
        this.#running.set(organisation, running);
        return running;
    }

    /** The highest limit of those that may be in force. */
    #findLimit(organisation: string, resource: (typeof resources)[number]): number {
        const until = (i: number) => this.#periods[i + 1]?.from ?? Number.POSITIVE_INFINITY;
        const limits = this.#periods
            .filter((_, i) => until(i) + this.grace > this.now())
            .map(({ limits: byName }) => byName.get(organisation)?.[resource] ?? 0);
        return limits.length === 0 || limits.includes(0) ? Number.POSITIVE_INFINITY : Math.max(...limits);
    }

    /** Of a task's name, the first part is its job and the third its step. */
    #find(task: string): { readonly organisation: string | undefined; readonly demand: jobState.Demand; } {
        const [id, , step] = task.split(".");
        const job = this.#jobs.get(id!)!;
        return { organisation: job.organisation, demand: job.steps[Number(step)]!.demand };
    }
}
