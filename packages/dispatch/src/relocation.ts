/**
 * Chooses which long-running task to stop on a server that is to be emptied: within the step's limit of unavailable
 * tasks, and only when another server has room.
 *
 * Designed for a maintenance wave over half of the servers while every long-running step keeps nearly all of its tasks
 * available.
 */
import * as scheduling from "@catkinwharf/scheduling";
import * as availability from "./availability.js";
import * as session from "./server-session.js";

/** The run to stop next at `now`, in ms on the monotonic clock; `undefined` when none can be spared. */
export function chooseRelocation(
    server: session.ServerSession,
    all: readonly session.ServerSession[],
    now: number,
): session.ActiveRun | undefined {
    const others = all.filter(other =>
        other !== server && other.load.acceptsTasks && other.entry.service === server.entry.service
    );
    for (const run of server.runs.values()) {
        const hasRoomElsewhere = others.some(other => scheduling.fits(other.load, run.step, run.stepKey));
        if (
            run.step.longRunning && run.phase === session.RunPhase.running && hasRoomElsewhere
            && availability.canSpare(run, all, now)
        ) {
            return run;
        }
    }
    return undefined;
}

/** Whether the server runs a long-running task whose step allows no unavailable task. */
export function isPinned(server: session.ServerSession): boolean {
    return [...server.runs.values()].some(run => run.step.longRunning && run.step.maxUnavailable === 0);
}
