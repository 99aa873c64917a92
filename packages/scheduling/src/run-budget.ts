/**
 * Bounds how many runs of tasks a coordinator has under way, as each takes memory of its process until it has ended. Servers
 * don't bound them: tasks that demand nothing fit in any number.
 *
 * A wide job may take half of what all jobs together leave free of a part of the runs. The rest is kept for jobs with few
 * runs, so that wide ones which last don't keep an ordinary one from starting. Far from the limit nothing is held back.
 */
import type * as jobState from "@catkinwharf/job-state";

/** Bytes of memory that a run takes: its record and that of its server's lists, the task's history, and a call that starts it. */
const runSize = 4096;
/** Largest share of the memory that runs may take. */
const memoryShare = 0.5;

/** Number of runs that a process with so many bytes of memory may have under way. */
export function computeRunLimit(memory: number): number {
    return Math.floor(memory * memoryShare / runSize);
}

/** Share of the runs that only jobs with few runs may take. */
const reservedShare = 0.25;
/** Runs that a job may have by that share, in proportion to the limit. */
const fewRunsShare = 0.001;

/** Largest gang that can start while no other run is under way. */
export function computeLargestGang(runLimit: number): number {
    return Math.floor(runLimit * (1 - reservedShare) / 2);
}

/** Number of tasks of the job's widest gang; 0 without one. */
export function findWidestGang({ steps }: jobState.Job): number {
    return steps.reduce((widest, { gang, taskCount }) => gang ? Math.max(widest, taskCount) : widest, 0);
}

export class RunBudget {
    /** @param underWay runs of all jobs */
    constructor(private readonly limit: number, private underWay: number) {}

    /**
     * Number of tasks of a step that may start now, at most `wanted`; all or none of a gang.
     *
     * @param ownRuns runs of its job that are under way
     */
    countAllowed(ownRuns: number, wanted: number, gang: boolean): number {
        const free = this.limit - this.underWay;
        const shared = (free - this.limit * reservedShare - ownRuns) / 2;
        const reserved = Math.min(free, Math.ceil(this.limit * fewRunsShare) - ownRuns);
        const allowed = this.limit === Number.POSITIVE_INFINITY
            ? wanted
            : Math.max(0, Math.floor(shared), reserved);
        return gang && allowed < wanted ? 0 : Math.min(wanted, allowed);
    }

    add(count: number): void {
        this.underWay += count;
    }
}
