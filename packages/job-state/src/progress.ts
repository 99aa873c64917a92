/**
 * Progress of a job: which tasks are done, which runs were started on which servers, how often each task has failed.
 *
 * Only the coordinator changes progress; every other process applies the newest record of each job.
 */
import * as jobs from "./job.js";

/** A run of a task. It is recorded from before its start order is sent until its end is known. */
export interface Run {
    readonly number: number;
    /** Identifies a backend server and its boot, in the coordinator's notation. */
    readonly server: string;
}

/** History of a task that isn't done and has been started at least once. */
export interface TaskHistory {
    /** Highest run number that was ever given to it. */
    lastRun: number;
    /** Number of runs that failed. */
    failures: number;
    /** Runs that may be under way; more than one only for speculative steps. */
    runs: Run[];
    /** Newest checkpoint, empty for none. */
    checkpoint: string;
}

export interface Occurrence {
    /** One flag per task, 1 for done. */
    readonly done: Uint8Array;
    doneCount: number;
    /** By task index over all steps. */
    readonly histories: Map<number, TaskHistory>;
}

export interface Progress {
    status: jobs.JobStatus;
    /** Unix time in ms of the last status change. */
    statusAt: number;
    /** A task has been started at least once. */
    begun: boolean;
    /** By occurrence number; an occurrence is absent until its first change. */
    readonly occurrences: Map<number, Occurrence>;
}

export function createProgress(now: number): Progress {
    return { status: jobs.JobStatus.queued, statusAt: now, begun: false, occurrences: new Map() };
}

export function getOrCreateOccurrence(progress: Progress, job: jobs.Job, number: number): Occurrence {
    let found = progress.occurrences.get(number);
    if (found === undefined) {
        found = { done: new Uint8Array(jobs.countTasks(job)), doneCount: 0, histories: new Map() };
        progress.occurrences.set(number, found);
    }
    return found;
}

export function getOrCreateHistory(occurrence: Occurrence, task: number): TaskHistory {
    let found = occurrence.histories.get(task);
    if (found === undefined) {
        found = { lastRun: 0, failures: 0, runs: [], checkpoint: "" };
        occurrence.histories.set(task, found);
    }
    return found;
}

/** Marks a task as done. Its history is then needed only for runs that are still under way. */
export function markDone(occurrence: Occurrence, task: number): void {
    if (occurrence.done[task] === 1) {
        return;
    }
    occurrence.done[task] = 1;
    occurrence.doneCount += 1;
}

export function isSettled(status: jobs.JobStatus): boolean {
    return status === jobs.JobStatus.completed || status === jobs.JobStatus.failed
        || status === jobs.JobStatus.cancelled;
}

/** Whether all tasks of all occurrences are done. */
export function isComplete(progress: Progress, job: jobs.Job): boolean {
    const occurrences = jobs.countOccurrences(job);
    const tasks = jobs.countTasks(job);
    for (let number = 0; number < occurrences; number++) {
        const occurrence = progress.occurrences.get(number);
        if (occurrence === undefined || occurrence.doneCount < tasks) {
            return false;
        }
    }
    return true;
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
