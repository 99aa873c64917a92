/**
 * The instances of each pool, how many of them must stay available, and which ones the current plan drains.
 *
 * An instance is available when it is active, live, fails no requests, is past the settling time after a reboot, and
 * has a home that is in contact with the log. The number of instances that a pool must keep available is the strictest
 * requirement among the profiles of its services.
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
    /** Whether it is active, but is not live, or fails requests or is ejected. */
    readonly lost: boolean;
    /** Whether it is available (see the head of this file) and neither this plan nor a pending decision drains it. */
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
export type FailureDomainKind = "rack" | "availabilityZone";

/**
 * Time for which a pool must be below its planned size before its requirement is computed from its actual size, in ms.
 * Otherwise a stop would never finish in a fleet that permanently lost more instances than it has spares.
 */
const acceptLossAfterMs = 1_800_000;

/** Tolerance for rounding errors of shares in binary floating point. */
const shareTolerance = 1e-9;

/** Views of all pools by name, including the spare pool; instances in `excluded` count as unavailable. */
export function createPoolViews(
    state: fleetState.FleetState,
    configuration: schema.log.Configuration,
    observed: observations.Observations,
    excluded: ReadonlySet<string>,
    now: number,
): ReadonlyMap<string, PoolView> {
    const byPool = new Map<string, InstanceView[]>();
    for (const pool of configuration.pools) {
        byPool.set(pool.name, []);
    }
    for (const [name, instance] of state.instances) {
        const views = byPool.get(instance.pool) ?? [];
        views.push(createInstanceView(name, instance, observed, excluded, now));
        byPool.set(instance.pool, views);
    }
    return new Map([...byPool].map(([pool, views]) => {
        const acceptsLoss = observed.isShortFor(pool, acceptLossAfterMs, now);
        return [pool, createPoolView(pool, views, state, configuration, acceptsLoss)];
    }));
}

/** Number of instances that are available now. */
export function countAvailable(pool: PoolView): number {
    return pool.instances.filter(instance => instance.available).length;
}

/**
 * Number of available instances, besides `removed`, that would be lost if the failure domain with most of them failed.
 *
 * After a loss only the domains that it affected are considered: their other instances may still be lost, but a second
 * failure elsewhere at the same time is not provided for.
 */
export function computeFurtherLoss(pool: PoolView, kind: FailureDomainKind, removed: InstanceView): number {
    const affectedDomains = new Set(pool.instances.filter(instance => instance.lost).map(instance => instance[kind]));
    const atRisk = pool.instances.filter(instance =>
        instance.available && instance !== removed
        && (affectedDomains.size === 0 || affectedDomains.has(instance[kind]))
    );
    return computeLargestGroupSize(atRisk, kind);
}

/** Number of instances, available or not, in the pool's largest failure domain. */
export function computeLargestDomainSize(pool: PoolView, kind: FailureDomainKind): number {
    return computeLargestGroupSize(pool.instances, kind);
}

function computeLargestGroupSize(instances: readonly InstanceView[], kind: FailureDomainKind): number {
    const counts = new Map<string, number>();
    for (const instance of instances) {
        counts.set(instance[kind], (counts.get(instance[kind]) ?? 0) + 1);
    }
    return Math.max(0, ...counts.values());
}

/**
 * Number of instances of a pool of size `total` that may be unavailable at once: the share, but at least one, so
 * that a small pool or share doesn't block every stop, and never so many that fewer than `minimumInstances` remain.
 */
export function countAllowedUnavailable(budget: schema.log.AvailabilityBudget, total: number): number {
    const byShare = Math.max(1, Math.floor(budget.maxUnavailableShare * total + shareTolerance));
    return Math.max(0, Math.min(byShare, total - budget.minimumInstances));
}

/** Whether the pool's profiles give roll-out time more weight than buffer cost. */
export function prioritizesRollOutTime(pool: PoolView): boolean {
    return pool.weights.rollOutTime > pool.weights.bufferCost;
}

function createInstanceView(
    name: string,
    instance: fleetState.InstanceState,
    observed: observations.Observations,
    excluded: ReadonlySet<string>,
    now: number,
): InstanceView {
    const isActive = instance.phase === fleetState.Phase.active;
    const lost = isActive && observed.isDown(name, now);
    return {
        name,
        rack: instance.instance.rack,
        availabilityZone: instance.instance.availabilityZone,
        state: instance,
        lost,
        available: isActive && !lost && !excluded.has(name) && !observed.isSettling(name, now),
    };
}

function createPoolView(
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

/** The strictest requirement of the profiles; above `total` when the pool is smaller than a profile's minimum. */
function countRequired(profiles: readonly schema.log.Profile[], total: number): number {
    const required = profiles.map(({ availability }) =>
        Math.max(availability.minimumInstances, total - countAllowedUnavailable(availability, total))
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
