/**
 * Brings a launched deployment to the point where callers are served.
 */
import * as schema from "@catkinwharf/schema";
import * as testUtils from "@catkinwharf/test-utils";
import * as operator from "./operator.js";

/** Time in ms for all pools to fill. */
const fillLimitMs = 30_000;

/** Creates an operator who talks to the entry instance at an index. */
export function createOperator(running: testUtils.RunningDeployment, index = 0): operator.Operator {
    const entry = running.entries[index];
    return new operator.Operator(entry?.operatorUrl ?? "", running.operatorKey);
}

/** Publishes the deployment's profiles and configuration, and waits until every pool has its planned instances. */
export async function publishDeployment(running: testUtils.RunningDeployment): Promise<void> {
    await running.waitReady();
    const first = createOperator(running);
    for (const profile of running.profiles()) {
        await first.publishProfile(profile, 0);
    }
    await first.publishConfiguration(running.configuration(), 0);
    await Promise.all(running.entries.map((_, index) => waitUntilFilled(createOperator(running, index))));
}

/** Waits until every pool has its planned instances and each of them has a home. */
export async function waitUntilFilled(one: operator.Operator): Promise<void> {
    await operator.waitForStatus(one, status => {
        const pools = status.pools.filter(pool => pool.planned > 0);
        const filled = pools.length > 0 && pools.every(pool => pool.active >= pool.planned);
        const total = status.pools.reduce((sum, pool) => sum + pool.active, 0);
        const homes = status.sessions.reduce((sum, session) => sum + session.homes, 0);
        return filled && homes === total;
    }, fillLimitMs);
}

/** Time in ms for drains, reboots and changes of homes to end. */
const settleLimitMs = 60_000;

/** Waits until every instance takes work and has a home; pools may still differ from their plan. */
export async function waitUntilSettled(one: operator.Operator): Promise<void> {
    await operator.waitForStatus(one, status => {
        const active = status.pools.reduce((sum, pool) => sum + pool.active, 0);
        const out = status.pools.reduce((sum, pool) => sum + pool.draining + pool.stopped, 0);
        const homes = status.sessions.reduce((sum, session) => sum + session.homes, 0);
        return out === 0 && homes === active && status.stops.every(stop => stop.total === stop.done);
    }, settleLimitMs);
}

/** The configuration with an instance more in the first pool and one less in the second. */
export function shiftPlan(configuration: schema.log.Configuration): schema.log.Configuration {
    const pools = configuration.pools.map((pool, index) => {
        const shift = index === 0 ? 1 : index === 1 ? -1 : 0;
        return { ...pool, instances: Math.max(1, pool.instances + shift) };
    });
    return { ...configuration, pools };
}
