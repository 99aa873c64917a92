/**
 * Measures the demand on each service's pool: the arriving work, the backlog, and the instances that long-running tasks
 * need. Work counts as arriving when a caller asks for it, whether or not it can be stored then.
 */
import type * as jobState from "@catkinwharf/job-state";
import type * as platform from "@catkinwharf/platform";
import * as scheduling from "@catkinwharf/scheduling";
import type * as fleet from "./fleet.js";
import type * as jobRegistry from "./job-registry.js";
import * as limitedBacklogs from "./limited-backlogs.js";

/** Shortest time in ms over which arrivals are averaged; short compared with bursts, which last seconds. */
const minArrivalSpan = 1000;
/** How many times faster the fast average follows the arrivals than the slow one. */
const fastFactor = 3;
/** The fast average is used when it exceeds the slow one by this factor. */
const fastRateThreshold = 1.4;
/**
 * Part of the difference between the averages by which arrivals are expected to rise further until a machine that is
 * ordered now can work. The averages of a steady rise differ by what it gains in two thirds of the slow one's span.
 */
const trendWeight = 1;
/**
 * Weight of expired jobs, which finish too late to be of use to their callers, in the backlog: they run on capacity
 * that other jobs leave unused, and should cause few machine moves.
 */
const expiredJobWeight = 0.2;
/**
 * Weight of jobs beyond their organisation's committed rate, as arrivals and in the backlog: their organisation has no
 * claim to machines that others may need.
 */
const beyondRateWeight = expiredJobWeight;
/** Shortest time in ms within which a pool is asked to clear its backlog. */
const minAllowedWait = 800;
/** Share of the last burst's peak at which a new burst of the same height is expected. */
const burstStartShare = 0.3;
/** Time in ms in which the remembered peak of a burst decays by a factor of e. */
const burstDecayTime = 60_000;
/** Share of the remembered peak below which a burst is over. */
const burstEndShare = 0.15;
/** Time in ms after the start of a burst for which the last peak is assumed; then the measured arrivals suffice. */
const burstRiseTime = 1500;

/**
 * Time in ms for which a job that couldn't be stored is remembered, so that it counts once although its caller sends it
 * again; longer than callers go on.
 */
const unstoredRetention = 30_000;

/** Arrivals of one service's queues. */
interface Arrivals {
    /** Cores that the arriving jobs need, averaged over `span`. */
    rate: number;
    /** The same over a third of `span`; shows a burst sooner. */
    fastRate: number;
    /** Average time in ms that jobs can wait and still meet the latency objective of their route. */
    slack: number;
    /** Ms over which the rate is averaged; grows with the jobs' chains of dependent steps. */
    span: number;
    /** On the monotonic clock: when decay was last applied to the averages. */
    updatedAt: number;
    /** Highest rate of the last burst, decaying. */
    peak: number;
    bursting: boolean;
    /** On the monotonic clock: until then the last burst's peak is assumed as the rate. */
    expectedUntil: number;
    /** Priority of the queue whose job arrived last; 0 comes first. */
    priority: number;
}

export class DemandMeter {
    readonly #arrivals = new Map<string, Arrivals>();
    readonly #quotaDemand = new scheduling.QuotaDemand();
    /** On the monotonic clock: arrival of each job that counted before it was stored, by job ID, in order of time. */
    readonly #unstored = new Map<string, number>();
    /**
     * On the monotonic clock: end of the takeover if it found jobs, else arrival of the first job that adds to the
     * demand. Before that the demand is unknown.
     */
    demandKnownSince: number | undefined;

    constructor(private readonly registry: jobRegistry.JobRegistry, private readonly fleet: fleet.Fleet) {}

    applyConfiguration({ organisations }: platform.operatorRecords.Configuration): void {
        this.#quotaDemand.setLimits(new Map(organisations.map(({ name, limit }) => [name, limit])));
    }

    /** Adds a job that was stored at `now`, on the monotonic clock, ms, to the averages, if it hasn't counted before. */
    recordArrival(active: jobRegistry.ArrivingJob, now: number): void {
        if (!this.#unstored.has(active.job.id)) {
            this.#addToAverages(active, now);
        }
    }

    /**
     * Adds a job that its caller submitted, but that couldn't be stored, to the averages: the caller is likely to send it
     * again, and others like it are to be expected.
     */
    recordUnstored(arriving: jobRegistry.ArrivingJob, now: number): void {
        this.#forgetUnstored(now);
        if (!this.#unstored.has(arriving.job.id)) {
            this.#unstored.set(arriving.job.id, now);
            this.#addToAverages(arriving, now);
        }
    }

    /**
     * Adds the jobs that were submitted before a takeover to the averages, as the earlier coordinator did. `now` is on
     * the monotonic clock, `wall` Unix time, both in ms.
     */
    restoreArrivals(submitted: Iterable<jobState.Job>, now: number, wall: number): void {
        const recent = [...submitted].filter(job => Math.abs(wall - job.submittedAt) < burstDecayTime);
        // Clocks may differ, so ages count from the newest job: no job then counts as younger than it is.
        const latest = recent.reduce((max, job) => Math.max(max, job.submittedAt), wall);
        recent.sort((a, b) => a.submittedAt - b.submittedAt);
        for (const job of recent) {
            this.recordArrival(this.registry.describe(job), now - (latest - job.submittedAt));
        }
    }

    #forgetUnstored(now: number): void {
        for (const [id, arrivedAt] of this.#unstored) {
            if (now - arrivedAt < unstoredRetention) {
                return;
            }
            this.#unstored.delete(id);
        }
    }

    #addToAverages(active: jobRegistry.ArrivingJob, now: number): void {
        const { route } = active;
        if (route === undefined) {
            return;
        }
        const arrivals = this.#findArrivals(route.service, now);
        decay(arrivals, now);
        const work = measureWork(active.job, this.#findMemoryPerCpu());
        if (work > 0) {
            this.demandKnownSince ??= now;
            // Span and slack are averaged over about 8 arrivals.
            arrivals.span += (Math.max(minArrivalSpan, active.criticalPath) - arrivals.span) / 8;
            const counted = work * this.#weighArrival(active.job, arrivals.span, now);
            arrivals.rate += counted / (arrivals.span / 1000);
            arrivals.fastRate += fastFactor * counted / (arrivals.span / 1000);
            const slack = (route.slackFactor - 1) * active.criticalPath + route.latencyAllowance;
            arrivals.slack += (slack - arrivals.slack) / 8;
            arrivals.priority = route.priority;
            detectBurst(arrivals);
        }
    }

    /** Share of an arriving job's work that counts as demand; 1 without organisations. */
    #weighArrival(job: jobState.Job, span: number, now: number): number {
        const weight = this.registry.isBeyondRate(job) ? beyondRateWeight : 1;
        return this.#quotaDemand.hasQuota(job.organisation)
            ? weight
                * this.#quotaDemand.addArrival(job.organisation, limitedBacklogs.sumWork(job.steps, weight), span, now)
            : weight;
    }

    /** Demand on every pool at `now`, on the monotonic clock, ms; `wall` is Unix time in ms. */
    list(
        configuration: platform.operatorRecords.Configuration | undefined,
        now: number,
        wall: number,
    ): scheduling.PoolDemand[] {
        const backlogs = this.#measureBacklogs(now, wall);
        const floors = this.#countFloors();
        return (configuration?.services ?? []).map(service => {
            const arrivals = this.#findArrivals(service.name, now);
            decay(arrivals, now);
            return {
                service: service.name,
                standby: service.standby,
                allowedWait: Math.max(minAllowedWait, arrivals.slack),
                arrivingCores: now < arrivals.expectedUntil
                    ? Math.max(arrivals.rate, arrivals.peak)
                    : estimateRate(arrivals),
                backlog: backlogs.get(service.name) ?? 0,
                floor: floors.get(service.name) ?? 0,
                priority: arrivals.priority,
            };
        });
    }

    #findMemoryPerCpu(): MemoryPerCpu {
        for (const server of this.fleet.sessions.values()) {
            if (server.entry.cpu > 0) {
                return Math.max(1, server.entry.memory / server.entry.cpu);
            }
        }
        return Number.POSITIVE_INFINITY;
    }

    #findArrivals(service: string, now: number): Arrivals {
        let found = this.#arrivals.get(service);
        if (found === undefined) {
            found = {
                rate: 0,
                fastRate: 0,
                slack: minAllowedWait,
                span: minArrivalSpan,
                updatedAt: now,
                peak: 0,
                bursting: false,
                expectedUntil: 0,
                priority: 0,
            };
            this.#arrivals.set(service, found);
        }
        return found;
    }

    /** Remaining core-seconds of running and startable tasks, by service. */
    #measureBacklogs(now: number, wall: number): Map<string, number> {
        const backlogs = new Map<string, number>();
        const limited = new limitedBacklogs.LimitedBacklogs(service => this.#findHorizon(service, now));
        const memoryPerCpu = this.#findMemoryPerCpu();
        for (const server of this.fleet.sessions.values()) {
            let work = 0;
            for (const run of server.runs.values()) {
                const remainingShare = 1 - Math.min(1, (now - run.startSentAt) / Math.max(1, run.step.estimate));
                work += run.step.longRunning ? 0 : measureTask(run.step, memoryPerCpu) * remainingShare;
                const organisation = run.entry.job?.organisation;
                if (this.#quotaDemand.hasQuota(organisation)) {
                    limited.addRunning(organisation, server.entry.service, run.step, remainingShare);
                }
            }
            backlogs.set(server.entry.service, (backlogs.get(server.entry.service) ?? 0) + work);
        }
        for (const active of this.registry.active.values()) {
            const { route } = active;
            if (route === undefined) {
                continue;
            }
            let work = 0;
            for (const ready of active.readiness?.steps ?? []) {
                const step = active.job.steps[ready.step]!;
                work += step.longRunning ? 0 : ready.tasks.size * measureTask(step, memoryPerCpu);
            }
            const weight = isExpired(active, wall)
                ? expiredJobWeight
                : this.registry.isBeyondRate(active.job)
                ? beyondRateWeight
                : 1;
            const { organisation } = active.job;
            if (this.#quotaDemand.hasQuota(organisation)) {
                limited.addReady(organisation, route.service, active, weight, work);
                continue;
            }
            work *= weight;
            backlogs.set(route.service, (backlogs.get(route.service) ?? 0) + work);
        }
        limited.addTo(backlogs, this.#quotaDemand, now);
        return backlogs;
    }

    /** Time in s in which a pool works off its backlog, from an order for machines on. */
    #findHorizon(service: string, now: number): number {
        const allowedWait = Math.max(minAllowedWait, this.#findArrivals(service, now).slack);
        return (scheduling.defaultPoolPolicy.moveTime + allowedWait) / 1000;
    }

    /**
     * Instances that each pool needs for long-running tasks: the larger of the number that run such tasks and the
     * largest number that a waiting step needs, plus one for each that runs such tasks and is to be moved or
     * maintained.
     */
    #countFloors(): Map<string, number> {
        const floors = new Map<string, number>();
        for (const server of this.fleet.sessions.values()) {
            if (server.load.longRunningRunCount > 0) {
                floors.set(server.entry.service, (floors.get(server.entry.service) ?? 0) + 1);
            }
        }
        for (const active of this.registry.active.values()) {
            const { route } = active;
            if (route === undefined) {
                continue;
            }
            for (const ready of active.readiness?.steps ?? []) {
                const step = active.job.steps[ready.step]!;
                if (step.longRunning) {
                    const count = this.#quotaDemand.countRunnable(active.job.organisation, step);
                    const needed = step.maxPerServer > 0 ? Math.ceil(count / step.maxPerServer) : 1;
                    floors.set(route.service, Math.max(floors.get(route.service) ?? 0, needed));
                }
            }
        }
        for (const server of this.fleet.sessions.values()) {
            if (server.reservedForOrder && server.load.longRunningRunCount > 0) {
                floors.set(server.entry.service, (floors.get(server.entry.service) ?? 0) + 1);
            }
        }
        return floors;
    }
}

/**
 * Whether the result is too late to be of use to the job's caller; `wall` is Unix time in ms. Repeated jobs never
 * expire.
 */
export function isExpired(active: jobRegistry.ActiveJob, wall: number): boolean {
    const { route } = active;
    if (route === undefined) {
        return false;
    }
    const objective = scheduling.computeObjective(active.job, 0, active.criticalPath, route);
    return active.job.repetition === undefined && wall > scheduling.computeExpiry(active.job.submittedAt, objective);
}

function decay(arrivals: Arrivals, now: number): void {
    const elapsed = Math.max(0, now - arrivals.updatedAt);
    arrivals.rate *= Math.exp(-elapsed / arrivals.span);
    arrivals.fastRate *= Math.exp(-fastFactor * elapsed / arrivals.span);
    arrivals.peak *= Math.exp(-elapsed / burstDecayTime);
    arrivals.updatedAt = now;
    if (arrivals.bursting && arrivals.rate < arrivals.peak * burstEndShare) {
        arrivals.bursting = false;
    }
}

/** Cores that the arriving work needs: rises with the fast average, falls with the slow one. */
function estimateRate(arrivals: Arrivals): number {
    return arrivals.fastRate > arrivals.rate * fastRateThreshold
        ? arrivals.fastRate + trendWeight * (arrivals.fastRate - arrivals.rate)
        : arrivals.rate;
}

/** Treats a rate that reaches a share of the last burst's peak as the start of the next burst. */
function detectBurst(arrivals: Arrivals): void {
    if (!arrivals.bursting && arrivals.peak > 0 && arrivals.rate >= arrivals.peak * burstStartShare) {
        arrivals.bursting = true;
        arrivals.expectedUntil = arrivals.updatedAt + burstRiseTime;
    }
    arrivals.peak = Math.max(arrivals.peak, arrivals.rate);
}

/** Megabytes of memory per thousandth of a core on the servers. */
type MemoryPerCpu = number;

/**
 * Core-seconds of one task by its caller's estimate; `step.demand` is what one task needs. A task that takes a larger
 * share of a server's memory than of its cores counts with the cores that other tasks can't use for lack of memory.
 */
function measureTask(step: jobState.Step, memoryPerCpu: MemoryPerCpu): number {
    return step.filler
        ? 0
        : Math.max(step.demand.cpu, step.demand.memory / memoryPerCpu) / 1000 * (step.estimate / 1000);
}

/** Core-seconds of a job, without its long-running tasks. */
function measureWork(job: jobState.Job, memoryPerCpu: MemoryPerCpu): number {
    return job.steps.reduce(
        (sum, step) => sum + (step.longRunning ? 0 : step.taskCount * measureTask(step, memoryPerCpu)),
        0,
    );
}
