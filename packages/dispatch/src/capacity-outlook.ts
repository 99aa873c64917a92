/**
 * Estimates how long new jobs will wait because capacity is short, for the processes that accept or refuse them: jobs
 * beyond their organisation's committed rate by service, and jobs of an organisation behind its own work by its quota.
 *
 * The estimates are low: they leave out what arrives meanwhile. A wait counts only while no server is free that the
 * service could get.
 */
import type * as jobState from "@catkinwharf/job-state";
import type * as platform from "@catkinwharf/platform";
import * as scheduling from "@catkinwharf/scheduling";
import type * as jobRegistry from "./job-registry.js";
import type * as session from "./server-session.js";

/** Wait in ms below which nothing is published. */
const minWait = 200;
/** Smallest share of a service's capacity that jobs beyond the committed rate are taken to get. */
const minShareLeft = 0.1;
/** Resources that a quota limits. */
const resources = ["cpu", "memory", "accelerators"] as const;

export interface OutlookInput {
    readonly configuration: platform.operatorRecords.Configuration | undefined;
    /** Steps with ready tasks, by service. */
    readonly candidates: ReadonlyMap<string, readonly jobRegistry.Candidate[]>;
    readonly servers: readonly session.ServerSession[];
    /** What each organisation has running; updated. */
    readonly quota: scheduling.QuotaUsage;
    /** Whether there are empty machines that no pool needs; a service that is short gets them. */
    readonly hasSpareMachines: boolean;
    /** Ms for which a task occupies its server beyond its own time, and by which the start of a new job is delayed. */
    readonly taskDelay: number;
    /** Whether a job lies beyond its organisation's committed rate. */
    readonly isBeyondRate: (job: jobState.Job) => boolean;
}

/** Returns `undefined` if there is no wait to speak of, and always without organisations. */
export function estimateWaits(input: OutlookInput): jobState.ExpectedWaits | undefined {
    const organisations = input.configuration?.organisations ?? [];
    if (organisations.length === 0) {
        return undefined;
    }
    const quota: Record<string, number> = {};
    const work = sumOnTimeWork(input);
    for (const { name, limit } of organisations) {
        const wait = estimateQuotaWait(limit, input.quota.find(name), work.get(name), input.taskDelay);
        if (wait >= minWait) {
            quota[name] = Math.round(wait);
        }
    }
    const beyondRate: Record<string, number> = {};
    // Work that quotas hold back takes no capacity: what may start is added to the usage.
    for (const [service, candidates] of input.hasSpareMachines ? [] : input.candidates) {
        const wait = estimateBeyondRateWait(service, candidates, input);
        if (wait >= minWait) {
            beyondRate[service] = Math.round(wait);
        }
    }
    return Object.keys(beyondRate).length + Object.keys(quota).length > 0 ? { beyondRate, quota } : undefined;
}

/** Ms until the work that goes before a new job beyond the committed rate has started. */
function estimateBeyondRateWait(
    service: string,
    candidates: readonly jobRegistry.Candidate[],
    { servers, quota, taskDelay, isBeyondRate }: OutlookInput,
): number {
    let readyCpu = 0;
    let work = 0;
    for (const { active, ready, rank } of candidates) {
        const step = active.job.steps[ready.step]!;
        const goesBefore = rank.timeliness === scheduling.Timeliness.onTime
            || (rank.timeliness === scheduling.Timeliness.late && !rank.beyondRate);
        if (goesBefore && !step.filler) {
            const count = quota.countAllowed(active.job.organisation, step, ready.tasks.size);
            quota.add(active.job.organisation, step.demand, count);
            readyCpu += count * step.demand.cpu;
            work += rank.longRunning ? 0 : count * step.demand.cpu * (step.estimate + taskDelay);
        }
    }
    let capacity = 0;
    let free = 0;
    let within = 0;
    for (const { entry, load, runs } of servers) {
        if (entry.service !== service || !load.acceptsTasks) {
            continue;
        }
        capacity += entry.cpu;
        free += Math.max(0, load.freeCpu);
        for (const { entry: { job }, step } of runs.values()) {
            within += job === undefined || step.filler || isBeyondRate(job) ? 0 : step.demand.cpu;
        }
    }
    return capacity === 0 || readyCpu <= free
        ? 0
        : work / Math.max(minShareLeft * capacity, capacity - within) + taskDelay;
}

/** Ready tasks of an organisation that go before those of a new job within its rate. */
interface ReadyWork {
    /** What they would occupy together. */
    readonly demand: Record<keyof jobState.Demand, number>;
    /** The same times the ms for which they occupy it. */
    readonly work: Record<keyof jobState.Demand, number>;
}

/** Sums the ready tasks that can be on time, by organisation. */
function sumOnTimeWork({ candidates, taskDelay }: OutlookInput): Map<string, ReadyWork> {
    const sums = new Map<string, ReadyWork>();
    for (const list of candidates.values()) {
        for (const { active: { job }, ready, rank } of list) {
            if (
                job.organisation === undefined || rank.longRunning
                || rank.timeliness !== scheduling.Timeliness.onTime
            ) {
                continue;
            }
            const step = job.steps[ready.step]!;
            const sum = sums.get(job.organisation) ?? {
                demand: { cpu: 0, memory: 0, accelerators: 0 },
                work: { cpu: 0, memory: 0, accelerators: 0 },
            };
            sums.set(job.organisation, sum);
            for (const resource of resources) {
                const demand = ready.tasks.size * step.demand[resource];
                sum.demand[resource] += demand;
                sum.work[resource] += demand * (step.estimate + taskDelay);
            }
        }
    }
    return sums;
}

/** Ms until the organisation's ready work that goes before a new job has started, by its quota. */
function estimateQuotaWait(
    limit: jobState.Demand,
    usage: jobState.Demand,
    ready: ReadyWork | undefined,
    taskDelay: number,
): number {
    if (ready === undefined) {
        return 0;
    }
    const exceeded = resources.filter(resource =>
        limit[resource] > 0 && usage[resource] + ready.demand[resource] > limit[resource]
    );
    return exceeded.length === 0
        ? 0
        : Math.max(...exceeded.map(resource => ready.work[resource] / limit[resource])) + taskDelay;
}
