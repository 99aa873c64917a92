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

/** Times its estimate that a step usually takes: its longest task counts. Median of 276 steps of a day with trouble. */
const usualOverrun = 1.2;
/** Most times its estimate that a step's time is believed to be; what takes longer ran on a slow server. */
const maxOverrun = 3;
/** Share of what remains by which a job that has begun may be behind: estimates are rough, and what is done would be lost. */
const begunTolerance = 0.3;
/** Share of what remains that a job needs as slack to begin at all, lest its last step miss by little. */
const beginMargin = 0.15;
/** A job that takes this many times its objective is of no use to its caller any more. */
const uselessAfter = 3;

/**
 * Expected time in ms of each step: the longest that one of its tasks was seen to take, else the caller's estimate.
 * Estimates are rough, and the objective goes by the real times: a job whose first step took long has more time, too.
 */
export function expectStepTimes(job: jobState.Job, seen: ReadonlyMap<number, number>): number[] {
    return job.steps.map((step, i) =>
        Math.min(seen.get(i) ?? usualOverrun * step.estimate, maxOverrun * step.estimate)
    );
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

/** What a job that starts now is still worth to its caller; smaller goes first. */
export const Prospect = {
    /** It can meet its objective. */
    inTime: 0,
    /** It will be late, but of use. */
    late: 1,
    /** Its caller has no use for it any more. */
    useless: 2,
} as const;
export type Prospect = (typeof Prospect)[keyof typeof Prospect];

/** Order of two candidates; smaller goes first. */
export interface Rank {
    readonly longRunning: boolean;
    readonly priority: number;
    readonly prospect: Prospect;
    /** Some of the job is done or runs. Finishing it comes before beginning another, lest both be late. */
    readonly begun: boolean;
    /** Ms that the candidate can still wait and meet its objective. */
    readonly slack: number;
}

export function compareRanks(a: Rank, b: Rank): number {
    if (a.longRunning !== b.longRunning) {
        return a.longRunning ? -1 : 1;
    }
    return a.prospect - b.prospect || a.priority - b.priority || Number(b.begun) - Number(a.begun)
        || a.slack - b.slack;
}

/** What is left of an occurrence, as times in ms. */
export interface Remainder {
    /** Unix time at which its caller began to wait. */
    readonly due: number;
    /** Unix time until which it has to be complete. */
    readonly objective: number;
    /** Longest chain of work that is left. */
    readonly chain: number;
    readonly longRunning: boolean;
    readonly begun: boolean;
}

/** Ranks what remains of an occurrence at `now`, Unix time in ms. */
export function rank(left: Remainder, policy: QueuePolicy, now: number): Rank {
    const { longRunning, begun } = left;
    const slack = left.objective - now - left.chain;
    return { longRunning, priority: policy.priority, prospect: judge(left, slack, now), begun, slack };
}

function judge(left: Remainder, slack: number, now: number): Prospect {
    const needed = left.begun ? -begunTolerance * left.chain : beginMargin * left.chain;
    if (left.longRunning || slack >= needed) {
        return Prospect.inTime;
    }
    return now + left.chain <= findLastUse(left.due, left.objective) ? Prospect.late : Prospect.useless;
}

/** Unix time in ms after which a caller that began to wait at `due` has no use for the job any more. */
export function findLastUse(due: number, objective: number): number {
    return due + uselessAfter * (objective - due);
}
