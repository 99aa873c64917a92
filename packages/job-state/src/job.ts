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

/**
 * One step: a set of identical tasks. An option that the caller left out is `undefined` where the type allows it, else
 * 0 or false.
 */
export interface Step {
    readonly taskCount: number;
    readonly demand: Demand;
    /** The caller's estimate of a task's duration in ms; it may be far off. */
    readonly estimate: number;
    /** Indices, from 0, of earlier steps whose tasks all have to be done first. */
    readonly dependsOn: readonly number[];
    /** Tasks save checkpoints, from which a later run of the task continues. */
    readonly checkpointed: boolean;
    /**
     * The step's tasks form a gang: they are started under the same run number, make progress only while all of them
     * are running, and all count as done as soon as one is reported done.
     */
    readonly gang: boolean;
    /** Tasks slow each other down when they run on more than one rack. */
    readonly sameRack: boolean;
    /** Label that the backend server must have. */
    readonly requiredLabel: string | undefined;
    /** Rack that holds the data; tasks run slower elsewhere. */
    readonly dataRack: string | undefined;
    /** Maximum number of tasks of one occurrence of the step on one backend server; 0 is no limit. */
    readonly maxPerServer: number;
    /** The caller allows several runs of a task at the same time; the first to end counts. */
    readonly speculative: boolean;
    /** Tasks run until the job is cancelled, and are restarted however they end. */
    readonly longRunning: boolean;
    /** Name of the image (program) that the tasks run; tasks with the same image behave alike. No decision uses it. */
    readonly image: string | undefined;
    /**
     * Ms that the tail latency of a long-running task towards its own users must stay below, as reported by the backend
     * server; 0 is no limit.
     */
    readonly tailTarget: number;
    /** Tasks run in the processor time that others leave unused; their own processor demand isn't counted. */
    readonly filler: boolean;
    /** Maximum number of tasks of a long-running step that the system may stop at a time; `undefined` is no limit. */
    readonly maxUnavailable: number | undefined;
}

/** Runs the steps several times, at fixed intervals of Unix time. */
export interface Repetition {
    readonly count: number;
    /** Unix time in ms at which the first occurrence falls due. */
    readonly firstAt: number;
    /** Ms between the due times of consecutive occurrences. */
    readonly interval: number;
}

/** What the configured route of a queue says about its jobs. */
export interface RouteTerms {
    /** Version of the configuration that has the route. */
    readonly version: number;
    /** The service whose servers run the tasks. */
    readonly service: string;
    /** 0 is the highest priority. */
    readonly priority: number;
    /** Number of failed runs after which a task fails permanently. */
    readonly maxAttempts: number;
    /** The objective allows this many times the length of the job's critical path. */
    readonly slackFactor: number;
    /** Ms that the objective allows on top of that multiple. */
    readonly latencyAllowance: number;
    /** Set when starting a task requires a ticket of the advice service; all values are in ms. */
    readonly advice: { readonly decision: number; readonly perServer: number; readonly validity: number; } | undefined;
}

/** A submitted job. */
export interface Job {
    readonly id: string;
    /** Name of the queue to which it was submitted: the configured route that matches the request's host and path. */
    readonly queue: string;
    /**
     * Route of the queue when the job was submitted, for a coordinator whose configurations don't have it; `undefined`
     * in records of earlier versions.
     */
    readonly route: RouteTerms | undefined;
    /**
     * Name of the organisation whose key the submission carried; `undefined` for a job of a public queue, in a deployment
     * without organisations, and in records of earlier versions.
     */
    readonly organisation: string | undefined;
    /** Opaque text that is passed to every task of the job at its start. */
    readonly payload: string;
    readonly steps: readonly Step[];
    readonly repetition: Repetition | undefined;
    /**
     * Unix time in ms at which its submission arrived, by the clock of the process (entry instance) that received it.
     */
    readonly submittedAt: number;
}

/** Identifies a task of a job, by its occurrence, its step and its index within the step, each from 0. */
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
    /** The backend server's lease, which covers all its runs, expired before the coordinator renewed it. */
    lapsed: "lapsed",
    /** Another member of the gang ended first, so the backend server ended this one. */
    broken: "broken",
    /** Other members of the gang didn't start in time, so the backend server ended this one. */
    alone: "alone",
    /** The backend server rebooted, is gone or no longer lists the run. */
    lost: "lost",
} as const;
export type RunEnd = (typeof RunEnd)[keyof typeof RunEnd];

/** Number of occurrences of a job; 1 without repetition. */
export function countOccurrences(job: Job): number {
    return job.repetition === undefined ? 1 : job.repetition.count;
}

/** Unix time in ms at which the occurrence falls due; without repetition, when the job was submitted. */
export function findDueTime(job: Job, occurrence: number): number {
    return job.repetition === undefined
        ? job.submittedAt
        : job.repetition.firstAt + occurrence * job.repetition.interval;
}

/** Most tasks of one occurrence of a job, which every process keeps in memory; a larger job is rejected. */
export const maxTaskCount = 1_000_000;

export function countTasks(job: Job): number {
    return job.steps.reduce((sum, step) => sum + step.taskCount, 0);
}

/** Index of a step's first task, counted over all steps of the job. */
export function findFirstTask(job: Job, step: number): number {
    let first = 0;
    for (let i = 0; i < step; i++) {
        first += job.steps[i]!.taskCount;
    }
    return first;
}

/** Step of a task, whose index is counted over all steps of the job. */
export function findStep(job: Job, task: number): number {
    let end = 0;
    for (let step = 0; step < job.steps.length; step++) {
        end += job.steps[step]!.taskCount;
        if (task < end) {
            return step;
        }
    }
    return job.steps.length - 1;
}
