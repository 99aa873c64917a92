/**
 * Progress of a job: which tasks are done, which runs may be under way on which servers, how often each task has
 * failed or may have crashed its server.
 *
 * Only the coordinator changes progress, and writes it to the ledger; every other process takes over the newest
 * progress record of each job from there.
 */
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
    /** Those of them that no task of another job can have caused. */
    soleCrashes: number;
    /** No other task may start on the same server beside it, so that the cause of another crash is certain. */
    startsAlone: boolean;
    /** Runs that may be under way; more than one only for a speculative step. */
    runs: Run[];
    /** Newest checkpoint that a backend server reported, passed unchanged to the next run; empty for none. */
    checkpoint: string;
}

/** Progress of one occurrence of a job. */
export interface OccurrenceProgress {
    /** One flag per task, counted over all steps: 1 for done, 0 otherwise. */
    readonly done: Uint8Array;
    doneCount: number;
    /** By task index, counted over all steps. */
    readonly histories: Map<number, TaskHistory>;
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
    /** By occurrence number; an occurrence is absent until its first change. */
    readonly occurrences: Map<number, OccurrenceProgress>;
}

export function createProgress(now: number): Progress {
    return { status: jobs.JobStatus.queued, statusAt: now, begun: false, occurrences: new Map() };
}

export function getOrCreateOccurrence(progress: Progress, job: jobs.Job, occurrence: number): OccurrenceProgress {
    let found = progress.occurrences.get(occurrence);
    if (found === undefined) {
        found = { done: new Uint8Array(jobs.countTasks(job)), doneCount: 0, histories: new Map() };
        progress.occurrences.set(occurrence, found);
    }
    return found;
}

export function getOrCreateHistory(progress: OccurrenceProgress, task: number): TaskHistory {
    let found = progress.histories.get(task);
    if (found === undefined) {
        found = { lastRun: 0, failures: 0, crashes: 0, soleCrashes: 0, startsAlone: false, runs: [], checkpoint: "" };
        progress.histories.set(task, found);
    }
    return found;
}

/** Marks a task as done. Its history is kept in memory, but no longer stored once none of its runs may be under way. */
export function markDone(progress: OccurrenceProgress, task: number): void {
    if (progress.done[task] === 1) {
        return;
    }
    progress.done[task] = 1;
    progress.doneCount += 1;
}

/** Whether the status is final. Runs of a settled job may still be under way. */
export function isSettled(status: jobs.JobStatus): boolean {
    return status === jobs.JobStatus.completed || status === jobs.JobStatus.failed
        || status === jobs.JobStatus.cancelled;
}

/** Whether all tasks of all occurrences are done. */
export function isComplete(progress: Progress, job: jobs.Job): boolean {
    const occurrenceCount = jobs.countOccurrences(job);
    const taskCount = jobs.countTasks(job);
    for (let occurrence = 0; occurrence < occurrenceCount; occurrence++) {
        const found = progress.occurrences.get(occurrence);
        if (found === undefined || found.doneCount < taskCount) {
            return false;
        }
    }
    return true;
}

/** Whether any task of the job is done. */
export function hasResults(progress: Progress): boolean {
    for (const occurrence of progress.occurrences.values()) {
        if (occurrence.doneCount > 0) {
            return true;
        }
    }
    return false;
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
