/**
 * Tasks of a job that are ready to start: they aren't done, their occurrence is due, all steps that they depend on are
 * done, and it is certain that none of their runs is under way.
 */
import * as jobState from "@catkinwharf/job-state";

/** Ready tasks of one step in one occurrence of the job. */
export interface ReadyStep {
    /** Number of the occurrence, from 0. */
    readonly occurrence: number;
    /** Index of the step. */
    readonly step: number;
    /** Task indices, counted over all steps of the job. */
    readonly tasks: readonly number[];
    /** Each of the tasks starts alone on its server, see `crashes.ts`; a gang starts apart from other tasks. */
    readonly alone: boolean;
}

export interface Readiness {
    readonly steps: readonly ReadyStep[];
    /**
     * Unix time in ms at which the next occurrence falls due; `undefined` if none is left, or if
     * `maxExaminedOccurrences` was reached.
     */
    readonly nextDue: number | undefined;
}

const noneReady: Readiness = { steps: [], nextDue: undefined };

/**
 * Due but incomplete occurrences of one job that are examined in one call, at most; bounds the work for long
 * repetitions. Later occurrences wait until earlier ones are complete.
 */
const maxExaminedOccurrences = 64;

/**
 * Lists the ready tasks, by occurrence and step.
 *
 * @param now Unix time in ms
 */
export function listReady(job: jobState.Job, progress: jobState.Progress, now: number): Readiness {
    if (jobState.isSettled(progress.status)) {
        return noneReady;
    }
    const steps: ReadyStep[] = [];
    const occurrenceCount = jobState.countOccurrences(job);
    const taskCount = jobState.countTasks(job);
    let examined = 0;
    for (let occurrence = 0; occurrence < occurrenceCount && examined < maxExaminedOccurrences; occurrence++) {
        const occurrenceProgress = progress.occurrences.get(occurrence);
        if (occurrenceProgress?.doneCount === taskCount) {
            continue;
        }
        // A job without repetition is due at once: its `submittedAt` is by another process's clock, which may be ahead.
        const due = job.repetition === undefined ? 0 : jobState.findDueTime(job, occurrence);
        if (due > now) {
            return { steps, nextDue: due };
        }
        examined += 1;
        listReadySteps(job, occurrenceProgress, occurrence, steps);
    }
    return { steps, nextDue: undefined };
}

/** Adds the occurrence's steps with ready tasks to `readySteps`. */
function listReadySteps(
    job: jobState.Job,
    occurrenceProgress: jobState.OccurrenceProgress | undefined,
    occurrence: number,
    readySteps: ReadyStep[],
): void {
    const completeFlags = flagCompleteSteps(job, occurrenceProgress);
    let firstTask = 0;
    job.steps.forEach((step, i) => {
        if (!completeFlags[i] && step.dependsOn.every(earlier => completeFlags[earlier])) {
            const ready = listStartable(step, occurrenceProgress, firstTask);
            const alone = ready.filter(task => occurrenceProgress?.histories.get(task)?.startsAlone === true);
            const others = step.gang && alone.length > 0 ? [] : ready.filter(task => !alone.includes(task));
            if (others.length > 0) {
                readySteps.push({ occurrence, step: i, tasks: others, alone: false });
            }
            if (alone.length > 0) {
                readySteps.push({ occurrence, step: i, tasks: step.gang ? ready : alone, alone: true });
            }
        }
        firstTask += step.taskCount;
    });
}

/** One flag per step: whether all its tasks are done. */
function flagCompleteSteps(job: jobState.Job, occurrenceProgress: jobState.OccurrenceProgress | undefined): boolean[] {
    let end = 0;
    return job.steps.map(step => {
        const first = end;
        end += step.taskCount;
        if (occurrenceProgress === undefined) {
            return false;
        }
        for (let task = first; task < end; task++) {
            if (occurrenceProgress.done[task] !== 1) {
                return false;
            }
        }
        return true;
    });
}

/**
 * Tasks of a step, whose first one is `firstTask`, that aren't done, have no run that may be under way, and don't wait for the
 * judgement of a crash.
 */
function listStartable(
    step: jobState.Step,
    occurrenceProgress: jobState.OccurrenceProgress | undefined,
    firstTask: number,
): number[] {
    const startable: number[] = [];
    for (let task = firstTask; task < firstTask + step.taskCount; task++) {
        const history = occurrenceProgress?.histories.get(task);
        const mayStart = history === undefined || history.runs.length === 0 && !history.awaitsJudgement;
        if (occurrenceProgress?.done[task] !== 1 && mayStart) {
            startable.push(task);
        }
    }
    // Members of a gang start together or not at all: while a run of one may be under way, none is ready. They are also
    // marked as done together.
    return step.gang && startable.length < step.taskCount ? [] : startable;
}
