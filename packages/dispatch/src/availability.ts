/**
 * Judges whether a long-running task may be moved off its server without making more tasks of its step unavailable than
 * the step allows. Asked before each attempt to stop the task, as others may have been lost since an earlier one.
 *
 * What isn't certain counts as unavailable: a server may have been lost since its last list, and an order of an earlier
 * coordinator may end a task that a list still shows at work. Stops for other reasons aren't judged here: the job has
 * ended, the run is a duplicate, or the server refused its start.
 */
import * as session from "./server-session.js";

/** Percentage from which a long-running task counts as available. */
const fullyAvailable = 100;
/**
 * Age in ms of a server's newest list from which its tasks no longer count as available. A healthy server responds to
 * each poll within its wait of 1 s and the timeout of a call.
 */
const maxListAge = 2000;

/** What the coordinator's view says of a step. */
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
    const lists = listAvailable(stepKey, all, now).map(({ server }) => Math.round(now - server.lastAnswerAt));
    return {
        tasks: step.taskCount,
        maxUnavailable: step.maxUnavailable,
        available: lists.length,
        oldestList: Math.max(0, ...lists),
    };
}

/**
 * Whether the run may be ended at `now`, in ms on the monotonic clock: its step allows one more unavailable task beyond
 * those that may be unavailable already.
 */
export function canSpare(
    run: session.ActiveRun,
    all: readonly session.ServerSession[],
    now: number,
): boolean {
    if (run.step.maxUnavailable === undefined) {
        return true;
    }
    const others = listAvailable(run.stepKey, all, now).filter(available => available.run !== run);
    return run.step.taskCount - 1 - others.length < run.step.maxUnavailable;
}

function listAvailable(
    stepKey: string,
    all: readonly session.ServerSession[],
    now: number,
): { readonly run: session.ActiveRun; readonly server: session.ServerSession; }[] {
    const current = all.filter(server =>
        server.load.longRunningRunCount > 0 && server.reachable && server.showsEarlierOrders
        && now - server.lastAnswerAt <= maxListAge
    );
    return current.flatMap(server =>
        [...server.runs.values()]
            .filter(run =>
                run.stepKey === stepKey && run.phase === session.RunPhase.running && run.percent >= fullyAvailable
            )
            .map(run => ({ run, server }))
    );
}
