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
    readonly tasks: jobState.IndexRanges;
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

const noTasks: jobState.IndexRanges = new jobState.IndexRanges();
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
        const finishedEnd = progress.finished.findEnd(occurrence);
        if (finishedEnd !== undefined) {
            occurrence = finishedEnd - 1;
            continue;
        }
        const occurrenceProgress = progress.occurrences.get(occurrence);
        if (occurrenceProgress?.done.size === taskCount) {
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
    const { done, taken, startingAlone } = sortTasks(occurrenceProgress);
    let end = 0;
    const ranges = job.steps.map(({ taskCount }) => {
        end += taskCount;
        return { first: end - taskCount, count: taskCount };
    });
    const isComplete = ranges.map(({ first, count }) => done.countIn(first, count) === count);
    job.steps.forEach((step, i) => {
        if (isComplete[i] || !step.dependsOn.every(earlier => isComplete[earlier])) {
            return;
        }
        const { first, count } = ranges[i]!;
        const ready = taken.complement(first, count);
        // Members of a gang start together or not at all: while a run of one may be under way, none is ready. They are also
        // marked as done together.
        if (ready.size === 0 || (step.gang && ready.size < count)) {
            return;
        }
        const alone = startingAlone.clip(first, count);
        if (step.gang && alone.size > 0) {
            readySteps.push({ occurrence, step: i, tasks: ready, alone: true });
            return;
        }
        alone.ranges.forEach(range => ready.deleteRange(...range));
        if (ready.size > 0) {
            readySteps.push({ occurrence, step: i, tasks: ready, alone: false });
        }
        if (alone.size > 0) {
            readySteps.push({ occurrence, step: i, tasks: alone, alone: true });
        }
    });
}

/** Tasks of an occurrence, by what keeps them from starting. */
interface SortedTasks {
    readonly done: jobState.IndexRanges;
    /** Those that are done, have a run that may be under way, or wait for the judgement of a crash. */
    readonly taken: jobState.IndexRanges;
    /** Those of the others that start alone. */
    readonly startingAlone: jobState.IndexRanges;
}

/** Takes time by the number of tasks that were started and aren't done, not by that of all tasks. */
function sortTasks(occurrenceProgress: jobState.OccurrenceProgress | undefined): SortedTasks {
    const done = occurrenceProgress?.done ?? noTasks;
    const taken = new jobState.IndexRanges(done.ranges);
    const startingAlone = new jobState.IndexRanges();
    for (const [task, history] of occurrenceProgress?.histories ?? []) {
        if (history.runs.length > 0 || history.awaitsJudgement) {
            taken.add(task);
        }
        else if (history.startsAlone && !done.has(task)) {
            startingAlone.add(task);
        }
    }
    return { done, taken, startingAlone };
}
