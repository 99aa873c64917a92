/**
 * Holds back candidates beyond their organisation's committed rate while one within its rate, which can still be on time,
 * waits for room on a server.
 *
 * The order of candidates alone doesn't suffice: small tasks beyond the rate fit into each gap as it opens, so a larger
 * task within its rate never finds room. A step holds others back only near its latest start, and so for 3 s at most:
 * gaps that it can't use would stay empty for the whole slack of a long job.
 */
import * as scheduling from "@catkinwharf/scheduling";
import type * as jobRegistry from "./job-registry.js";
import type * as placer from "./placer.js";
import * as runManager from "./run-manager.js";
import type * as session from "./server-session.js";

/** Slack in ms below which a step holds others back. */
const maxHoldSlack = 2000;
/** Slack in ms below which it doesn't any more: a job that has begun counts as on time though it is behind. */
const minHoldSlack = -1000;

/** Places candidates in the given order, see `Placer.place`, after `placedCount` tasks of others were placed. */
type Place = (candidates: readonly jobRegistry.Candidate[], placedCount: number) => readonly placer.PlannedRun[];

/**
 * Places the candidates of a service that may be placed now.
 *
 * @param candidates in the order in which they should start
 * @param quota what each organisation has running, as `place` updates it
 */
export function placeByRate(
    candidates: readonly jobRegistry.Candidate[],
    servers: readonly session.ServerSession[],
    quota: scheduling.QuotaUsage,
    place: Place,
): readonly placer.PlannedRun[] {
    const firstBeyond = candidates.findIndex(({ rank }) => rank.beyondRate && !rank.longRunning);
    if (firstBeyond === -1) {
        return place(candidates, 0);
    }
    const within = candidates.slice(0, firstBeyond);
    const planned = place(within, 0);
    const placedCounts = new Map<string, number>();
    for (const { run } of planned) {
        placedCounts.set(run.stepKey, (placedCounts.get(run.stepKey) ?? 0) + 1);
    }
    const open = servers.flatMap(({ load }) => load.acceptsTasks ? load : []);
    const isHeld = within.some(candidate => {
        const { active, ready } = candidate;
        const placed = placedCounts.get(runManager.formatStepKey(active.job.id, ready)) ?? 0;
        return placed < ready.tasks.length && isWaitingForRoom(candidate, open, quota);
    });
    return isHeld ? planned : [...planned, ...place(candidates.slice(firstBeyond), planned.length)];
}

/** Whether the candidate can be on time and has to wait only for other tasks to end. */
export function isWaitingForRoom(
    { active, ready, rank }: jobRegistry.Candidate,
    open: readonly scheduling.ServerLoad[],
    quota: scheduling.QuotaUsage,
): boolean {
    const step = active.job.steps[ready.step]!;
    return rank.timeliness === scheduling.Timeliness.onTime
        && rank.slack <= maxHoldSlack && rank.slack >= minHoldSlack && !rank.longRunning && !ready.alone && !step.gang
        && !open.some(load => scheduling.hasRoom(load, step))
        && open.some(load => scheduling.willHaveRoom(load, step))
        && quota.countAllowed(active.job.organisation, step, 1) > 0;
}
