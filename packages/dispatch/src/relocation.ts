/**
 * Chooses which long-running task to stop on a server that is to be emptied: within the step's limit of unavailable
 * tasks, and only when another server has room.
 *
 * Designed for a maintenance wave over half of the servers while every long-running step keeps nearly all of its tasks
 * available.
 */
import * as scheduling from "@catkinwharf/scheduling";
import * as session from "./server-session.js";

/** Percentage from which a long-running task counts as available. */
const fullyAvailable = 100;

/** The run to stop next; `undefined` when none can be spared now. */
export function chooseRelocation(
    server: session.ServerSession,
    all: readonly session.ServerSession[],
): session.ActiveRun | undefined {
    const others = all.filter(other =>
        other !== server && other.load.acceptsTasks && other.entry.service === server.entry.service
    );
    for (const run of server.runs.values()) {
        const maxUnavailable = run.step.maxUnavailable ?? Number.POSITIVE_INFINITY;
        const hasRoomElsewhere = others.some(other => scheduling.fits(other.load, run.step, run.stepKey));
        if (
            run.step.longRunning && run.phase === session.RunPhase.running && hasRoomElsewhere
            && countUnavailable(run, all) < maxUnavailable
        ) {
            return run;
        }
    }
    return undefined;
}

/** What the coordinator's view says of a step, for the log of what ends its tasks. */
export interface StepAvailability {
    readonly tasks: number;
    readonly maxUnavailable: number | undefined;
    /** Tasks with a run that counts as available. */
    readonly available: number;
    /** Ms since the oldest of the lists that say so. */
    readonly oldestList: number;
}

/** @param now on the monotonic clock, in ms */
export function describeStep(
    { step, stepKey }: Pick<session.ActiveRun, "step" | "stepKey">,
    all: readonly session.ServerSession[],
    now: number,
): StepAvailability {
    let available = 0;
    let oldestList = 0;
    for (const server of all) {
        for (const run of server.runs.values()) {
            if (run.stepKey === stepKey && isAvailable(run, server)) {
                available += 1;
                oldestList = Math.max(oldestList, Math.round(now - server.lastAnswerAt));
            }
        }
    }
    return { tasks: step.taskCount, maxUnavailable: step.maxUnavailable, available, oldestList };
}

function isAvailable(run: session.ActiveRun, server: session.ServerSession): boolean {
    return run.phase === session.RunPhase.running && run.percent >= fullyAvailable && server.reachable;
}

/** Number of unavailable tasks of the run's step, not counting the run's own task. */
function countUnavailable(run: session.ActiveRun, all: readonly session.ServerSession[]): number {
    let available = 0;
    for (const server of all) {
        for (const other of server.runs.values()) {
            if (other !== run && other.stepKey === run.stepKey && isAvailable(other, server)) {
                available += 1;
            }
        }
    }
    return run.step.taskCount - 1 - available;
}

/** Whether the server runs a long-running task whose step allows no unavailable task. */
export function isPinned(server: session.ServerSession): boolean {
    return [...server.runs.values()].some(run => run.step.longRunning && run.step.maxUnavailable === 0);
}
