/**
 * Estimates how long a task that becomes ready now waits for the coordinator itself, which can follow only so many starts
 * at a time (see `start-limit.ts`), and decides which new jobs are worth accepting meanwhile.
 *
 * For a burst above what the coordinator can start: what waits is more than servers have room for is not counted here,
 * since pools grow, and servers become free.
 */
import * as jobState from "@catkinwharf/job-state";
import * as objective from "./objective.js";

/** Time in ms over which the rate of starts is averaged. */
const rateSpan = 2000;

/** Time in ms in which the delay falls by a factor of e once nothing is held back. */
const decayTime = 2000;
/** Delay in ms below which it counts as none. */
const minDelay = 50;

export class StartDelayEstimate {
    /** Starts a second. */
    #rate = 0;
    #updatedAt: number | undefined;
    /** Ms that a task that becomes ready now waits for the coordinator. */
    current = 0;

    /**
     * @param started starts that got a response since the last update
     * @param waiting ready tasks for which servers have room, see `countStartable`
     * @param limited whether the limit on starts held tasks back
     * @param now on the monotonic clock, ms
     */
    update(started: number, waiting: number, limited: boolean, now: number): void {
        const elapsed = Math.max(1, now - (this.#updatedAt ?? now - rateSpan));
        this.#updatedAt = now;
        const weight = 1 - Math.exp(-elapsed / rateSpan);
        // While nothing is held back, the rate shows what was asked for rather than what is possible.
        if (limited || started * 1000 / elapsed > this.#rate) {
            this.#rate += weight * (started * 1000 / elapsed - this.#rate);
        }
        // Falls slowly: a coordinator at its limit is held back now and then, not all the time.
        const estimate = limited && this.#rate > 0 ? 1000 * waiting / this.#rate : 0;
        this.current = Math.max(estimate, this.current * Math.exp(-elapsed / decayTime));
        if (this.current < minDelay) {
            this.current = 0;
        }
    }
}

/** Ready tasks of one step. */
export interface ReadyTasks {
    readonly count: number;
    /** Demand of one of them in thousandths of a core. */
    readonly cpu: number;
}

/** Estimates how many of a service's ready tasks could start now on servers with `freeCpu` thousandths of a core. */
export function countStartable(ready: readonly ReadyTasks[], freeCpu: number): number {
    const count = ready.reduce((sum, tasks) => sum + tasks.count, 0);
    const demand = ready.reduce((sum, tasks) => sum + tasks.count * tasks.cpu, 0);
    return demand <= freeCpu ? count : count * Math.max(0, freeCpu) / demand;
}

/**
 * Whether a new job can still meet its objective if its tasks wait `startDelay` ms for the coordinator. Without a wait
 * every job is accepted. Jobs that are due later and long-running ones always are: the latter start before all others.
 */
export function canMeetObjective(job: jobState.Job, policy: objective.QueuePolicy, startDelay: number): boolean {
    return canEndBy(job, policy, startDelay, (_due, objectiveTime) => objectiveTime);
}

/** The same for the time until which the job's result is of use to its caller. */
export function canBeOfUse(job: jobState.Job, policy: objective.QueuePolicy, startDelay: number): boolean {
    return canEndBy(job, policy, startDelay, objective.computeExpiry);
}

function canEndBy(
    job: jobState.Job,
    policy: objective.QueuePolicy,
    startDelay: number,
    computeEnd: (due: number, objectiveTime: number) => number,
): boolean {
    if (startDelay <= 0 || job.repetition !== undefined || job.steps.some(step => step.longRunning)) {
        return true;
    }
    const criticalPath = objective.computeCriticalPath(job, objective.estimateStepTimes(job, new Map()));
    const due = jobState.findDueTime(job, 0);
    return startDelay + criticalPath <= computeEnd(due, objective.computeObjective(job, 0, criticalPath, policy)) - due;
}
