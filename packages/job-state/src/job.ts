/**
 * A job as its caller describes it: steps of tasks with their resource demands, dependencies and disruption limits.
 */

/** Resources that each task of a step needs on the backend server that runs it. */
export interface Demand {
    /** Thousandths of a core. */
    readonly cpu: number;
    /** Megabytes. */
    readonly memory: number;
    readonly accelerators: number;
}

/** One step: a set of identical tasks. Absent options are `undefined`, absent numbers are 0 and absent flags false. */
export interface Step {
    readonly taskCount: number;
    readonly demand: Demand;
    /** The caller's estimate of a task's duration in ms; it may be far off. */
    readonly estimate: number;
    /** Indices, from 0, of earlier steps whose tasks all have to be done first. */
    readonly dependsOn: readonly number[];
    readonly checkpointed: boolean;
    /** Tasks make progress only together, from the time when all members of one run are present. */
    readonly gang: boolean;
    /** Tasks slow each other down when they run on more than one rack. */
    readonly sameRack: boolean;
    /** Label that the backend server must have. */
    readonly requiredLabel: string | undefined;
    /** Rack that holds the data; tasks run slower elsewhere. */
    readonly dataRack: string | undefined;
    /** Maximum number of tasks of one occurrence of the step on one backend server; 0 is no limit. */
    readonly maxPerServer: number;
    /** Copies of a task may run in parallel; the first to end counts. */
    readonly speculative: boolean;
    /** Tasks run until the job is cancelled, and are restarted however they end. */
    readonly longRunning: boolean;
    /** Tasks with the same image behave alike. */
    readonly image: string | undefined;
    /** Bound in ms on the tail of a long-running task's response times to its own users; 0 is no bound. */
    readonly tailTarget: number;
    /** Runs in the processor time that other tasks leave unused; its own processor demand isn't counted. */
    readonly filler: boolean;
    /** Maximum number of tasks of a long-running step that the system may stop at a time; `undefined` is no limit. */
    readonly maxUnavailable: number | undefined;
}

/** Runs the steps several times, at fixed intervals of Unix time. */
export interface Repetition {
    readonly count: number;
    /** Unix time in ms of the first occurrence. */
    readonly firstAt: number;
    /** Ms between the due times of two occurrences. */
    readonly interval: number;
}

/** A submitted job. */
export interface Job {
    readonly id: string;
    /** Name of the route through which it was submitted. */
    readonly queue: string;
    /** Opaque text that is passed to every task of the job at its start. */
    readonly payload: string;
    readonly steps: readonly Step[];
    readonly repetition: Repetition | undefined;
    /** Unix time in ms at which an entry instance first received it. */
    readonly submittedAt: number;
}

/** Identifies a task of a job, by its occurrence, its step and its index over all steps. */
export interface TaskPosition {
    readonly occurrence: number;
    readonly step: number;
    readonly index: number;
}

/** Status of a job, as shown to its caller. */
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
    /** Its lease expired. */
    lapsed: "lapsed",
    /** Another member of the gang ended. */
    broken: "broken",
    /** The other members of the gang weren't present in time. */
    alone: "alone",
    /** The backend server that ran it is gone. */
    lost: "lost",
} as const;
export type RunEnd = (typeof RunEnd)[keyof typeof RunEnd];

/** Number of occurrences of a job; 1 without repetition. */
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
