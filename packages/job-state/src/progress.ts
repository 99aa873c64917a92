/**
 * Progress of a job: which tasks are done, which runs may be under way on which servers, how often each task has
 * failed or may have crashed its server.
 *
 * Only the coordinator changes progress, and writes it to the ledger; every other process takes over the newest
 * progress record of each job from there.
 */
import * as indexRanges from "./index-ranges.js";
import * as jobs from "./job.js";

/**
 * A run of a task that may be under way. The coordinator stores it in the ledger before it sends the start to the
 * backend server, and removes it when it learns that the run has ended or won't start.
 */
export interface Run {
    /** From 1, rising with each run of the task; the members of a gang share it. */
    readonly number: number;
    /** Backend server and its boot, as `ID@TIME`: TIME is the Unix time in ms of the boot, or 0 if it isn't known. */
    readonly server: string;
    /**
     * The server has outlasted the start, so the run isn't what crashes it. Only recorded for long-running tasks, whose
     * runs mostly begin under an earlier coordinator.
     */
    outlastedStart?: boolean;
    /**
     * The crash of this boot is counted for the task. The run is kept, as its start wasn't confirmed and may still reach the
     * server.
     */
    crashCounted?: boolean;
    /** The server has got the start. Only recorded for a task that starts alone, until it has outlasted its start. */
    startConfirmed?: boolean;
}

/**
 * History of a task that was given to a backend server at least once. It is stored until the task is done and none of
 * its runs may be under way.
 */
export interface TaskHistory {
    /** Highest run number that the task was given. */
    lastRun: number;
    /** Number of runs that failed. */
    failures: number;
    /** Number of server crashes that the task may have caused since a server last outlasted its start. */
    crashes: number;
    /** Those of them before which the server had certainly got the start. */
    certainCrashes: number;
    /** How far these speak against the task, see `scheduling/crashes`. */
    blame: number;
    /** No other task may start on the same server beside it, so that the cause of another crash is certain. */
    startsAlone: boolean;
    /** It isn't known yet whether a crash was a lone one, and the task isn't started before that; not stored. */
    awaitsJudgement: boolean;
    /** Runs that may be under way; more than one only for a speculative step. */
    runs: Run[];
    /** Newest checkpoint that a backend server reported, passed unchanged to the next run; empty for none. */
    checkpoint: string;
}

/** Progress of one occurrence of a job. */
export interface OccurrenceProgress {
    /** Number of its tasks, over all steps. */
    readonly taskCount: number;
    /** Tasks that are done, counted over all steps. */
    readonly done: indexRanges.IndexRanges;
    /** By task index, counted over all steps. */
    readonly histories: Map<number, TaskHistory>;
}

/** Division of each occurrence into parts. */
export interface PartLayout {
    /** Number of tasks in each part but the last. */
    readonly size: number;
    /** Number of tasks of the occurrence. */
    readonly taskCount: number;
}

export interface Progress {
    status: jobs.JobStatus;
    /** Unix time in ms of the last status change. */
    statusAt: number;
    /**
     * A server has confirmed that a task of the job was started. A stored intent doesn't count: its start may reach no
     * server.
     */
    begun: boolean;
    /** How it is divided if it is stored in parts, see `progress-parts.ts`; `undefined` for one record. */
    parts: PartLayout | undefined;
    /** Finished occurrences; only of progress that is stored in parts. */
    finished: indexRanges.IndexRanges;
    /** By occurrence number; an occurrence is absent until its first change, and once it is among the finished ones. */
    readonly occurrences: Map<number, OccurrenceProgress>;
}

export function createProgress(now: number): Progress {
    return {
        status: jobs.JobStatus.queued,
        statusAt: now,
        begun: false,
        parts: undefined,
        finished: new indexRanges.IndexRanges(),
        occurrences: new Map(),
    };
}

export function createOccurrence(taskCount: number): OccurrenceProgress {
    return { taskCount, done: new indexRanges.IndexRanges(), histories: new Map() };
}

/** Tasks whose progress may have changed since it was last taken for the ledger. */
const touchedTasks = new WeakMap<OccurrenceProgress, Set<number>>();

/** Notes that the task's progress changes, so that it is stored. */
export function touchTask(occurrence: OccurrenceProgress, task: number): void {
    const touched = touchedTasks.get(occurrence);
    if (touched === undefined) {
        touchedTasks.set(occurrence, new Set([task]));
    }
    else {
        touched.add(task);
    }
}

/** Tasks that were touched since the last call. */
export function takeTouchedTasks(occurrence: OccurrenceProgress): ReadonlySet<number> {
    const touched = touchedTasks.get(occurrence) ?? new Set();
    touchedTasks.delete(occurrence);
    return touched;
}

/** Whether all tasks are done and none of their runs may be under way. */
export function isFinished(occurrence: OccurrenceProgress): boolean {
    return occurrence.done.size === occurrence.taskCount
        && [...occurrence.histories.values()].every(({ runs }) => runs.length === 0);
}

/** The occurrence's progress, to be changed; of a finished one a copy, of which no task is open. */
export function getOrCreateOccurrence(progress: Progress, job: jobs.Job, occurrence: number): OccurrenceProgress {
    let found = progress.occurrences.get(occurrence);
    if (found === undefined && progress.finished.has(occurrence)) {
        const copy = createOccurrence(jobs.countTasks(job));
        copy.done.addRange(0, copy.taskCount);
        return copy;
    }
    if (found === undefined) {
        found = createOccurrence(jobs.countTasks(job));
        progress.occurrences.set(occurrence, found);
    }
    return found;
}

/** The task's history, to be changed. */
export function getOrCreateHistory(progress: OccurrenceProgress, task: number): TaskHistory {
    touchTask(progress, task);
    let found = progress.histories.get(task);
    if (found === undefined) {
        found = {
            lastRun: 0,
            failures: 0,
            crashes: 0,
            certainCrashes: 0,
            blame: 0,
            startsAlone: false,
            awaitsJudgement: false,
            runs: [],
            checkpoint: "",
        };
        progress.histories.set(task, found);
    }
    return found;
}

/** Marks a task as done. Its history is no longer stored once none of its runs may be under way. */
export function markDone(progress: OccurrenceProgress, task: number): void {
    if (!progress.done.has(task)) {
        touchTask(progress, task);
        progress.done.add(task);
    }
}

/** Drops the task's history if nothing needs it any more: the task is done, and none of its runs may be under way. */
export function dropEndedHistory({ done, histories }: OccurrenceProgress, task: number): void {
    if (done.has(task) && histories.get(task)?.runs.length === 0) {
        histories.delete(task);
    }
}

/** Whether the status is final. Runs of a settled job may still be under way. */
export function isSettled(status: jobs.JobStatus): boolean {
    return status === jobs.JobStatus.completed || status === jobs.JobStatus.failed
        || status === jobs.JobStatus.cancelled;
}

/** Whether the status is final and no run may be under way. */
export function isOver(progress: Progress): boolean {
    return isSettled(progress.status) && !hasRuns(progress);
}

/** Whether all tasks of all occurrences are done. */
export function isComplete(progress: Progress, job: jobs.Job): boolean {
    const occurrenceCount = jobs.countOccurrences(job);
    if (progress.finished.size + progress.occurrences.size < occurrenceCount) {
        return false;
    }
    const taskCount = jobs.countTasks(job);
    const open = [...progress.occurrences].filter(([number]) => !progress.finished.has(number));
    const complete = open.filter(([number, { done }]) => number < occurrenceCount && done.size === taskCount);
    return progress.finished.size + complete.length >= occurrenceCount;
}

/** Whether any task of the job is done. */
export function hasResults({ finished, occurrences }: Progress): boolean {
    if (finished.size > 0) {
        return true;
    }
    for (const { done } of occurrences.values()) {
        if (done.size > 0) {
            return true;
        }
    }
    return false;
}

/** Number of the job's runs that may be under way. */
export function countRuns({ occurrences }: Progress): number {
    let count = 0;
    for (const { histories } of occurrences.values()) {
        for (const { runs } of histories.values()) {
            count += runs.length;
        }
    }
    return count;
}

/** Whether any run of the job may be under way. */
export function hasRuns(progress: Progress): boolean {
    for (const occurrence of progress.occurrences.values()) {
        for (const history of occurrence.histories.values()) {
            if (history.runs.length > 0) {
                return true;
            }
        }
    }
    return false;
}
