/** Judges, by what servers saw, whether a job ran although its cancelling had been acknowledged to a caller that never got it accepted. */
import type * as platformStandIns from "@catkinwharf/platform-stand-ins";
import * as idleness from "./idleness.js";

/** Times in ms after the acknowledgement until which a task may start, and until which none may run: the users' bounds, and some. */
const startBound = 4000;
const runBound = 15_000;

/**
 * Finds runs of withdrawn jobs that started too late, or are still under way.
 *
 * @param withdrawn Unix time in ms of the acknowledgement, by job ID
 * @param now Unix time in ms
 */
export function findUnaskedRuns(
    history: readonly platformStandIns.RunRecord[],
    withdrawn: ReadonlyMap<string, number>,
    now: number,
): string[] {
    return history.flatMap(({ task, run, server, startedAt, endedAt }) => {
        const acknowledgedAt = withdrawn.get(idleness.findJob(task));
        if (acknowledgedAt === undefined) {
            return [];
        }
        const isLate = startedAt > acknowledgedAt + startBound;
        const isLeft = endedAt === undefined && now > acknowledgedAt + runBound;
        return isLate || isLeft
            ? [`${task}/${run} on ${server}: started ${
                startedAt - acknowledgedAt
            } ms after its cancelling was acknowledged`]
            : [];
    });
}
