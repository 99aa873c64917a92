/**
 * How a planned stop stands: what is under way, what has failed, and how many instances it may have out.
 */
import * as fleetState from "@catkinwharf/fleet-state";
import * as balance from "./balance.js";
import type * as context from "./context.js";

/** How boldly a stop goes on. */
export const Stage = {
    /** The first batch: one instance, and one of each pool that weighs roll-out time most. */
    firstBatch: "first-batch",
    /** Some returned instances failed: one at a time until as many have returned healthy. */
    careful: "careful",
    /** As many as the budgets allow. */
    open: "open",
} as const;

export type Stage = (typeof Stage)[keyof typeof Stage];

/** A stop that still has instances to go through. */
export interface StopStatus {
    readonly stop: fleetState.StopState;
    /** Instances that are out for the stop. */
    readonly out: number;
    /** Returned instances that can't serve and were not replaced. */
    readonly failing: readonly string[];
    readonly halted: boolean;
    /** What the stop may have out at once. */
    readonly stage: Stage;
    /** Instances that this plan takes out for the stop. */
    readonly taken: Set<string>;
}

/** Failures that are borne, as a share of the instances that came back. */
const toleratedShare = 0.1;
/** Instances up to which a stop needs no first batch: a rack's worth, which the budgets cover at once. */
const smallStop = 4;

/** Stops that are neither finished nor cancelled, the earliest deadline first, then the earliest announced. */
export function listRunningStops(given: context.PlanContext): StopStatus[] {
    return [...given.state.stops.values()]
        .filter(stop => !stop.cancelled && !fleetState.isFinished(stop))
        .sort(compareStops)
        .map(stop => assess(given, stop));
}

function compareStops(left: fleetState.StopState, right: fleetState.StopState): number {
    const [leftDeadline, rightDeadline] = [left, right].map(({ stop }) => stop.deadlineAt ?? Number.MAX_SAFE_INTEGER);
    return (leftDeadline as number) - (rightDeadline as number) || left.offset - right.offset;
}

function assess(given: context.PlanContext, stop: fleetState.StopState): StopStatus {
    const lost = listLost(given, stop);
    const failing = listUnreplaced(given, lost);
    const back = stop.returned.length + stop.failed.length;
    return {
        stop,
        out: countOut(given, stop),
        failing,
        halted: given.input.policy.haltsOnFailures && failing.length > Math.floor(back * toleratedShare),
        stage: findStage(given, stop, lost.length),
        taken: new Set(),
    };
}

function countOut(given: context.PlanContext, stop: fleetState.StopState): number {
    return stop.remaining.filter(name => given.isOutFor(name, stop.stop.name)).length;
}

/**
 * Instances that came back from the stop and can't serve now. Those in a rack that lost others too are left out: the
 * rack is at fault and not the reboot.
 */
function listLost(given: context.PlanContext, stop: fleetState.StopState): string[] {
    const back = new Set([...stop.failed, ...stop.returned]);
    const lost = [...given.state.instances.values()].filter(({ phase, instance }) =>
        phase === fleetState.Phase.active && given.observations.isLost(instance.name, given.now)
    );
    const hitRacks = new Set(lost.filter(one => !back.has(one.instance.name)).map(one => one.instance.rack));
    return lost
        .filter(({ instance }) => back.has(instance.name) && !hitRacks.has(instance.rack))
        .map(({ instance }) => instance.name);
}

function listUnreplaced(given: context.PlanContext, lost: readonly string[]): string[] {
    const balances = balance.measureBalances(given.state, name => given.isLostForLong(name));
    return lost.filter(name => {
        const instance = given.state.instances.get(name);
        return instance !== undefined && !isReplaced(given, instance, balances);
    });
}

/** Whether the pool has its planned number without the instance. */
function isReplaced(
    given: context.PlanContext,
    instance: fleetState.InstanceState,
    balances: ReadonlyMap<string, balance.Balance>,
): boolean {
    return given.isLostForLong(instance.instance.name) && (balances.get(instance.pool)?.difference ?? 0) >= 0;
}

/** The first batch goes alone; after failures, so does one after the other until more have returned healthy. */
function findStage(given: context.PlanContext, stop: fleetState.StopState, lost: number): Stage {
    const failures = Math.max(stop.failed.length, lost);
    const total = stop.remaining.length + stop.returned.length + stop.failed.length;
    if (!given.input.policy.startsSmall || (total <= smallStop && failures === 0)) {
        return Stage.open;
    }
    const settling = stop.returned.filter(name => given.observations.isSettling(name, given.now)).length;
    if (stop.returned.length - lost - settling > failures) {
        return Stage.open;
    }
    return failures === 0 ? Stage.firstBatch : Stage.careful;
}
