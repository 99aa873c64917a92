/**
 * Moves between pools: to pools below their planned size or under sustained demand, and back to the spare pool.
 *
 * A move for demand starts only after the demand has lasted several times as long as a move takes, so that a shorter
 * burst never causes one; a move to a pool below its planned size starts after the policy's `shortPoolMs`. Surplus
 * instances are moved back only after a much longer time.
 */
import * as balance from "./balance.js";
import * as capacity from "./capacity.js";
import type * as draft from "./draft.js";
import type * as planContext from "./plan-context.js";
import * as policies from "./policies.js";
import * as registration from "./registration.js";

/** Time for which a pool must have a surplus before an instance is moved back to the spare pool, in ms. */
const surplusDurationMs = 600_000;
/** Minimum time for which demand has to last: in ms, and as a multiple of the average duration of a move. */
const minDemandDurationMs = 120_000;
const demandDurationInMoves = 3;
/** Slot utilization that a pool is sized for under sustained demand. */
const targetUtilization = 0.85;

/** Minimum utilization that an additional instance would have to reach. */
const minUtilization = 0.5;

/** Number of instances that each pool lacks (above 0) or can spare (below 0). */
type Deficits = ReadonlyMap<string, number>;

/**
 * Starts moves to reach the planned sizes and to follow demand. `remainingOfStops` names the instances that running
 * stops have yet to reboot.
 */
export function planMoves(
    context: planContext.PlanContext,
    remainingOfStops: ReadonlySet<string>,
): draft.DecisionDraft[] {
    if (context.isMembershipStale()) {
        return [];
    }
    const deficits = computeDeficits(context);
    const drafts: draft.DecisionDraft[] = [];
    for (const [pool, deficit] of deficits) {
        for (let count = 0; count < deficit; count++) {
            const instance = findInstanceToMove(context, pool, deficits, drafts.length);
            if (instance === undefined) {
                break;
            }
            drafts.push(context.startDrain(instance, { kind: "move", pool }));
        }
    }
    return [...drafts, ...returnSurplus(context, deficits, remainingOfStops)];
}

/** The available spare instance in the rack and zone where the pool has the fewest instances. */
export function findSpare(context: planContext.PlanContext, pool: string): capacity.InstanceView | undefined {
    const spare = context.pools.get(context.configuration.sparePool);
    const usable = spare?.instances.filter(instance => instance.available && context.canStartDrain(instance)) ?? [];
    return chooseLeastColocated(context, pool, usable);
}

function computeDeficits(context: planContext.PlanContext): Deficits {
    const balances = balance.computeBalances(context.state, name => context.needsReplacement(name));
    const deficits = new Map<string, number>();
    for (const [pool, { planned, effective }] of balances) {
        const pendingMoves = countPendingMoves(context, pool);
        const configured = planned + (planned > 0 ? context.input.policy.reservePerPool : 0);
        const wanted = Math.max(configured, countInstancesForDemand(context, pool));
        deficits.set(pool, wanted - effective - pendingMoves);
        const isShortLongEnough = context.observations.isShortFor(pool, context.input.policy.shortPoolMs, context.now);
        // Unlike demand, which has lasted already, a pool below its planned size has to stay so for a while.
        if (wanted === planned && wanted > effective && !isShortLongEnough) {
            deficits.set(pool, 0);
        }
    }
    return deficits;
}

function countPendingMoves(context: planContext.PlanContext, pool: string): number {
    return (context.input.pending ?? []).filter(decision =>
        decision.kind === "drain-started" && decision.purpose.kind === "move" && decision.purpose.pool === pool
    ).length;
}

/** Instances required by the sustained demand of the pool's services; 0 when the policy does not follow demand. */
function countInstancesForDemand(context: planContext.PlanContext, pool: string): number {
    const view = context.pools.get(pool);
    if (!context.input.policy.followsDemand || view === undefined) {
        return 0;
    }
    const durationMs = Math.max(minDemandDurationMs, demandDurationInMoves * context.observations.estimateMoveMs());
    const slots = context.configuration.services
        .filter(service => service.pool === pool)
        .reduce(
            (sum, service) => sum + context.input.demand.estimateSustained(service.name, durationMs, context.now),
            0,
        );
    return countInstancesForSlots(view, slots);
}

/**
 * Rounds up only when more than half of the additional instance would be used; the threshold rises with the weight of
 * moves.
 */
function countInstancesForSlots(pool: capacity.PoolView, slots: number): number {
    const { bufferCost, rollOutTime, moves } = pool.weights;
    const total = bufferCost + rollOutTime + moves;
    const threshold = minUtilization + (total === 0 ? 0 : (1 - minUtilization) * moves / total);
    const slotsPerInstance = computeAverageSlots(pool);
    return slotsPerInstance === 0 ? 0 : Math.ceil(slots / (slotsPerInstance * targetUtilization) - threshold);
}

function computeAverageSlots(pool: capacity.PoolView): number {
    const slots = pool.instances.reduce((sum, instance) => sum + instance.state.instance.slots, 0);
    return pool.instances.length === 0 ? 0 : slots / pool.instances.length;
}

/**
 * A spare instance, or if there is none, one of a pool with a surplus. The latter only for the first move of planMoves:
 * `deficits` is not updated by moves, so several could take more than the surplus.
 */
function findInstanceToMove(
    context: planContext.PlanContext,
    pool: string,
    deficits: Deficits,
    startedMoves: number,
): capacity.InstanceView | undefined {
    const spare = findSpare(context, pool);
    if (spare !== undefined || startedMoves > 0) {
        return spare;
    }
    for (const [sourcePool, deficit] of deficits) {
        const view = context.pools.get(sourcePool);
        if (deficit < 0 && view !== undefined) {
            const found = chooseLeastColocated(context, pool, listRemovable(context, view));
            if (found !== undefined) {
                return found;
            }
        }
    }
    return undefined;
}

/**
 * Moves one instance to the spare pool from each pool with a lasting surplus, unless running stops have yet to reboot
 * instances of that pool.
 */
function returnSurplus(
    context: planContext.PlanContext,
    deficits: Deficits,
    remainingOfStops: ReadonlySet<string>,
): draft.DecisionDraft[] {
    const drafts: draft.DecisionDraft[] = [];
    for (const [pool, deficit] of deficits) {
        const view = context.pools.get(pool);
        const isOutsideStops = view !== undefined
            && !view.instances.some(instance => remainingOfStops.has(instance.name));
        if (isOutsideStops && deficit < 0 && context.observations.isSurplusFor(pool, surplusDurationMs, context.now)) {
            const mostColocated = listRemovable(context, view).at(-1);
            if (mostColocated !== undefined) {
                drafts.push(context.startDrain(mostColocated, { kind: "move", pool: context.configuration.sparePool }));
            }
        }
    }
    return drafts;
}

/** Instances that the pool can lose now; those whose rack and zone hold most of the pool come last. */
function listRemovable(context: planContext.PlanContext, pool: capacity.PoolView): capacity.InstanceView[] {
    const locations = listLocations(pool);
    return pool.instances
        .filter(instance =>
            instance.available && context.canStartDrain(instance) && policies.keepsRequired(pool, instance)
        )
        .sort((left, right) =>
            registration.computeColocation(left, locations) - registration.computeColocation(right, locations)
        );
}

/** The candidate in the rack and zone where the destination pool has the fewest instances. */
function chooseLeastColocated(
    context: planContext.PlanContext,
    pool: string,
    candidates: readonly capacity.InstanceView[],
): capacity.InstanceView | undefined {
    const view = context.pools.get(pool);
    const locations = view === undefined ? [] : listLocations(view);
    const colocations = candidates.map(candidate => registration.computeColocation(candidate, locations));
    return candidates[colocations.indexOf(Math.min(...colocations))];
}

function listLocations(pool: capacity.PoolView): { pool: string; rack: string; availabilityZone: string; }[] {
    return pool.instances.map(instance => ({
        pool: pool.name,
        rack: instance.rack,
        availabilityZone: instance.availabilityZone,
    }));
}
