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
    const search = createSearch(servers);
    const isHeld = within.some(candidate => {
        const { active, ready } = candidate;
        const placed = placedCounts.get(runManager.formatStepKey(active.job.id, ready)) ?? 0;
        return placed < ready.tasks.size && isWaitingForRoom(candidate, search, quota);
    });
    return isHeld ? planned : [...planned, ...place(candidates.slice(firstBeyond), planned.length)];
}

/** The servers that accept tasks, and the demands for which a search has found none with room, now or later. */
interface Search {
    readonly open: readonly scheduling.ServerLoad[];
    readonly shortages: scheduling.Shortages;
    readonly hopeless: scheduling.Shortages;
}

export function createSearch(servers: readonly session.ServerSession[]): Search {
    return {
        open: servers.flatMap(({ load }) => load.acceptsTasks ? load : []),
        shortages: new scheduling.Shortages(scheduling.hasRoom),
        hopeless: new scheduling.Shortages(scheduling.willHaveRoom),
    };
}

/** Whether the candidate can be on time and has to wait only for other tasks to end. */
export function isWaitingForRoom(
    { active, ready, rank }: jobRegistry.Candidate,
    { open, shortages, hopeless }: Search,
    quota: scheduling.QuotaUsage,
): boolean {
    const step = active.job.steps[ready.step]!;
    const mayHold = rank.timeliness === scheduling.Timeliness.onTime
        && rank.slack <= maxHoldSlack && rank.slack >= minHoldSlack && !rank.longRunning && !ready.alone && !step.gang
        && quota.countAllowed(active.job.organisation, step, 1) > 0 && !hopeless.includes(step);
    if (!mayHold) {
        return false;
    }
    shortages.recordUnplaced(step, open);
    if (!shortages.includes(step)) {
        return false;
    }
    hopeless.recordUnplaced(step, open);
    const stepKey = runManager.formatStepKey(active.job.id, ready);
    return !hopeless.includes(step) && open.some(load => scheduling.willFit(load, step, stepKey));
}
