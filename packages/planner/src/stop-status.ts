/**
 * How a planned stop stands: what is under way, what has failed, and how many instances it may have out.
 */
import * as fleetState from "@catkinwharf/fleet-state";
import * as balance from "./balance.js";
import type * as context from "./context.js";

/** A stop that still has instances to go through. */
export interface StopStatus {
    readonly stop: fleetState.StopState;
    /** Instances that are out for the stop. */
    readonly out: number;
    /** Returned instances that can't serve and were not replaced. */
    readonly failing: readonly string[];
    readonly halted: boolean;
    /** Instances that the stop may have out at once. */
    readonly maxOut: number;
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
    const failing = listFailing(given, stop);
    const back = stop.returned.length + stop.failed.length;
    const halted = given.input.policy.haltsOnFailures && failing.length > Math.floor(back * toleratedShare);
    return {
        stop,
        out: countOut(given, stop),
        failing,
        halted,
        maxOut: limitOut(given, stop, failing.length),
        taken: new Set(),
    };
}

function countOut(given: context.PlanContext, stop: fleetState.StopState): number {
    const pending = (given.input.pending ?? []).filter(one =>
        one.kind === "drain-started" && one.purpose.kind === "stop" && one.purpose.stop === stop.stop.name
    );
    const drained = stop.remaining.filter(name => {
        const purpose = given.state.instances.get(name)?.drain?.purpose;
        return purpose?.kind === "stop" && purpose.stop === stop.stop.name;
    });
    return drained.length + pending.length;
}

function listFailing(given: context.PlanContext, stop: fleetState.StopState): string[] {
    const balances = balance.measureBalances(given.state, name => given.isLostForLong(name));
    return [...new Set([...stop.failed, ...stop.returned])].filter(name => {
        const instance = given.state.instances.get(name);
        return instance?.phase === fleetState.Phase.active
            && given.observations.isLost(name, given.now)
            && !isReplaced(given, instance, balances);
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

/** The first batch goes alone; after a failure it takes one healthy return more for each. */
function limitOut(given: context.PlanContext, stop: fleetState.StopState, failing: number): number {
    const { firstBatch, maxOut } = given.input.policy;
    const failures = Math.max(stop.failed.length, failing);
    const total = stop.remaining.length + stop.returned.length + stop.failed.length;
    if (firstBatch === undefined || (total <= smallStop && failures === 0)) {
        return maxOut;
    }
    const healthy = stop.returned.length - failing;
    return healthy > failures ? maxOut : firstBatch;
}
