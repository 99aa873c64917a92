/**
 * Bounds how many runs of tasks a coordinator has under way, as each takes memory of its process until it has ended. Servers
 * don't bound them: tasks that demand nothing fit in any number.
 *
 * A wide job may take half of what all jobs together leave free of a part of the runs. The rest is kept for jobs with few
 * runs, so that wide ones which last don't keep an ordinary one from starting. Far from the limit nothing is held back.
 */
import type * as jobState from "@catkinwharf/job-state";

/** What bounds the runs of a coordinator. */
export interface RunLimits {
    /** Number of runs that may be under way. */
    readonly runs: number;
    /** Number of tasks of the largest gang that can start: all of its starts are under way at once. */
    readonly gang: number;
}

export const noRunLimits: RunLimits = { runs: Number.POSITIVE_INFINITY, gang: Number.POSITIVE_INFINITY };

/** Bytes that are set aside for a run: its record, its task's history, and its row in the lists of its server. */
const runSize = 1024;
/** Bytes that are set aside for a start until it is answered, beside those of its run. */
const startSize = 8192;
/** Shares of the memory that all runs, and the starts of one gang, may take. */
const runsShare = 0.25;
const gangShare = 0.25;
/** Share of the runs that only jobs with few runs may take. */
const reservedShare = 0.25;
/** Runs that a job may have by that share, in proportion to the limit. */
const fewRunsShare = 0.001;

/** What a process with so many bytes of memory can keep. */
export function computeRunLimits(memory: number): RunLimits {
    const runs = Math.floor(memory * runsShare / runSize);
    const gang = Math.min(memory * gangShare / startSize, runs * (1 - reservedShare) / 2);
    return { runs, gang: Math.floor(gang) };
}

/** Number of tasks of the job's widest gang; 0 without one. */
export function findWidestGang({ steps }: jobState.Job): number {
    return steps.reduce((widest, { gang, taskCount }) => gang ? Math.max(widest, taskCount) : widest, 0);
}

export class RunBudget {
    /** @param underWay runs of all jobs */
    constructor(private readonly limits: RunLimits, private underWay: number) {}

    /**
     * Number of tasks of a step that may start now, at most `wanted`; all or none of a gang.
     *
     * @param ownRuns runs of its job that are under way
     */
    countAllowed(ownRuns: number, wanted: number, gang: boolean): number {
        const { runs, gang: largestGang } = this.limits;
        if (gang && wanted > largestGang) {
            return 0;
        }
        if (runs === Number.POSITIVE_INFINITY) {
            return wanted;
        }
        const free = runs - this.underWay;
        const shared = (free - runs * reservedShare - ownRuns) / 2;
        const reserved = Math.min(free, Math.ceil(runs * fewRunsShare) - ownRuns);
        const allowed = Math.max(0, Math.floor(shared), reserved);
        return gang && allowed < wanted ? 0 : Math.min(wanted, allowed);
    }

    add(count: number): void {
        this.underWay += count;
    }
}
