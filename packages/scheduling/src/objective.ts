/**
 * When a job has to be complete to be worth its full value to its caller, and the order that follows.
 *
 * Load: bursts in which a queue asks for several times what its pool can do. Jobs that can still meet their objective
 * go first, by the time that they can still wait; those that can't yield to them.
 */
import * as jobState from "@catkinwharf/job-state";

export interface QueuePolicy {
    readonly priority: number;
    /** The objective is this many times the longest chain of work. */
    readonly slackFactor: number;
    /** Ms that come on top. */
    readonly latencyTarget: number;
}

/** Most times its estimate that a step's time is believed to be; what takes longer ran on a slow server. */
const maxOverrun = 3;

/**
 * Expected time in ms of each step: the longest that one of its tasks was seen to take, else the caller's estimate.
 * Estimates are rough, and the objective goes by the real times: a job whose first step took long has more time, too.
 */
export function expectStepTimes(job: jobState.Job, seen: ReadonlyMap<number, number>): number[] {
    return job.steps.map((step, i) => Math.min(seen.get(i) ?? step.estimate, maxOverrun * step.estimate));
}

/** Time in ms of the longest chain of dependent steps, by the expected time of each. */
export function measureChain(job: jobState.Job, times: readonly number[]): number {
    return Math.max(0, ...measureRemaining(job, times));
}

/** Time in ms of the longest chain of work from the beginning of each step to the end of the job. */
export function measureRemaining(job: jobState.Job, times: readonly number[]): number[] {
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

/** Unix time in ms until which the occurrence has to be complete. */
export function findObjective(job: jobState.Job, occurrence: number, chain: number, policy: QueuePolicy): number {
    return jobState.findDueTime(job, occurrence) + policy.slackFactor * chain + policy.latencyTarget;
}

/** Order of two candidates; smaller goes first. */
export interface Rank {
    readonly longRunning: boolean;
    readonly priority: number;
    /** The objective can't be met any more. */
    readonly hopeless: boolean;
    /** Some of the job is done or runs. Finishing it comes before beginning another, lest both be late. */
    readonly begun: boolean;
    /** Ms that the candidate can still wait and meet its objective. */
    readonly slack: number;
}

export function compareRanks(a: Rank, b: Rank): number {
    if (a.longRunning !== b.longRunning) {
        return a.longRunning ? -1 : 1;
    }
    if (a.hopeless !== b.hopeless) {
        return a.hopeless ? 1 : -1;
    }
    return a.priority - b.priority || Number(b.begun) - Number(a.begun) || a.slack - b.slack;
}

/** Ranks what remains of an occurrence at `now`, Unix time in ms. */
export function rank(
    objective: number,
    remainingChain: number,
    longRunning: boolean,
    begun: boolean,
    policy: QueuePolicy,
    now: number,
): Rank {
    const slack = objective - now - remainingChain;
    return { longRunning, priority: policy.priority, hopeless: !longRunning && slack < 0, begun, slack };
}
