/**
 * Status of planned stops: drains in progress, failures after reboots, and how many drains may run at once.
 */
import * as fleetState from "@catkinwharf/fleet-state";
import * as balance from "./balance.js";
import type * as planContext from "./plan-context.js";

/** How many instances a stop may drain at once. */
export const Stage = {
    /**
     * The first batch: at most one instance at once of each pool that gives roll-out time more weight than buffer cost.
     * An instance of another pool is drained only while no other drain of the stop is in progress.
     */
    firstBatch: "first-batch",
    /** Rebooted instances failed: one at a time until more have returned healthy than failed. */
    careful: "careful",
    /** As many as the availability budgets allow. */
    open: "open",
} as const;

export type Stage = (typeof Stage)[keyof typeof Stage];

/** A stop that still has instances to reboot. */
export interface StopStatus {
    readonly state: fleetState.StopState;
    /** Number of instances being drained or rebooted for the stop, without the drains that this plan starts. */
    readonly drainsInProgressBeforePlan: number;
    /** Instances that were rebooted for the stop, are lost now and were not replaced. */
    readonly lostUnreplaced: readonly string[];
    /** Whether the stop starts no drains because too many of these instances are lost. */
    readonly halted: boolean;
    /** Limits how many instances the stop may drain at once. */
    readonly stage: Stage;
    /** Instances for which this plan starts a drain for the stop. */
    readonly started: Set<string>;
}

/** Share of the rebooted instances that may be lost before the stop halts. */
const toleratedFailureShare = 0.1;
/**
 * Number of instances up to which a stop needs no first batch: about those of one rack. The availability budgets allow
 * so few to be unavailable at once anyway.
 */
const maxInstancesWithoutFirstBatch = 4;

/** Stops that are neither finished nor cancelled, ordered by deadline, then by the time of the announcement. */
export function listRunningStops(context: planContext.PlanContext): StopStatus[] {
    return [...context.state.stops.values()]
        .filter(stop => !stop.cancelled && !fleetState.isFinished(stop))
        .sort(compareStops)
        .map(stop => createStatus(context, stop));
}

function compareStops(left: fleetState.StopState, right: fleetState.StopState): number {
    const [leftDeadline, rightDeadline] = [left, right].map(({ stop }) => stop.deadlineAt ?? Number.MAX_SAFE_INTEGER);
    return (leftDeadline as number) - (rightDeadline as number) || left.offset - right.offset;
}

function createStatus(context: planContext.PlanContext, stop: fleetState.StopState): StopStatus {
    const lost = listLostAfterReturn(context, stop);
    const lostUnreplaced = listUnreplaced(context, lost);
    const rebootedCount = stop.returned.length + stop.failed.length;
    return {
        state: stop,
        drainsInProgressBeforePlan: countDrainsInProgress(context, stop),
        lostUnreplaced,
        halted: context.input.policy.haltsOnFailures
            && lostUnreplaced.length > Math.floor(rebootedCount * toleratedFailureShare),
        stage: chooseStage(context, stop, lost.length),
        started: new Set(),
    };
}

function countDrainsInProgress(context: planContext.PlanContext, stop: fleetState.StopState): number {
    return stop.remaining.filter(name => context.hasDrainFor(name, stop.stop.name)).length;
}

/**
 * Instances that were rebooted for the stop, or did not return in time, and are lost now. Instances are left out whose
 * rack also lost instances that the stop did not reboot, since the cause is then the rack and not the reboot.
 */
function listLostAfterReturn(context: planContext.PlanContext, stop: fleetState.StopState): string[] {
    const rebooted = new Set([...stop.failed, ...stop.returned]);
    const lost = [...context.state.instances.values()].filter(({ phase, instance }) =>
        phase === fleetState.Phase.active && context.observations.isDown(instance.name, context.now)
    );
    const racksWithOtherLosses = new Set(
        lost.filter(instance => !rebooted.has(instance.instance.name)).map(instance => instance.instance.rack),
    );
    return lost
        .filter(({ instance }) => rebooted.has(instance.name) && !racksWithOtherLosses.has(instance.rack))
        .map(({ instance }) => instance.name);
}

function listUnreplaced(context: planContext.PlanContext, lost: readonly string[]): string[] {
    const balances = balance.computeBalances(context.state, name => context.needsReplacement(name));
    return lost.filter(name => {
        const instance = context.state.instances.get(name);
        return instance !== undefined && !isReplaced(context, instance, balances);
    });
}

/** Whether the instance has been lost long enough to be replaced and the pool has its planned number without it. */
function isReplaced(
    context: planContext.PlanContext,
    instance: fleetState.InstanceState,
    balances: ReadonlyMap<string, balance.Balance>,
): boolean {
    return context.needsReplacement(instance.instance.name) && (balances.get(instance.pool)?.surplus ?? 0) >= 0;
}

/**
 * The first batch has to return before further drains start. After failures, instances are rebooted one at a time until
 * more have returned healthy than failed; those that are lost or settling don't count as healthy. Of the numbers of
 * failed and of lost instances the greater one is used and not the sum, since an instance can be in both.
 */
function chooseStage(context: planContext.PlanContext, stop: fleetState.StopState, lostCount: number): Stage {
    const failures = Math.max(stop.failed.length, lostCount);
    const total = stop.remaining.length + stop.returned.length + stop.failed.length;
    if (!context.input.policy.startsWithFirstBatch || (total <= maxInstancesWithoutFirstBatch && failures === 0)) {
        return Stage.open;
    }
    const settlingCount = stop.returned.filter(name => context.observations.isSettling(name, context.now)).length;
    if (stop.returned.length - lostCount - settlingCount > failures) {
        return Stage.open;
    }
    return failures === 0 ? Stage.firstBatch : Stage.careful;
}
