/**
 * What each pool has, what it must keep, and what one plan has taken out of it so far.
 *
 * An instance is available when it is active, live, not failing, has held for a while after a reboot, and has a home
 * that other zones reach. The promise of a pool is the number that must stay available: the strictest among the profiles
 * of its services.
 */
import * as fleetState from "@catkinwharf/fleet-state";
import type * as schema from "@catkinwharf/schema";
import type * as observations from "./observations.js";

/** An instance as the planner sees it. */
export interface InstanceView {
    readonly name: string;
    readonly rack: string;
    readonly availabilityZone: string;
    readonly state: fleetState.InstanceState;
    /** Not live or failing while it should serve. */
    readonly lost: boolean;
    /** Serves now, and was not taken out by this plan. */
    available: boolean;
}

/** A pool as the planner sees it. */
export interface PoolView {
    readonly name: string;
    readonly planned: number;
    readonly instances: readonly InstanceView[];
    /** Profiles of the services that the pool serves. */
    readonly profiles: readonly schema.log.Profile[];
    /** Instances that must stay available. */
    readonly required: number;
    /** Sum of the profiles' weights. */
    readonly weights: schema.log.Weights;
}

/** Kind of failure domain. */
export type Domain = "rack" | "availabilityZone";

/**
 * Time for which a pool is below its plan before it is judged by the instances that it has, in ms. Without this a
 * stop would never end in a fleet that lost more instances for good than it has spare ones.
 */
const acceptLossAfterMs = 1_800_000;

/** Tolerance for shares that binary fractions don't hit exactly. */
const shareTolerance = 1e-9;

/** Views of all pools, the spare pool included, by name; `idle` names instances that serve nobody, or not everybody. */
export function viewPools(
    state: fleetState.FleetState,
    configuration: schema.log.Configuration,
    seen: observations.Observations,
    idle: ReadonlySet<string>,
    now: number,
): ReadonlyMap<string, PoolView> {
    const byPool = new Map<string, InstanceView[]>();
    for (const pool of configuration.pools) {
        byPool.set(pool.name, []);
    }
    for (const [name, instance] of state.instances) {
        const views = byPool.get(instance.pool) ?? [];
        views.push(viewInstance(name, instance, seen, idle, now));
        byPool.set(instance.pool, views);
    }
    return new Map([...byPool].map(([pool, views]) => {
        const acceptsLoss = seen.isShortFor(pool, acceptLossAfterMs, now);
        return [pool, viewPool(pool, views, state, configuration, acceptsLoss)];
    }));
}

/** Instances available now. */
export function countAvailable(pool: PoolView): number {
    return pool.instances.filter(instance => instance.available).length;
}

/**
 * The greatest further loss to provide for when `without` is taken out: the available instances of one domain.
 *
 * After a loss only the rest of the domains that it hit counts: it may still be under way, and a second one elsewhere
 * is not provided for.
 */
export function measureFurtherLoss(pool: PoolView, domain: Domain, without: InstanceView): number {
    const hit = new Set(pool.instances.filter(instance => instance.lost).map(instance => instance[domain]));
    const counted = pool.instances.filter(instance =>
        instance.available && instance !== without && (hit.size === 0 || hit.has(instance[domain]))
    );
    return measureGreatest(counted, domain);
}

/** The greatest number of instances, available or not, that one domain holds. */
export function measureGreatestDomain(pool: PoolView, domain: Domain): number {
    return measureGreatest(pool.instances, domain);
}

function measureGreatest(instances: readonly InstanceView[], domain: Domain): number {
    const counts = new Map<string, number>();
    for (const instance of instances) {
        counts.set(instance[domain], (counts.get(instance[domain]) ?? 0) + 1);
    }
    return Math.max(0, ...counts.values());
}

/** Instances that may be unavailable at once when `total` belong to the pool. */
export function countAllowed(budget: schema.log.AvailabilityBudget, total: number): number {
    const byShare = Math.max(1, Math.floor(budget.maxUnavailableShare * total + shareTolerance));
    return Math.max(0, Math.min(byShare, total - budget.minimumInstances));
}

/** Whether the pool's profiles weigh roll-out time more than buffer cost. */
export function prefersRollOut(pool: PoolView): boolean {
    return pool.weights.rollOutTime > pool.weights.bufferCost;
}

function viewInstance(
    name: string,
    instance: fleetState.InstanceState,
    seen: observations.Observations,
    idle: ReadonlySet<string>,
    now: number,
): InstanceView {
    const serves = instance.phase === fleetState.Phase.active;
    const lost = serves && seen.isLost(name, now);
    return {
        name,
        rack: instance.instance.rack,
        availabilityZone: instance.instance.availabilityZone,
        state: instance,
        lost,
        available: serves && !lost && !idle.has(name) && !seen.isSettling(name, now),
    };
}

function viewPool(
    name: string,
    instances: readonly InstanceView[],
    state: fleetState.FleetState,
    configuration: schema.log.Configuration,
    acceptsLoss: boolean,
): PoolView {
    const planned = configuration.pools.find(pool => pool.name === name)?.instances ?? 0;
    const profiles = configuration.services
        .filter(service => service.pool === name)
        .map(service => state.profiles.get(service.profile)?.value)
        .filter(profile => profile !== undefined);
    return {
        name,
        planned,
        instances: [...instances].sort((left, right) => fleetState.compareNames(left.name, right.name)),
        profiles,
        required: countRequired(profiles, acceptsLoss ? Math.min(planned, instances.length) : planned),
        weights: sumWeights(profiles),
    };
}

function countRequired(profiles: readonly schema.log.Profile[], total: number): number {
    const required = profiles.map(({ availability }) =>
        Math.max(availability.minimumInstances, total - countAllowed(availability, total))
    );
    return Math.max(0, ...required);
}

function sumWeights(profiles: readonly schema.log.Profile[]): schema.log.Weights {
    return profiles.reduce(
        (sum, { weights }) => ({
            bufferCost: sum.bufferCost + weights.bufferCost,
            rollOutTime: sum.rollOutTime + weights.rollOutTime,
            moves: sum.moves + weights.moves,
        }),
        { bufferCost: 0, rollOutTime: 0, moves: 0 },
    );
}
