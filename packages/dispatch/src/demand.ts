/**
 * Measures what each service's pool has to do: the work that arrives, the work that waits, and what can't be moved.
 */
import type * as jobState from "@catkinwharf/job-state";
import type * as platform from "@catkinwharf/platform";
import * as scheduling from "@catkinwharf/scheduling";
import type * as fleet from "./fleet.js";
import type * as jobBoard from "./job-board.js";

/** Least time in ms over which arrivals are averaged; short against the seconds that a burst lasts. */
const arrivalSpan = 1000;
/** How much faster the fast average follows. */
const fastFactor = 3;
/** The fast average counts when it is this many times the slow one. */
const fastLead = 1.4;
/** Share of the fast average that counts; it overshoots. */
const fastTrust = 0.8;
/** Share with which work of such jobs counts: it is done with what others leave, and moves few machines. */
const uselessWeight = 0.2;
/** Least time in ms within which a backlog should be worked off. */
const minClearance = 800;
/** Share of an earlier burst at whose return the whole of it is expected. */
const burstOnset = 0.3;
/** Time in ms in which the memory of a burst fades by a factor of e. */
const burstMemory = 60_000;
/** Share of the remembered burst below which the burst is over. */
const burstEnd = 0.15;
/** Time in ms for which a burst that begins is expected to reach the one before; then the arrivals have shown it. */
const burstRise = 1500;

/** Arrivals of one service's queues. */
interface Arrivals {
    /** Cores that the jobs which arrived keep busy over their span. */
    rate: number;
    /** The same over a third of the span: shows a burst sooner. */
    fastRate: number;
    /** Ms that jobs can usually wait and still meet their objective. */
    slack: number;
    /** Ms over which the rate is averaged: the longer the jobs' chains, the longer. */
    span: number;
    at: number;
    /** Highest rate of the last burst. */
    peak: number;
    bursting: boolean;
    /** On the steady clock: until then the last burst's peak is expected. */
    expectedUntil: number;
    /** Priority of the queue whose job arrived last; 0 comes first. */
    priority: number;
}

export class DemandMeter {
    readonly #arrivals = new Map<string, Arrivals>();
    /** On the steady clock: when work was first seen; before that nothing is known of the demand. */
    firstWorkAt: number | undefined;

    constructor(private readonly board: jobBoard.JobBoard, private readonly fleet: fleet.Fleet) {}

    /** A job was taken in at `now`, on the steady clock, ms. */
    noteArrival(active: jobBoard.ActiveJob, now: number): void {
        const arrivals = this.#find(active.route.service, now);
        decay(arrivals, now);
        const work = measureWork(active.job, this.#findShape());
        if (work > 0) {
            this.firstWorkAt ??= now;
            arrivals.span += (Math.max(arrivalSpan, active.chain) - arrivals.span) / 8;
            arrivals.rate += work / (arrivals.span / 1000);
            arrivals.fastRate += fastFactor * work / (arrivals.span / 1000);
            const slack = (active.route.slackFactor - 1) * active.chain + active.route.latencyTarget;
            arrivals.slack += (slack - arrivals.slack) / 8;
            arrivals.priority = active.route.priority;
            noteBurst(arrivals);
        }
    }

    /** What every pool has to do at `now`, on the steady clock, ms; `wall` is Unix time in ms. */
    list(
        configuration: platform.operatorRecords.Configuration | undefined,
        now: number,
        wall: number,
    ): scheduling.PoolDemand[] {
        const backlogs = this.#measureBacklogs(now, wall);
        const floors = this.#countFloors();
        return (configuration?.services ?? []).map(service => {
            const arrivals = this.#find(service.name, now);
            decay(arrivals, now);
            return {
                service: service.name,
                standby: service.standby,
                clearance: Math.max(minClearance, arrivals.slack),
                arriving: now < arrivals.expectedUntil
                    ? Math.max(arrivals.rate, arrivals.peak)
                    : estimateRate(arrivals),
                backlog: backlogs.get(service.name) ?? 0,
                floor: floors.get(service.name) ?? 0,
                priority: arrivals.priority,
            };
        });
    }

    #findShape(): Shape {
        for (const server of this.fleet.sessions.values()) {
            if (server.entry.cpu > 0) {
                return Math.max(1, server.entry.memory / server.entry.cpu);
            }
        }
        return Number.POSITIVE_INFINITY;
    }

    #find(service: string, now: number): Arrivals {
        let found = this.#arrivals.get(service);
        if (found === undefined) {
            found = {
                rate: 0,
                fastRate: 0,
                slack: minClearance,
                span: arrivalSpan,
                at: now,
                peak: 0,
                bursting: false,
                expectedUntil: 0,
                priority: 0,
            };
            this.#arrivals.set(service, found);
        }
        return found;
    }

    /** Core-seconds that are left of the tasks that run, and of those that could. */
    #measureBacklogs(now: number, wall: number): Map<string, number> {
        const backlogs = new Map<string, number>();
        const shape = this.#findShape();
        for (const server of this.fleet.sessions.values()) {
            let left = 0;
            for (const run of server.runs.values()) {
                const share = 1 - Math.min(1, (now - run.orderedAt) / Math.max(1, run.step.estimate));
                left += run.step.longRunning ? 0 : measureTask(run.step, shape) * share;
            }
            backlogs.set(server.entry.service, (backlogs.get(server.entry.service) ?? 0) + left);
        }
        for (const active of this.board.active.values()) {
            let work = 0;
            for (const ready of active.readiness?.steps ?? []) {
                const step = active.job.steps[ready.step]!;
                work += step.longRunning ? 0 : ready.tasks.length * measureTask(step, shape);
            }
            work *= isUseless(active, wall) ? uselessWeight : 1;
            backlogs.set(active.route.service, (backlogs.get(active.route.service) ?? 0) + work);
        }
        return backlogs;
    }

    /** Servers that hold long-running tasks, and those that waiting ones need. */
    #countFloors(): Map<string, number> {
        const floors = new Map<string, number>();
        for (const server of this.fleet.sessions.values()) {
            if (server.load.longRunningTasks > 0) {
                floors.set(server.entry.service, (floors.get(server.entry.service) ?? 0) + 1);
            }
        }
        for (const active of this.board.active.values()) {
            for (const ready of active.readiness?.steps ?? []) {
                const step = active.job.steps[ready.step]!;
                if (step.longRunning) {
                    const needed = step.maxPerServer > 0 ? Math.ceil(step.taskCount / step.maxPerServer) : 1;
                    floors.set(active.route.service, Math.max(floors.get(active.route.service) ?? 0, needed));
                }
            }
        }
        for (const server of this.fleet.sessions.values()) {
            if (server.reserved && server.load.longRunningTasks > 0) {
                floors.set(server.entry.service, (floors.get(server.entry.service) ?? 0) + 1);
            }
        }
        return floors;
    }
}

function isUseless(active: jobBoard.ActiveJob, wall: number): boolean {
    const objective = scheduling.findObjective(active.job, 0, active.chain, active.route);
    return active.job.repetition === undefined && wall > scheduling.findLastUse(active.job.submittedAt, objective);
}

function decay(arrivals: Arrivals, now: number): void {
    const passed = Math.max(0, now - arrivals.at);
    arrivals.rate *= Math.exp(-passed / arrivals.span);
    arrivals.fastRate *= Math.exp(-fastFactor * passed / arrivals.span);
    arrivals.peak *= Math.exp(-passed / burstMemory);
    arrivals.at = now;
    if (arrivals.bursting && arrivals.rate < arrivals.peak * burstEnd) {
        arrivals.bursting = false;
    }
}

/** Cores that the arriving work needs; rising sooner than the average, and falling with it. */
function estimateRate(arrivals: Arrivals): number {
    return arrivals.fastRate > arrivals.rate * fastLead
        ? Math.max(arrivals.rate, arrivals.fastRate * fastTrust)
        : arrivals.rate;
}

/** A rate that comes near that of an earlier burst is taken for the next one. */
function noteBurst(arrivals: Arrivals): void {
    if (!arrivals.bursting && arrivals.peak > 0 && arrivals.rate >= arrivals.peak * burstOnset) {
        arrivals.bursting = true;
        arrivals.expectedUntil = arrivals.at + burstRise;
    }
    arrivals.peak = Math.max(arrivals.peak, arrivals.rate);
}

/** Megabytes for each thousandth of a core, on the servers at hand. */
type Shape = number;

/**
 * Core-seconds of one task by its caller's estimate. A task that takes more of a server's memory than of its cores counts
 * with the cores that it keeps from others.
 */
function measureTask(step: jobState.Step, shape: Shape): number {
    return step.filler ? 0 : Math.max(step.demand.cpu, step.demand.memory / shape) / 1000 * (step.estimate / 1000);
}

/** Core-seconds of a job; long-running tasks count as none. */
function measureWork(job: jobState.Job, shape: Shape): number {
    return job.steps.reduce(
        (sum, step) => sum + (step.longRunning ? 0 : step.taskCount * measureTask(step, shape)),
        0,
    );
}
