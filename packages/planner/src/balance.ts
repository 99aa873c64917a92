/**
 * Compares the number of instances in each pool with the number planned by the configuration.
 */
import type * as fleetState from "@catkinwharf/fleet-state";

/** Time for which an instance must be lost before it is replaced, in ms. */
export const replaceAfterMs = 300_000;

/** Planned and effective size of a pool. */
export interface Balance {
    readonly planned: number;
    /**
     * Instances that serve or will serve: excludes instances to be replaced and those moving away, includes those
     * moving in.
     */
    readonly effective: number;
    /** Effective size minus planned size; below 0 for a deficit. */
    readonly surplus: number;
}

/** Balance of each pool except the spare pool; empty without a configuration. */
export function computeBalances(
    state: fleetState.FleetState,
    needsReplacement: (instance: string) => boolean,
): ReadonlyMap<string, Balance> {
    const configuration = state.configuration?.value;
    if (configuration === undefined) {
        return new Map();
    }
    const effective = countEffective(state, needsReplacement);
    const planned = new Map(configuration.pools.map(pool => [pool.name, pool.instances]));
    const pools = new Set([...planned.keys(), ...effective.keys()]);
    pools.delete(configuration.sparePool);
    return new Map([...pools].map(pool => [pool, createBalance(planned.get(pool) ?? 0, effective.get(pool) ?? 0)]));
}

/** Pool of an instance, or the destination of its move if it is being moved. */
export function getDestinationPool(instance: fleetState.InstanceState): string {
    const purpose = instance.drain?.purpose;
    return purpose?.kind === "move" ? purpose.pool : instance.pool;
}

function countEffective(
    state: fleetState.FleetState,
    needsReplacement: (instance: string) => boolean,
): Map<string, number> {
    const counts = new Map<string, number>();
    for (const [name, instance] of state.instances) {
        if (!needsReplacement(name)) {
            const pool = getDestinationPool(instance);
            counts.set(pool, (counts.get(pool) ?? 0) + 1);
        }
    }
    return counts;
}

function createBalance(planned: number, effective: number): Balance {
    return { planned, effective, surplus: effective - planned };
}
