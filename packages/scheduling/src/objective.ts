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

/** Time in ms of the longest chain of dependent steps, by the caller's estimates and a learnt correction. */
export function measureChain(job: jobState.Job, correction: number): number {
    const ends: number[] = [];
    for (const step of job.steps) {
        const begin = Math.max(0, ...step.dependsOn.map(earlier => ends[earlier] ?? 0));
        ends.push(begin + step.estimate * correction);
    }
    return Math.max(0, ...ends);
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
    return a.priority - b.priority || a.slack - b.slack;
}

/** Ranks what remains of an occurrence at `now`, Unix time in ms. */
export function rank(
    objective: number,
    remainingChain: number,
    longRunning: boolean,
    policy: QueuePolicy,
    now: number,
): Rank {
    const slack = objective - now - remainingChain;
    return { longRunning, priority: policy.priority, hopeless: !longRunning && slack < 0, slack };
}
