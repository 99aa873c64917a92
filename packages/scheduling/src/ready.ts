/**
 * Tasks of a job that may start now: their occurrence is due, all steps they depend on are done, and none of their runs
 * may be under way.
 */
import * as jobState from "@catkinwharf/job-state";

/** Tasks of one step of one occurrence that may start. */
export interface ReadyStep {
    readonly occurrence: number;
    readonly step: number;
    /** Task indices, counted over all steps of the job. */
    readonly tasks: readonly number[];
}

export interface Readiness {
    readonly steps: readonly ReadyStep[];
    /** Unix time in ms at which the next occurrence falls due; `undefined` if there is none. */
    readonly nextDue: number | undefined;
}

const noneReady: Readiness = { steps: [], nextDue: undefined };

/** Incomplete occurrences of one job that are examined in one call; bounds the work for long repetitions. */
const maxOpenOccurrences = 64;

/**
 * Lists the tasks that may start, by step.
 *
 * @param now Unix time in ms, from a clock without jumps
 */
export function listReady(job: jobState.Job, progress: jobState.Progress, now: number): Readiness {
    if (jobState.isSettled(progress.status)) {
        return noneReady;
    }
    const steps: ReadyStep[] = [];
    const occurrences = jobState.countOccurrences(job);
    const tasks = jobState.countTasks(job);
    let open = 0;
    for (let number = 0; number < occurrences && open < maxOpenOccurrences; number++) {
        const occurrence = progress.occurrences.get(number);
        if (occurrence?.doneCount === tasks) {
            continue;
        }
        const due = job.repetition === undefined ? 0 : jobState.findDueTime(job, number);
        if (due > now) {
            return { steps, nextDue: due };
        }
        open += 1;
        listReadySteps(job, occurrence, number, steps);
    }
    return { steps, nextDue: undefined };
}

function listReadySteps(
    job: jobState.Job,
    occurrence: jobState.Occurrence | undefined,
    number: number,
    readySteps: ReadyStep[],
): void {
    const complete = listCompleteSteps(job, occurrence);
    let first = 0;
    job.steps.forEach((step, i) => {
        if (!complete[i] && step.dependsOn.every(earlier => complete[earlier])) {
            const ready = listStartable(step, occurrence, first);
            if (ready.length > 0) {
                readySteps.push({ occurrence: number, step: i, tasks: ready });
            }
        }
        first += step.taskCount;
    });
}

function listCompleteSteps(job: jobState.Job, occurrence: jobState.Occurrence | undefined): boolean[] {
    let first = 0;
    return job.steps.map(step => {
        const from = first;
        first += step.taskCount;
        if (occurrence === undefined) {
            return false;
        }
        for (let task = from; task < first; task++) {
            if (occurrence.done[task] !== 1) {
                return false;
            }
        }
        return true;
    });
}

function listStartable(
    step: jobState.Step,
    occurrence: jobState.Occurrence | undefined,
    first: number,
): number[] {
    const startable: number[] = [];
    for (let task = first; task < first + step.taskCount; task++) {
        const idle = (occurrence?.histories.get(task)?.runs.length ?? 0) === 0;
        if (occurrence?.done[task] !== 1 && idle) {
            startable.push(task);
        }
    }
    // Members of a gang start together or not at all: one that is still running keeps the others from starting.
    return step.gang && startable.length < step.taskCount ? [] : startable;
}
