/**
 * Short form in which an ended job stays stored: without its payload, and of its steps only what demand is measured from.
 *
 * Earlier versions read it as a job without steps, so they start no task of it, whatever they know of its progress.
 */
import * as jobs from "./job.js";

/** Number of tasks, processor, memory, accelerators, estimate, flags, and the steps that it depends on. */
type StoredStep = readonly number[];

export interface StoredEndedJob extends Pick<jobs.Job, "id" | "queue" | "submittedAt"> {
    readonly organisation?: string;
    /** Always empty. */
    readonly steps: readonly jobs.Step[];
    /** Final status. */
    readonly e: jobs.JobStatus;
    /** Steps. */
    readonly w: readonly StoredStep[];
}

const StepFlag = { longRunning: 1, filler: 2 } as const;
/** Number of figures before the steps that a step depends on. */
const figureCount = 6;

/** @param status must be final */
export function shortenJob(job: jobs.Job, status: jobs.JobStatus): StoredEndedJob {
    const { id, queue, organisation, submittedAt } = job;
    return {
        id,
        queue,
        ...organisation === undefined ? {} : { organisation },
        submittedAt,
        steps: [],
        e: status,
        w: job.steps.map(({ taskCount, demand, estimate, longRunning, filler, dependsOn }) => [
            taskCount,
            demand.cpu,
            demand.memory,
            demand.accelerators,
            estimate,
            (longRunning ? StepFlag.longRunning : 0) | (filler ? StepFlag.filler : 0),
            ...dependsOn,
        ]),
    };
}

/** The job as far as it is stored; nothing of it can be started. */
export function restoreEndedJob({ id, queue, organisation, submittedAt, w }: StoredEndedJob): jobs.Job {
    return {
        id,
        queue,
        route: undefined,
        organisation: typeof organisation === "string" ? organisation : undefined,
        payload: "",
        steps: Array.isArray(w) ? w.filter(isStoredStep).map(restoreStep) : [],
        repetition: undefined,
        submittedAt,
    };
}

function isStoredStep(value: unknown): value is StoredStep {
    return Array.isArray(value) && value.length >= figureCount && value.every(figure => Number.isFinite(figure));
}

function restoreStep(stored: StoredStep): jobs.Step {
    const [taskCount, cpu, memory, accelerators, estimate, flags] = stored as [
        number,
        number,
        number,
        number,
        number,
        number,
    ];
    return {
        taskCount,
        demand: { cpu, memory, accelerators },
        estimate,
        dependsOn: stored.slice(figureCount),
        checkpointed: false,
        gang: false,
        sameRack: false,
        requiredLabel: undefined,
        dataRack: undefined,
        maxPerServer: 0,
        speculative: false,
        longRunning: (flags & StepFlag.longRunning) !== 0,
        image: undefined,
        tailTarget: 0,
        filler: (flags & StepFlag.filler) !== 0,
        maxUnavailable: undefined,
    };
}
