/**
 * A job as its caller described it: steps of tasks with their needs, dependencies and tolerance for disruption.
 */

/** What every task of a step asks of the backend server that runs it. */
export interface Demand {
    /** Thousandths of a core. */
    readonly cpu: number;
    /** Megabytes. */
    readonly memory: number;
    readonly accelerators: number;
}

/** One step: tasks that are alike. Absent options are `undefined`, absent numbers and flags are zero and false. */
export interface Step {
    readonly taskCount: number;
    readonly demand: Demand;
    /** The caller's guess of a task's duration in ms; it may be far off. */
    readonly estimate: number;
    /** Earlier steps, counted from 0, whose tasks all have to be done first. */
    readonly dependsOn: readonly number[];
    readonly checkpointed: boolean;
    /** Tasks work together only, from the moment when all of one run are present. */
    readonly gang: boolean;
    /** Tasks slow each other down when they run on more than one rack. */
    readonly sameRack: boolean;
    /** Label that the backend server has to have. */
    readonly requiredLabel: string | undefined;
    /** Rack that holds the data; tasks are slower elsewhere. */
    readonly dataRack: string | undefined;
    /** Most tasks of one occurrence of the step on one backend server; 0 is no limit. */
    readonly maxPerServer: number;
    /** Copies of a task may run in parallel, the first that ends counts. */
    readonly speculative: boolean;
    /** Tasks run until the job is cancelled, and are started again however they end. */
    readonly longRunning: boolean;
    /** Tasks with the same image behave alike. */
    readonly image: string | undefined;
    /** Bound in ms on the tail of the response times that a long-running task gives its own users; 0 is none. */
    readonly tailTarget: number;
    /** Takes the processor time that others leave unused; its processor demand isn't counted. */
    readonly filler: boolean;
    /** How many tasks of a long-running step the system may take away at a time; `undefined` is no bound. */
    readonly maxUnavailable: number | undefined;
}

/** Runs the steps several times, by the time of day. */
export interface Repetition {
    readonly count: number;
    /** Unix time in ms of the first occurrence. */
    readonly firstAt: number;
    readonly interval: number;
}

/** A submitted job. */
export interface Job {
    readonly id: string;
    /** Name of the route on which it was submitted. */
    readonly queue: string;
    /** Opaque text that every task of the job is started with. */
    readonly payload: string;
    readonly steps: readonly Step[];
    readonly repetition: Repetition | undefined;
    /** Unix time in ms at which an entry instance received it first. */
    readonly submittedAt: number;
}

/** Which task of a job: occurrence, and index over all its steps. */
export interface TaskPosition {
    readonly occurrence: number;
    readonly step: number;
    readonly index: number;
}

/** What a job's caller is shown. */
export const JobStatus = {
    queued: "queued",
    running: "running",
    completed: "completed",
    failed: "failed",
    cancelled: "cancelled",
} as const;
export type JobStatus = (typeof JobStatus)[keyof typeof JobStatus];

/** How a run of a task ended. */
export const RunEnd = {
    done: "done",
    failed: "failed",
    stopped: "stopped",
    /** The lease lapsed. */
    lapsed: "lapsed",
    /** Another member of the gang ended. */
    broken: "broken",
    /** The other members of the gang didn't come in time. */
    alone: "alone",
    /** The backend server that ran it is gone. */
    lost: "lost",
} as const;
export type RunEnd = (typeof RunEnd)[keyof typeof RunEnd];

/** Occurrences that a job has; one without repetition. */
export function countOccurrences(job: Job): number {
    return job.repetition === undefined ? 1 : job.repetition.count;
}

/** Unix time in ms before which no task of the occurrence may start. */
export function findDueTime(job: Job, occurrence: number): number {
    return job.repetition === undefined
        ? job.submittedAt
        : job.repetition.firstAt + occurrence * job.repetition.interval;
}

export function countTasks(job: Job): number {
    return job.steps.reduce((sum, step) => sum + step.taskCount, 0);
}

/** Index of a step's first task over all steps of the job. */
export function findFirstTask(job: Job, step: number): number {
    let first = 0;
    for (let i = 0; i < step; i++) {
        first += job.steps[i]!.taskCount;
    }
    return first;
}

/** Step of a task, by its index over all steps of the job. */
export function findStep(job: Job, task: number): number {
    let first = 0;
    for (let step = 0; step < job.steps.length; step++) {
        first += job.steps[step]!.taskCount;
        if (task < first) {
            return step;
        }
    }
    return job.steps.length - 1;
}
