/**
 * Progress of jobs that is too much for one record of the ledger. The tasks of each occurrence are divided into parts of
 * fixed size, each with a record of its own; the record of the job holds its status, the size of the parts, and the
 * occurrences that are finished, as ranges. So a change is stored with the parts that it touches, and no record grows with
 * the number of tasks, runs or occurrences.
 *
 * The parts count only with a record of the job that names their size. It is stored after them, and before the tombstones of
 * those that it makes obsolete: whatever is missing when a coordinator is lost in between was never acted on.
 */
import type * as indexRanges from "./index-ranges.js";
import * as jobs from "./job.js";
import * as codec from "./occurrence-codec.js";
import * as progress from "./progress.js";

/** Longest checkpoint that is kept, in bytes of UTF-8; runs after a longer one start from the one before. */
export const maxCheckpointSize = 256;
/** Bytes for which a task counts: room for the longest checkpoint, the longest ID of a server, and the other fields. */
const taskSize = 640;

/** Part of an occurrence's progress as it is read from its record. */
export interface ProgressPart {
    readonly occurrence: number;
    /** Number of tasks of the whole occurrence. */
    readonly taskCount: number;
    readonly first: number;
    readonly count: number;
    /** Its tasks that are done, by their indices in the occurrence. */
    readonly done: indexRanges.IndexRanges;
    readonly histories: ReadonlyMap<number, progress.TaskHistory>;
}

/** A part as it is stored. */
export interface StoredPart extends codec.StoredOccurrence {
    /** Index of its first task. */
    readonly i: number;
    /** Number of its tasks. */
    readonly m: number;
}

/** Number of tasks in a part, for records of at most `recordSize` bytes. */
export function computePartSize(recordSize: number): number {
    return 2 ** Math.max(0, Math.floor(Math.log2(recordSize / taskSize)));
}

/** Whether the job's progress fits into one record, however it goes. */
export function fitsOneRecord(job: jobs.Job, recordSize: number): boolean {
    return jobs.countTasks(job) * jobs.countOccurrences(job) <= computePartSize(recordSize);
}

export function encodePart(
    occurrence: number,
    current: progress.OccurrenceProgress,
    range: codec.TaskRange,
): StoredPart {
    return { ...codec.encodeOccurrence(occurrence, current, range), i: range.first, m: range.count };
}

export function restorePart(stored: StoredPart): ProgressPart {
    return {
        occurrence: stored.k,
        taskCount: stored.n,
        first: stored.i,
        count: stored.m,
        done: codec.unpackFlags(stored.d, { first: stored.i, count: stored.m }),
        histories: codec.restoreHistories(stored),
    };
}

/** Replaces what is known of the part's tasks, unless their occurrence is finished. */
export function applyPart(current: progress.Progress, part: ProgressPart): void {
    if (current.finished.has(part.occurrence)) {
        return;
    }
    const found = current.occurrences.get(part.occurrence);
    const occurrence = found ?? progress.createOccurrence(part.taskCount);
    current.occurrences.set(part.occurrence, occurrence);
    occurrence.done.deleteRange(part.first, part.count);
    part.done.ranges.forEach(([first, count]) => occurrence.done.addRange(first, count));
    for (let task = part.first; task < part.first + part.count; task++) {
        occurrence.histories.delete(task);
    }
    part.histories.forEach((history, task) => occurrence.histories.set(task, history));
}

/**
 * Applies a newer record of the job to progress of which the parts are applied already.
 *
 * @param layout that of both
 */
export function applyJobRecord(
    current: progress.Progress,
    newer: progress.Progress,
    layout: progress.PartLayout,
): void {
    current.status = newer.status;
    current.statusAt = newer.statusAt;
    current.begun = newer.begun;
    current.parts = layout;
    current.finished = newer.finished;
    for (const occurrence of current.occurrences.keys()) {
        if (current.finished.has(occurrence)) {
            current.occurrences.delete(occurrence);
        }
    }
}

/** The parts that have changed since the last call, and the occurrences that are finished since. */
export interface ChangedParts {
    readonly changed: readonly { readonly occurrence: number; readonly range: codec.TaskRange; }[];
    readonly finished: readonly number[];
}

/** Takes the changes of the job's progress. Finished occurrences are recorded as such. */
export function takeChangedParts(current: progress.Progress, { size, taskCount }: progress.PartLayout): ChangedParts {
    const changed: { occurrence: number; range: codec.TaskRange; }[] = [];
    const finished: number[] = [];
    for (const [number, occurrence] of current.occurrences) {
        const tasks = progress.takeTouchedTasks(occurrence);
        if (tasks.size > 0 && progress.isFinished(occurrence)) {
            current.finished.add(number);
            current.occurrences.delete(number);
            finished.push(number);
            continue;
        }
        for (const part of new Set([...tasks].map(task => Math.floor(task / size)))) {
            const first = part * size;
            const count = Math.min(size, taskCount - first);
            changed.push({ occurrence: number, range: { first, count } });
        }
    }
    return { changed, finished };
}

/** Marks all that is known of the job's tasks as changed, so that the next call of `takeChangedParts` takes it. */
export function touchAll(current: progress.Progress): void {
    for (const occurrence of current.occurrences.values()) {
        occurrence.histories.forEach((_, task) => progress.touchTask(occurrence, task));
        for (const task of occurrence.done) {
            progress.touchTask(occurrence, task);
        }
    }
}
