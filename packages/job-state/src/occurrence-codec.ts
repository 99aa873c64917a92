/**
 * Codec of the progress of an occurrence's tasks, all or a range of them, as plain objects for CBOR.
 */
import * as indexRanges from "./index-ranges.js";
import type * as progress from "./progress.js";

/** A `TaskHistory` as it is stored, under one-letter keys. */
interface StoredHistory {
    /** Index of the task, counted over all steps. */
    readonly t: number;
    /** `lastRun`. */
    readonly l: number;
    /** `failures`. */
    readonly f: number;
    /**
     * `crashes`, `blame`, `startsAlone` and `certainCrashes`; absent when there were no crashes. Earlier versions have no
     * fourth, and as second the crashes whose suspects were all of one job, which are no blame.
     */
    readonly x?: readonly [number, number, boolean, number?];
    /** `runs`: number and server of each, then `outlastedStart`, `crashCounted` and `startConfirmed` up to the last that is true. */
    readonly r: readonly (readonly [number, string, ...boolean[]])[];
    /** `checkpoint`. */
    readonly c: string;
}

/** An `OccurrenceProgress`, or the tasks of it in a `TaskRange`, as it is stored. */
export interface StoredOccurrence {
    /** Number of the occurrence. */
    readonly k: number;
    /** Number of tasks of the whole occurrence. */
    readonly n: number;
    /** `done` of the stored tasks, eight flags to a byte, the lowest bit first. */
    readonly d: Uint8Array;
    /** `histories`, but for those in `g`. */
    readonly h: readonly StoredHistory[];
    /**
     * Tasks whose only run so far, number 1, is under way without a checkpoint, by server. In a burst nearly all are of
     * this kind, and every process reads each of these records over its link; absent in records of earlier versions.
     */
    readonly g?: readonly [string, readonly number[]][];
}

/** Consecutive tasks of an occurrence, by their indices over all steps. */
export interface TaskRange {
    readonly first: number;
    readonly count: number;
}

/** @param range tasks to encode; all if it is left out */
export function encodeOccurrence(
    occurrence: number,
    occurrenceProgress: progress.OccurrenceProgress,
    range?: TaskRange,
): StoredOccurrence {
    const histories: StoredHistory[] = [];
    const firstRuns = new Map<string, number[]>();
    for (const [task, history] of listHistories(occurrenceProgress, range)) {
        if (isFirstRun(history) && !occurrenceProgress.done.has(task)) {
            const { server } = history.runs[0]!;
            const tasks = firstRuns.get(server);
            if (tasks === undefined) {
                firstRuns.set(server, [task]);
            }
            else {
                tasks.push(task);
            }
        }
        else if (!occurrenceProgress.done.has(task) || history.runs.length > 0) {
            histories.push({
                t: task,
                l: history.lastRun,
                f: history.failures,
                ...history.crashes > 0
                    ? {
                        x: [history.crashes, history.blame, history.startsAlone, history.certainCrashes] as const,
                    }
                    : {},
                r: history.runs.map(encodeRun),
                c: history.checkpoint,
            });
        }
    }
    return {
        k: occurrence,
        n: occurrenceProgress.taskCount,
        d: packFlags(occurrenceProgress.done, range ?? { first: 0, count: occurrenceProgress.taskCount }),
        h: histories,
        ...firstRuns.size === 0 ? {} : { g: [...firstRuns] },
    };
}

function listHistories(
    { histories }: progress.OccurrenceProgress,
    range: TaskRange | undefined,
): Iterable<[number, progress.TaskHistory]> {
    if (range === undefined) {
        return histories;
    }
    const found: [number, progress.TaskHistory][] = [];
    for (let task = range.first; task < range.first + range.count; task++) {
        const history = histories.get(task);
        if (history !== undefined) {
            found.push([task, history]);
        }
    }
    return found;
}

/** Whether the task's only run so far, number 1, is under way, and nothing else is known of the task. */
function isFirstRun(history: progress.TaskHistory): boolean {
    return history.runs.length === 1 && history.runs[0]!.number === 1 && history.lastRun === 1
        && history.failures === 0 && history.crashes === 0 && !history.startsAlone && history.checkpoint === ""
        && history.runs[0]!.outlastedStart !== true && history.runs[0]!.crashCounted !== true
        && history.runs[0]!.startConfirmed !== true;
}

function encodeRun(
    { number, server, outlastedStart, crashCounted, startConfirmed }: progress.Run,
): StoredHistory["r"][number] {
    const flags = [outlastedStart === true, crashCounted === true, startConfirmed === true];
    return [number, server, ...flags.slice(0, flags.lastIndexOf(true) + 1)];
}

function restoreRun(
    [number, server, outlastedStart, crashCounted, startConfirmed]: StoredHistory["r"][number],
): progress.Run {
    return {
        number,
        server,
        ...outlastedStart === true ? { outlastedStart } : {},
        ...crashCounted === true ? { crashCounted } : {},
        ...startConfirmed === true ? { startConfirmed } : {},
    };
}

function packFlags(tasks: indexRanges.IndexRanges, { first, count }: TaskRange): Uint8Array {
    const packed = new Uint8Array(Math.ceil(count / 8));
    for (const task of tasks.clip(first, count)) {
        const i = task - first;
        packed[i >> 3]! |= 1 << (i & 7);
    }
    return packed;
}

/** The tasks of the range whose flag is set. */
export function unpackFlags(packed: Uint8Array, { first, count }: TaskRange): indexRanges.IndexRanges {
    const tasks = new indexRanges.IndexRanges();
    for (let i = 0; i < Math.min(count, 8 * packed.length); i++) {
        if (((packed[i >> 3]! >> (i & 7)) & 1) === 1) {
            tasks.add(first + i);
        }
    }
    return tasks;
}

export function restoreHistories(stored: StoredOccurrence): Map<number, progress.TaskHistory> {
    const histories = new Map<number, progress.TaskHistory>();
    for (const task of stored.h) {
        histories.set(task.t, {
            lastRun: task.l,
            failures: task.f,
            crashes: task.x?.[0] ?? 0,
            certainCrashes: task.x?.[3] ?? 0,
            blame: task.x?.[3] === undefined ? 0 : task.x[1],
            startsAlone: task.x?.[2] ?? false,
            awaitsJudgement: false,
            runs: task.r.map(restoreRun),
            checkpoint: task.c,
        });
    }
    for (const [server, tasks] of stored.g ?? []) {
        for (const task of tasks) {
            histories.set(task, {
                lastRun: 1,
                failures: 0,
                crashes: 0,
                certainCrashes: 0,
                blame: 0,
                startsAlone: false,
                awaitsJudgement: false,
                runs: [{ number: 1, server }],
                checkpoint: "",
            });
        }
    }
    return histories;
}
