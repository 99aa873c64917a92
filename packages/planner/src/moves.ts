/**
 * Moves between pools: to pools below their plan or under sustained demand, and back to the spare pool.
 *
 * A move is started only after its cause has lasted longer than a move takes, so that no burst shorter than the move
 * starts one; surplus is given back only after much longer.
 */
import * as balance from "./balance.js";
import * as capacity from "./capacity.js";
import type * as context from "./context.js";
import type * as draft from "./draft.js";
import * as policies from "./policies.js";
import * as registration from "./registration.js";

/** Time for which a pool has too many before one is given back, in ms. */
const surplusHoldMs = 600_000;
/** Least span over which demand has to last, in ms, and as a multiple of the learnt length of a move. */
const minDemandSpanMs = 120_000;
const demandSpanMoves = 3;
/** Use of its slots that a pool is sized for under sustained demand. */
const targetUse = 0.85;

/** Least part of one more instance that must be needed. */
const minUse = 0.5;

/** Pools and the number of instances that they lack (above 0) or could give (below 0). */
type Wants = ReadonlyMap<string, number>;

/** Moves for plan and demand; `stopping` names the instances that stops still cover. */
export function planMoves(given: context.PlanContext, stopping: ReadonlySet<string>): draft.DecisionDraft[] {
    if (given.isMembershipStale()) {
        return [];
    }
    const wants = measureWants(given);
    const drafts: draft.DecisionDraft[] = [];
    for (const [pool, missing] of wants) {
        for (let count = 0; count < missing; count++) {
            const donated = findDonation(given, pool, wants, drafts.length);
            if (donated === undefined) {
                break;
            }
            drafts.push(given.startDrain(donated, { kind: "move", pool }));
        }
    }
    return [...drafts, ...returnSurplus(given, wants, stopping)];
}

/** Spare instance that suits the pool best: available, and where the pool has the fewest. */
export function findSpare(given: context.PlanContext, pool: string): capacity.InstanceView | undefined {
    const spare = given.pools.get(given.configuration.sparePool);
    const usable = spare?.instances.filter(one => one.available && given.isFree(one)) ?? [];
    return pickBySpread(given, pool, usable);
}

function measureWants(given: context.PlanContext): Wants {
    const balances = balance.measureBalances(given.state, name => given.isLostForLong(name));
    const wants = new Map<string, number>();
    for (const [pool, { planned, effective }] of balances) {
        const pendingMoves = countPendingMoves(given, pool);
        const base = planned + (planned > 0 ? given.input.policy.reservePerPool : 0);
        const wanted = Math.max(base, measureNeed(given, pool));
        wants.set(pool, wanted - effective - pendingMoves);
        const lastsByPlan = given.observations.isShortFor(pool, given.input.policy.shortPoolMs, given.now);
        if (wanted === planned && wanted > effective && !lastsByPlan) {
            wants.set(pool, 0);
        }
    }
    return wants;
}

function countPendingMoves(given: context.PlanContext, pool: string): number {
    return (given.input.pending ?? []).filter(one =>
        one.kind === "drain-started" && one.purpose.kind === "move" && one.purpose.pool === pool
    ).length;
}

/** Instances that the sustained demand of the pool's services needs, 0 when the policy does not follow demand. */
function measureNeed(given: context.PlanContext, pool: string): number {
    const view = given.pools.get(pool);
    if (!given.input.policy.followsDemand || view === undefined) {
        return 0;
    }
    const spanMs = Math.max(minDemandSpanMs, demandSpanMoves * given.observations.estimateMoveMs());
    const slots = given.configuration.services
        .filter(service => service.pool === pool)
        .reduce((sum, service) => sum + given.input.demand.estimateSustained(service.name, spanMs, given.now), 0);
    return limitNeed(view, slots);
}

/** One more instance pays only when more than half of it would be used, the more the more moves weigh. */
function limitNeed(pool: capacity.PoolView, slots: number): number {
    const { bufferCost, rollOutTime, moves } = pool.weights;
    const total = bufferCost + rollOutTime + moves;
    const threshold = minUse + (total === 0 ? 0 : (1 - minUse) * moves / total);
    const slotsEach = averageSlots(pool);
    return slotsEach === 0 ? 0 : Math.ceil(slots / (slotsEach * targetUse) - threshold);
}

function averageSlots(pool: capacity.PoolView): number {
    const slots = pool.instances.reduce((sum, one) => sum + one.state.instance.slots, 0);
    return pool.instances.length === 0 ? 0 : slots / pool.instances.length;
}

/** A spare instance, or else one of a pool above its wants. */
function findDonation(
    given: context.PlanContext,
    pool: string,
    wants: Wants,
    started: number,
): capacity.InstanceView | undefined {
    const spare = findSpare(given, pool);
    if (spare !== undefined || started > 0) {
        return spare;
    }
    for (const [donor, missing] of wants) {
        const view = given.pools.get(donor);
        if (missing < 0 && view !== undefined) {
            const found = pickBySpread(given, pool, listRemovable(given, view));
            if (found !== undefined) {
                return found;
            }
        }
    }
    return undefined;
}

/** Gives one instance back from each pool that has had too many for long and that no stop covers. */
function returnSurplus(
    given: context.PlanContext,
    wants: Wants,
    stopping: ReadonlySet<string>,
): draft.DecisionDraft[] {
    const drafts: draft.DecisionDraft[] = [];
    for (const [pool, missing] of wants) {
        const view = given.pools.get(pool);
        const settled = view !== undefined && !view.instances.some(one => stopping.has(one.name));
        if (settled && missing < 0 && given.observations.isSurplusFor(pool, surplusHoldMs, given.now)) {
            const crowded = listRemovable(given, view).at(-1);
            if (crowded !== undefined) {
                drafts.push(given.startDrain(crowded, { kind: "move", pool: given.configuration.sparePool }));
            }
        }
    }
    return drafts;
}

/** Instances that the pool can do without now, the most crowded last. */
function listRemovable(given: context.PlanContext, pool: capacity.PoolView): capacity.InstanceView[] {
    const own = listPlaces(pool);
    return pool.instances
        .filter(one => one.available && given.isFree(one) && policies.keepsPromise(pool, one))
        .sort((left, right) => registration.measureCrowding(left, own) - registration.measureCrowding(right, own));
}

function pickBySpread(
    given: context.PlanContext,
    pool: string,
    candidates: readonly capacity.InstanceView[],
): capacity.InstanceView | undefined {
    const view = given.pools.get(pool);
    const own = view === undefined ? [] : listPlaces(view);
    const crowding = candidates.map(one => registration.measureCrowding(one, own));
    return candidates[crowding.indexOf(Math.min(...crowding))];
}

function listPlaces(pool: capacity.PoolView): { pool: string; rack: string; availabilityZone: string; }[] {
    return pool.instances.map(one => ({ pool: pool.name, rack: one.rack, availabilityZone: one.availabilityZone }));
}
