/**
 * Publishes the configuration of a launched deployment and waits until the deployment serves callers.
 */
import * as schema from "@catkinwharf/schema";
import * as testUtils from "@catkinwharf/test-utils";
import * as operatorClient from "./operator-client.js";

/** Maximum time in ms until every pool has its planned instances. */
const fillTimeoutMs = 30_000;
/** Delay in ms before a change is published again. */
const retryDelayMs = 100;

/** Creates an operator client for the entry instance at an index. */
export function createOperatorClient(running: testUtils.RunningDeployment, index = 0): operatorClient.OperatorClient {
    const entry = running.entries[index];
    return new operatorClient.OperatorClient(entry?.operatorUrl ?? "", running.operatorKey);
}

/** Publishes the deployment's profiles and configuration, and waits until every pool has its planned instances. */
export async function publishDeployment(running: testUtils.RunningDeployment): Promise<void> {
    await running.waitReady();
    const client = createOperatorClient(running);
    for (const profile of running.profiles()) {
        await publishUntilAccepted(() => client.publishProfile(profile, 0));
    }
    await publishUntilAccepted(() => client.publishConfiguration(running.configuration(), 0));
    await Promise.all(running.entries.map((_, index) => waitUntilFilled(createOperatorClient(running, index))));
}

/**
 * Publishes a change, and again while the log is out of reach of the entry instance. A conflict after an answer of
 * unknown outcome is the change itself. Rejects if the change is refused or can't be published in time.
 */
export async function publishUntilAccepted(publish: () => Promise<schema.operator.ChangeAnswer>): Promise<void> {
    const timeoutAt = performance.now() + fillTimeoutMs;
    let mayBePublished = false;
    for (;;) {
        const answer = await publish();
        if (answer.status === "accepted" || mayBePublished && answer.status === "conflict") {
            return;
        }
        const isRetryable = answer.status === "unavailable" || answer.status === "unknown";
        if (!isRetryable || performance.now() > timeoutAt) {
            throw new Error(`the change was not published: ${answer.status}, ${answer.reason}`);
        }
        mayBePublished ||= answer.status === "unknown";
        await new Promise(resolve => setTimeout(resolve, retryDelayMs));
    }
}

/** Waits until every pool has its planned instances and each of them has a home. */
export async function waitUntilFilled(client: operatorClient.OperatorClient): Promise<void> {
    await operatorClient.waitForStatus(client, status => {
        const pools = status.pools.filter(pool => pool.planned > 0);
        const filled = pools.length > 0 && pools.every(pool => pool.active >= pool.planned);
        const total = status.pools.reduce((sum, pool) => sum + pool.active, 0);
        const homes = status.sessions.reduce((sum, session) => sum + session.homes, 0);
        return filled && homes === total;
    }, fillTimeoutMs);
}

/** Maximum time in ms until drains, reboots and changes of homes have ended. */
const settleTimeoutMs = 60_000;

/** Waits until every instance is active and has a home, and every stop is done; pools may still miss their plan. */
export async function waitUntilSettled(client: operatorClient.OperatorClient): Promise<void> {
    await operatorClient.waitForStatus(client, status => {
        const active = status.pools.reduce((sum, pool) => sum + pool.active, 0);
        const unavailable = status.pools.reduce((sum, pool) => sum + pool.draining + pool.stopped, 0);
        const homes = status.sessions.reduce((sum, session) => sum + session.homes, 0);
        return unavailable === 0 && homes === active && status.stops.every(stop => stop.total === stop.done);
    }, settleTimeoutMs);
}

/** Returns the configuration with one more instance in the first pool and one less, but at least 1, in the second. */
export function shiftPlannedInstance(configuration: schema.log.Configuration): schema.log.Configuration {
    const pools = configuration.pools.map((pool, index) => {
        const change = index === 0 ? 1 : index === 1 ? -1 : 0;
        return { ...pool, instances: Math.max(1, pool.instances + change) };
    });
    return { ...configuration, pools };
}
