/**
 * Latency objectives of jobs, and the scheduling order that follows from them. The objective is the time by which a job
 * has to be complete to have its full value to its caller.
 *
 * In a burst, a queue demands several times the capacity of its pool. Jobs that can still meet their objective go
 * first; jobs that can no longer meet theirs go after them.
 */
import * as jobState from "@catkinwharf/job-state";

/** Settings of the queue of a job. */
export interface QueuePolicy {
    /** 0 is the highest. */
    readonly priority: number;
    /** The objective allows this many times the length of the job's critical path. */
    readonly slackFactor: number;
    /** Ms that the objective allows on top of that multiple. */
    readonly latencyAllowance: number;
}

/**
 * Typical ratio of the duration of a step's longest task to the step's estimate: the median of 276 steps, measured on a
 * day with faults.
 */
const typicalOverrunFactor = 1.2;
/** Upper bound of a step's expected time, as a multiple of its estimate; a longer one is put down to a slow server. */
const maxOverrunFactor = 3;
/**
 * By how much a job that has begun may overrun its objective and still count as on time, as a share of its remaining
 * critical path. Estimates are rough, and deferring the job would lose the work that is done.
 */
const begunLatenessTolerance = 0.3;
/**
 * Slack that a job that hasn't begun needs to count as on time, as a share of its remaining critical path, so that its
 * last step doesn't narrowly miss the objective.
 */
const unbegunSlackMargin = 0.15;
/** A job has expired, and is of no use to its caller, after this many times the time that its objective allows. */
const expiryFactor = 3;

/**
 * Expected time in ms of each step: the longest observed duration of one of its tasks, or else the caller's estimate
 * times `typicalOverrunFactor`; in both cases at most `maxOverrunFactor` times the estimate. The objective follows from
 * these times, since estimates are rough: a job whose first step took long gets a later objective.
 *
 * @param observedDurations longest duration in ms of a task that is done, by step index
 */
export function estimateStepTimes(job: jobState.Job, observedDurations: ReadonlyMap<number, number>): number[] {
    return job.steps.map((step, i) =>
        Math.min(observedDurations.get(i) ?? typicalOverrunFactor * step.estimate, maxOverrunFactor * step.estimate)
    );
}

/**
 * Length in ms of the critical path, the longest chain of dependent steps.
 *
 * @param times expected time in ms of each step
 */
export function computeCriticalPath(job: jobState.Job, times: readonly number[]): number {
    return Math.max(0, ...computeRemainingPaths(job, times));
}

/** For each step, length in ms of the longest chain of dependent steps from its beginning to the end of the job. */
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

/**
 * Unix time in ms by which the occurrence has to be complete.
 *
 * @param criticalPath length in ms of the whole job's critical path
 */
export function computeObjective(
    job: jobState.Job,
    occurrence: number,
    criticalPath: number,
    policy: QueuePolicy,
): number {
    return jobState.findDueTime(job, occurrence) + policy.slackFactor * criticalPath + policy.latencyAllowance;
}

/** Ready tasks from which on a step counts as wide. */
const wideStep = 1000;

/** Expected timeliness of a job that runs from now on; lower values go first. */
export const Timeliness = {
    /** It can meet its objective, within `begunLatenessTolerance` or with `unbegunSlackMargin`. */
    onTime: 0,
    /** It will miss its objective, but its caller can still use it. */
    late: 1,
    /** It will be complete too late to be of use to its caller. */
    expired: 2,
} as const;
export type Timeliness = (typeof Timeliness)[keyof typeof Timeliness];

/** Sort key of a candidate for placement, compared by `compareRanks`; the lowest goes first. */
export interface Rank {
    readonly longRunning: boolean;
    /** 0 is the highest. */
    readonly priority: number;
    readonly timeliness: Timeliness;
    /** The job lies beyond its organisation's committed rate, see `committed-rate.ts`. */
    readonly beyondRate: boolean;
    /** The step has so many ready tasks that it may take all room for long. */
    readonly wide: boolean;
    /**
     * A task of the job has been started. Such a job goes before one that hasn't begun; with capacity split between
     * them, both might be late.
     */
    readonly begun: boolean;
    /** Share of the job's organisation in the capacity by its weight, see `fair-share.ts`; 0 without organisations. */
    readonly share: number;
    /** Ms that the candidate can still wait without missing its objective. */
    readonly slack: number;
}

/**
 * Orders long-running tasks first, then by whether the job is within its organisation's committed rate, timeliness,
 * priority, whether the job has begun, its organisation's share, and slack.
 *
 * Jobs beyond the committed rate go after all jobs within theirs that are of use to their callers, also when they have
 * begun: their organisation has no claim to what they would displace, and the work done isn't lost while they wait.
 * Expired jobs go after them, since nobody gains by those, and wide ones among these last: others would wait for all their
 * tasks. Shares decide between jobs that are equally timely: before the
 * timeliness or the begun jobs they would make more jobs late than they save.
 */
export function compareRanks(a: Rank, b: Rank): number {
    if (a.longRunning !== b.longRunning) {
        return a.longRunning ? -1 : 1;
    }
    return Number(isExpired(a)) - Number(isExpired(b)) || Number(a.beyondRate) - Number(b.beyondRate)
        || a.timeliness - b.timeliness || (isExpired(a) ? Number(a.wide) - Number(b.wide) : 0)
        || a.priority - b.priority || Number(b.begun) - Number(a.begun)
        || a.share - b.share || a.slack - b.slack;
}

function isExpired({ timeliness }: Rank): boolean {
    return timeliness === Timeliness.expired;
}

/** Remaining work of an occurrence, with times in ms. */
export interface RemainingWork {
    /** Unix time at which it fell due, by `findDueTime`: from then on its caller is taken to wait. */
    readonly due: number;
    /** Unix time by which it has to be complete. */
    readonly objective: number;
    /** Length of the remaining critical path, from the step that is to start to the end of the job. */
    readonly criticalPath: number;
    readonly longRunning: boolean;
    /** Number of tasks that are ready. */
    readonly readyTasks: number;
    /** A task of the job has been started. */
    readonly begun: boolean;
    /** The job lies beyond its organisation's committed rate. */
    readonly beyondRate: boolean;
    /** Share of the job's organisation in the capacity by its weight. */
    readonly share: number;
}

/** Ranks the remaining work of an occurrence at `now`, Unix time in ms. */
export function rank(work: RemainingWork, policy: QueuePolicy, now: number): Rank {
    const { longRunning, begun, beyondRate, share } = work;
    const slack = work.objective - now - work.criticalPath;
    const timeliness = classifyTimeliness(work, slack, now);
    const wide = work.readyTasks > wideStep;
    return { longRunning, priority: policy.priority, timeliness, beyondRate, wide, begun, share, slack };
}

function classifyTimeliness(work: RemainingWork, slack: number, now: number): Timeliness {
    const requiredSlack = work.begun
        ? -begunLatenessTolerance * work.criticalPath
        : unbegunSlackMargin * work.criticalPath;
    if (work.longRunning || slack >= requiredSlack) {
        return Timeliness.onTime;
    }
    return now + work.criticalPath <= computeExpiry(work.due, work.objective) ? Timeliness.late : Timeliness.expired;
}

/**
 * Unix time in ms by which a job that fell due at `due` has to be complete to be of any use to its caller: one that
 * can't has expired.
 */
export function computeExpiry(due: number, objective: number): number {
    return due + expiryFactor * (objective - due);
}
