/**
 * Judges what has become of accepted jobs: each one has to be known to each process, and must have ended as it should. What
 * servers saw decides on that.
 */
import type * as platformStandIns from "@catkinwharf/platform-stand-ins";
import * as groups from "./groups.js";

export interface JobStep {
    readonly tasks: number;
    /** Thousandths of a core that each of its tasks demands. */
    readonly cpu: number;
}

/** What has become of the cancellation of a job: a call without an answer may have been carried out. */
export type Cancellation = "none" | "sent" | "acknowledged";

export interface SubmittedJob {
    readonly id: string;
    readonly queue: string;
    readonly steps: readonly JobStep[];
    readonly longRunning: boolean;
    /** A task of it crashes each server that starts it, so the job is rightly given up. */
    readonly crashesServers: boolean;
    readonly organisation: string | undefined;
    readonly cancellation: Cancellation;
}

/** What the servers of a job's service have, at one moment or over a time. */
export interface Room {
    /** Ms for which none of the job's tasks has been at work, while less than half of the capacity and quota was in use. */
    readonly idleTime: number;
    /** The same of that task of a lasting job which has been away the longest. */
    readonly longestAbsence: number;
}

/** Ends as `failed` after which the queues of the soak give a task up. */
const maxAttempts = 3;
/** Crashes of the servers that start it after which a task may be given up, at the least. */
const minCrashes = 2;
/** Time in ms after its start in which a run may crash its server. */
const crashPeriod = 2000;
/** Times in ms for which an open job, or a task of a lasting one, may stay idle though there is room. */
const maxIdleTime = 3000;
const maxAbsence = 6000;

type Judge = (job: SubmittedJob, runs: readonly platformStandIns.RunRecord[], room: Room) => string | undefined;

const judges: Readonly<Record<string, Judge>> = {
    completed: (job, runs) => {
        const done = countDone(runs);
        const tasks = countTasks(job);
        return job.longRunning || done < tasks ? `completed, though ${done} of ${tasks} tasks are done` : undefined;
    },
    failed: (job, runs) =>
        job.crashesServers || hasCauseToFail(runs) ? undefined : `failed without cause; ${describeEnds(runs)}`,
    cancelled: job => job.cancellation === "none" ? "cancelled, though nobody cancelled it" : undefined,
    queued: judgeOpen,
    running: judgeOpen,
};

/**
 * Judges the state in which a job is shown once all faults have ended; `undefined` if it is as it should.
 *
 * @param runs all runs of the job, as servers saw them
 */
export function judgeState(
    state: string,
    job: SubmittedJob,
    runs: readonly platformStandIns.RunRecord[],
    room: Room,
): string | undefined {
    const judge = judges[state];
    return judge === undefined ? `shown as ${state}` : judge(job, runs, room);
}

function judgeOpen(
    job: SubmittedJob,
    runs: readonly platformStandIns.RunRecord[],
    { idleTime, longestAbsence }: Room,
): string | undefined {
    if (job.cancellation === "acknowledged") {
        return `open, though it was cancelled; ${describeEnds(runs)}`;
    }
    const time = Math.round(job.longRunning ? longestAbsence : idleTime);
    if (time <= (job.longRunning ? maxAbsence : maxIdleTime)) {
        return undefined;
    }
    return countDone(runs) === countTasks(job)
        ? `shown as open, though all its tasks have been done for ${time} ms`
        : `open, and nothing of it or one of its tasks not at work for ${time} ms; ${describeEnds(runs)}`;
}

function countDone(runs: readonly platformStandIns.RunRecord[]): number {
    return new Set(runs.filter(({ how }) => how === "done").map(({ task }) => task)).size;
}

function countTasks({ steps }: SubmittedJob): number {
    return steps.reduce((sum, { tasks }) => sum + tasks, 0);
}

/** Names of all tasks of a job without repetition. */
export function listTasks({ id, steps }: SubmittedJob): string[] {
    return steps.flatMap(({ tasks }, step) => Array.from({ length: tasks }, (_, i) => `${id}.0.${step}.${i}`));
}

/** Whether a task has failed as often as it may, or each server that started it crashed under it. */
function hasCauseToFail(runs: readonly platformStandIns.RunRecord[]): boolean {
    return [...groups.groupBy(runs, ({ task }) => task).values()].some(own =>
        own.filter(({ how }) => how === "failed").length >= maxAttempts
        || own.length >= minCrashes && own.every(isCrash)
    );
}

function isCrash({ how, startedAt, endedAt }: platformStandIns.RunRecord): boolean {
    return how === "crashed" && endedAt! - startedAt <= crashPeriod;
}

function describeEnds(runs: readonly platformStandIns.RunRecord[]): string {
    const byEnd = groups.groupBy(runs, ({ how }) => how ?? "at work");
    return runs.length === 0 ? "no runs" : [...byEnd].map(([how, { length }]) => `${length} ${how}`).join(", ");
}
