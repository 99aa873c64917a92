/**
 * Instances of each pool against the configuration's plan.
 */
import type * as fleetState from "@catkinwharf/fleet-state";

/** Time for which an instance can't serve before it is replaced, in ms. */
export const replaceAfterMs = 300_000;

/** A pool against its plan. */
export interface Balance {
    readonly planned: number;
    /** Instances that serve or will serve: without those lost for long and those leaving, with those coming. */
    readonly effective: number;
    /** Effective above planned. */
    readonly difference: number;
}

/** Balance of each pool except the spare pool; empty without a configuration. */
export function measureBalances(
    state: fleetState.FleetState,
    isLostForLong: (instance: string) => boolean,
): ReadonlyMap<string, Balance> {
    const configuration = state.configuration?.value;
    if (configuration === undefined) {
        return new Map();
    }
    const effective = countEffective(state, isLostForLong);
    const planned = new Map(configuration.pools.map(pool => [pool.name, pool.instances]));
    const pools = new Set([...planned.keys(), ...effective.keys()]);
    pools.delete(configuration.sparePool);
    return new Map([...pools].map(pool => [pool, compare(planned.get(pool) ?? 0, effective.get(pool) ?? 0)]));
}

/** Pool in which an instance is, or will be when its move ends. */
export function getDestination(instance: fleetState.InstanceState): string {
    const purpose = instance.drain?.purpose;
    return purpose?.kind === "move" ? purpose.pool : instance.pool;
}

function countEffective(
    state: fleetState.FleetState,
    isLostForLong: (instance: string) => boolean,
): Map<string, number> {
    const counts = new Map<string, number>();
    for (const [name, instance] of state.instances) {
        if (!isLostForLong(name)) {
            const pool = getDestination(instance);
            counts.set(pool, (counts.get(pool) ?? 0) + 1);
        }
    }
    return counts;
}

function compare(planned: number, effective: number): Balance {
    return { planned, effective, difference: effective - planned };
}
