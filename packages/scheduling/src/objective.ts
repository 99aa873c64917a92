/**
 * Latency objectives of jobs, and the scheduling order that follows from them. A job has its full value to its caller
 * if it is complete by its objective.
 *
 * In a burst, a queue demands several times the capacity of its pool. Jobs that can still meet their objective go
 * first, in order of their slack; jobs that can't yield to them.
 */
import * as jobState from "@catkinwharf/job-state";

export interface QueuePolicy {
    readonly priority: number;
    /** The objective allows this many times the critical path. */
    readonly slackFactor: number;
    /** Ms that the objective allows in addition. */
    readonly latencyTarget: number;
}

/**
 * Usual ratio of a step's duration, that of its longest task, to its estimate: the median of 276 steps on a day with
 * faults.
 */
const typicalOverrunFactor = 1.2;
/** Upper bound of a step's expected time, as a multiple of its estimate; a longer time is due to a slow server. */
const maxOverrunFactor = 3;
/**
 * By how much a job that has begun may overrun its objective and still count as on time, as a share of its remaining
 * critical path. Estimates are rough, and deferring the job would lose the work that is done.
 */
const startedLatenessTolerance = 0.3;
/**
 * Slack that a job needs to begin as on time, as a share of its remaining critical path, so that its last step doesn't
 * narrowly miss the objective.
 */
const startSlackMargin = 0.15;
/** A job that takes this many times as long as its objective allows has expired: its caller has no use for it. */
const expiryFactor = 3;

/**
 * Expected time in ms of each step: the longest observed time of one of its tasks, or else the caller's estimate times
 * `typicalOverrunFactor`. Estimates are rough, and the objective depends on the actual times: a job whose first step
 * took long also has a later objective.
 */
export function estimateStepTimes(job: jobState.Job, observed: ReadonlyMap<number, number>): number[] {
    return job.steps.map((step, i) =>
        Math.min(observed.get(i) ?? typicalOverrunFactor * step.estimate, maxOverrunFactor * step.estimate)
    );
}

/** Length in ms of the critical path, the longest chain of dependent steps, by the expected time of each. */
export function computeCriticalPath(job: jobState.Job, times: readonly number[]): number {
    return Math.max(0, ...computeRemainingPaths(job, times));
}

/** Length in ms of the longest chain of dependent steps from the beginning of each step to the end of the job. */
export function computeRemainingPaths(job: jobState.Job, times: readonly number[]): number[] {
    const after = job.steps.map(() => 0);
    const remaining = job.steps.map(() => 0);
    for (let i = job.steps.length - 1; i >= 0; i--) {
        const step = job.steps[i]!;
        remaining[i] = times[i]! + after[i]!;
        for (const earlier of step.dependsOn) {
            after[earlier] = Math.max(after[earlier] ?? 0, remaining[i]!);
        }
    }
    return remaining;
}

/** Unix time in ms by which the occurrence has to be complete. */
export function computeObjective(
    job: jobState.Job,
    occurrence: number,
    criticalPath: number,
    policy: QueuePolicy,
): number {
    return jobState.findDueTime(job, occurrence) + policy.slackFactor * criticalPath + policy.latencyTarget;
}

/** Expected timeliness of a job that runs from now on; lower values go first. */
export const Timeliness = {
    /** It can meet its objective, within the tolerances above. */
    onTime: 0,
    /** It will miss its objective, but its caller can still use it. */
    late: 1,
    /** Its caller will have no use for it any more. */
    expired: 2,
} as const;
export type Timeliness = (typeof Timeliness)[keyof typeof Timeliness];

/** Sort key of a candidate for placement, compared by `compareRanks`; the lowest goes first. */
export interface Rank {
    readonly longRunning: boolean;
    readonly priority: number;
    readonly timeliness: Timeliness;
    /** A task of the job has been started. Such a job goes before one that hasn't begun, or both might be late. */
    readonly begun: boolean;
    /** Ms that the candidate can still wait without missing its objective. */
    readonly slack: number;
}

export function compareRanks(a: Rank, b: Rank): number {
    if (a.longRunning !== b.longRunning) {
        return a.longRunning ? -1 : 1;
    }
    return a.timeliness - b.timeliness || a.priority - b.priority || Number(b.begun) - Number(a.begun)
        || a.slack - b.slack;
}

/** Remaining work of an occurrence, with times in ms. */
export interface RemainingWork {
    /** Unix time at which its caller began to wait. */
    readonly due: number;
    /** Unix time by which it has to be complete. */
    readonly objective: number;
    /** Length of the critical path of the remaining work. */
    readonly criticalPath: number;
    readonly longRunning: boolean;
    readonly begun: boolean;
}

/** Ranks the remaining work of an occurrence at `now`, Unix time in ms. */
export function rank(work: RemainingWork, policy: QueuePolicy, now: number): Rank {
    const { longRunning, begun } = work;
    const slack = work.objective - now - work.criticalPath;
    return { longRunning, priority: policy.priority, timeliness: classifyTimeliness(work, slack, now), begun, slack };
}

function classifyTimeliness(work: RemainingWork, slack: number, now: number): Timeliness {
    const requiredSlack = work.begun
        ? -startedLatenessTolerance * work.criticalPath
        : startSlackMargin * work.criticalPath;
    if (work.longRunning || slack >= requiredSlack) {
        return Timeliness.onTime;
    }
    return now + work.criticalPath <= computeExpiry(work.due, work.objective) ? Timeliness.late : Timeliness.expired;
}

/** Unix time in ms after which a job has expired whose caller began to wait at `due`. */
export function computeExpiry(due: number, objective: number): number {
    return due + expiryFactor * (objective - due);
}
