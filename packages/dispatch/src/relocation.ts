/**
 * Which task leaves a server that is to be emptied: one at a time of a step, as far as the step bears it, and only when
 * there is room elsewhere.
 *
 * Load: a maintenance wave over half of the servers while every long-running step keeps nearly all of its tasks at work.
 */
import * as scheduling from "@catkinwharf/scheduling";
import * as session from "./server-session.js";

/** Percentage at which a long-running task is at work. */
const atWork = 100;

/** The run to stop next, or `undefined` when none can be spared now. */
export function chooseRelocation(
    server: session.ServerSession,
    all: readonly session.ServerSession[],
): session.ActiveRun | undefined {
    const others = all.filter(one => one !== server && one.load.open && one.entry.service === server.entry.service);
    for (const run of server.runs.values()) {
        const limit = run.step.maxUnavailable ?? Number.POSITIVE_INFINITY;
        const room = others.some(one => scheduling.fits(one.load, run.step, run.stepKey));
        if (run.step.longRunning && run.phase === session.RunPhase.running && room && countAway(run, all) < limit) {
            return run;
        }
    }
    return undefined;
}

/** Tasks of the run's step, its own left out, that aren't fully at work. */
function countAway(run: session.ActiveRun, all: readonly session.ServerSession[]): number {
    let present = 0;
    for (const server of all) {
        for (const other of server.runs.values()) {
            const whole = other.phase === session.RunPhase.running && other.percent >= atWork && server.reachable;
            if (other !== run && other.stepKey === run.stepKey && whole) {
                present += 1;
            }
        }
    }
    return run.step.taskCount - 1 - present;
}

/** Whether something runs there that may never be taken away. */
export function isPinned(server: session.ServerSession): boolean {
    return [...server.runs.values()].some(run => run.step.longRunning && run.step.maxUnavailable === 0);
}
