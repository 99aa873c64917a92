/**
 * What the log says of the crashes that count for a task: how much is known of its start on each server that crashed. The
 * stored history has the numbers alone, so those that earlier coordinators counted have no record here.
 */
import type * as jobState from "@catkinwharf/job-state";
import type * as session from "./server-session.js";

/** Suspects whose starts are described in a line; all are named. */
const maxDescribed = 20;

/** What is known of the start of a run on a server that crashed. Times in ms. */
export interface SuspectedStart {
    readonly run: string;
    readonly start: session.StartEvidence;
    readonly phase: session.RunPhase;
    /**
     * From its last sending until the server was found unreachable, or until the crash was noticed if it never was; `undefined`
     * if this coordinator didn't send it.
     */
    readonly sentBeforeLoss: number | undefined;
    /** From the server's last list until the sending; below 0 if the server has listed its runs since. */
    readonly sentAfterList: number | undefined;
}

export interface CrashRecord extends SuspectedStart {
    readonly server: string;
    /** As they were judged when the crash was noticed, see `scheduling.CrashSigns`. */
    readonly lone: boolean;
    readonly joint: boolean;
    /** Number of suspects. */
    readonly suspects: number;
}

/** By the history of the task; a task is given up after a few crashes, so the records stay few. */
const records = new WeakMap<jobState.TaskHistory, readonly CrashRecord[]>();

/** @param now on the monotonic clock, in ms: when the crash was noticed */
export function describeStart(
    { run, phase, lostAt, listedAt }: session.StartedRun,
    now: number,
): SuspectedStart {
    const sentAt = run.startLastSentAt;
    return {
        run: run.name,
        start: run.startEvidence,
        phase,
        sentBeforeLoss: sentAt === undefined ? undefined : Math.round((lostAt ?? now) - sentAt),
        sentAfterList: sentAt === undefined ? undefined : Math.round(sentAt - listedAt),
    };
}

/** Describes the starts of the suspects, and the crashes that have counted for their tasks before. */
export function describeSuspects(
    suspects: readonly session.StartedRun[],
    findHistory: (run: session.ActiveRun) => jobState.TaskHistory | undefined,
    now: number,
): object[] {
    return suspects.slice(0, maxDescribed).map(suspect => {
        const history = findHistory(suspect.run);
        return { ...describeStart(suspect, now), ...(history === undefined ? {} : countEarlier(history)) };
    });
}

/** The crashes that count for the task, how far they speak against it, and the records of them. */
export function describeCrashes(history: jobState.TaskHistory): object {
    return { ...describeCounts(history), records: listRecords(history) };
}

/** In short, for a line with many suspects. */
function countEarlier(history: jobState.TaskHistory): object {
    return { ...describeCounts(history), servers: listRecords(history).map(({ server }) => server) };
}

function describeCounts({ crashes, certainCrashes, blame }: jobState.TaskHistory): object {
    return { crashes, certain: certainCrashes, blame };
}

/** Notes a crash that is about to be counted in the history. */
export function recordCrash(history: jobState.TaskHistory, record: CrashRecord): void {
    records.set(history, [...listRecords(history), record]);
}

function listRecords(history: jobState.TaskHistory): readonly CrashRecord[] {
    return history.crashes === 0 ? [] : records.get(history) ?? []; // The task may have been cleared since.
}
