/**
 * Outlier detection: ejects backend servers that fail or refuse requests.
 *
 * A server is ejected after several consecutive failures, or when its failure ratio clearly exceeds that of the other
 * servers of its pool. The number of ejected servers is capped, so that a fault of the whole pool never empties it;
 * beyond the cap a failing server stays in use with the smallest share. After the ejection time the server is probed
 * with this share, at least one slot, and from its first success on the share increases gradually. A request that fails
 * on two servers counts as faulty itself, and its failures are discarded.
 */
import * as requestFailures from "./request-failures.js";
import * as serverHealth from "./server-health.js";

/** How an attempt failed. */
export const FailureKind = {
    /** The server responded with an error or closed the connection. */
    error: "error",
    /** No data arrived within the time limit; the connection may be the cause. */
    silent: "silent",
    /** The server refused the request before starting it. */
    refused: "refused",
} as const;

export type FailureKind = (typeof FailureKind)[keyof typeof FailureKind];

/** Weight of each kind of failure in the decision to eject the server. */
const failureWeights: Readonly<Record<FailureKind, number>> = {
    [FailureKind.error]: 1,
    [FailureKind.silent]: 0.5,
    [FailureKind.refused]: 0.25,
};

interface PoolMembers {
    readonly instances: readonly string[];
    readonly maxEjected: number;
}

/** Records the outcomes of attempts and determines the share of its slots that each server may use. */
export class OutlierDetector {
    readonly #pools = new Map<string, PoolMembers>();
    readonly #poolByInstance = new Map<string, string>();
    readonly #servers = new Map<string, serverHealth.ServerHealth>();
    readonly #requestFailures = new requestFailures.RequestFailures();

    /**
     * Sets the instances of a pool, each of which runs one backend server, and how many of them may be ejected at once.
     * The state of instances that left the pool is deleted.
     */
    updatePool(pool: string, instances: readonly string[], maxEjected: number): void {
        const kept = new Set(instances);
        for (const instance of this.#pools.get(pool)?.instances ?? []) {
            if (!kept.has(instance) && this.#poolByInstance.get(instance) === pool) {
                this.#poolByInstance.delete(instance);
                this.#servers.delete(instance);
            }
        }
        for (const instance of instances) {
            this.#poolByInstance.set(instance, pool);
        }
        this.#pools.set(pool, { instances: [...instances], maxEjected });
    }

    /** Records a complete response. */
    recordSuccess(instance: string, now: number): void {
        serverHealth.addSuccess(this.#findOrCreate(instance), now);
    }

    /** Records a failed attempt of a request. */
    recordFailure(instance: string, requestId: string, kind: FailureKind, now: number): void {
        const failedInstanceCount = this.#requestFailures.add(requestId, instance);
        if (this.#requestFailures.isFaulty(requestId)) {
            return;
        }
        const server = this.#findOrCreate(instance);
        serverHealth.addFailure(server, { requestId, weight: failureWeights[kind], at: now });
        if (failedInstanceCount >= requestFailures.requestFaultThreshold) {
            this.discardFailures(requestId);
            return;
        }
        if (serverHealth.shouldEject(server, this.#computeOthersFailureRatio(instance, now), now)) {
            serverHealth.eject(server, this.#isBelowEjectionCap(instance), now);
        }
    }

    /** Servers that a recent request has failed on. */
    listFailedOn(requestId: string): ReadonlySet<string> {
        return this.#requestFailures.list(requestId);
    }

    /** Discards the failures of a faulty request; its later failures are ignored. */
    discardFailures(requestId: string): void {
        for (const instance of this.#requestFailures.markFaulty(requestId)) {
            const server = this.#servers.get(instance);
            if (server !== undefined) {
                serverHealth.removeFailures(server, requestId);
            }
        }
    }

    /** Share of its slots that a server may use: from 0 (ejected) to 1 (all slots). */
    share(instance: string, now: number): number {
        const server = this.#servers.get(instance);
        return server === undefined ? 1 : serverHealth.computeShare(server, now);
    }

    /** Servers that may use no slot now: ejected ones that are neither probed nor kept in use by the cap. */
    listEjected(now: number): string[] {
        return [...this.#servers.keys()].filter(instance => this.share(instance, now) === 0);
    }

    #findOrCreate(instance: string): serverHealth.ServerHealth {
        const known = this.#servers.get(instance);
        if (known !== undefined) {
            return known;
        }
        const created = serverHealth.createServerHealth();
        this.#servers.set(instance, created);
        return created;
    }

    #listOthers(instance: string): readonly string[] {
        const pool = this.#pools.get(this.#poolByInstance.get(instance) ?? "");
        return pool?.instances.filter(other => other !== instance) ?? [];
    }

    /** Average failure ratio of the other servers of the pool that are not ejected. */
    #computeOthersFailureRatio(instance: string, now: number): number {
        const ratios = this.#listOthers(instance)
            .map(other => this.#servers.get(other))
            .filter(other => other !== undefined)
            .filter(other => !serverHealth.isEjectedOrProbed(other))
            .map(other => serverHealth.computeFailureRatio(other, now));
        return ratios.length === 0 ? 0 : ratios.reduce((sum, ratio) => sum + ratio, 0) / ratios.length;
    }

    /** Whether the pool's cap allows one more ejection; servers being probed count as ejected. */
    #isBelowEjectionCap(instance: string): boolean {
        const pool = this.#pools.get(this.#poolByInstance.get(instance) ?? "");
        if (pool === undefined) {
            return false;
        }
        const ejected = this.#listOthers(instance)
            .map(other => this.#servers.get(other))
            .filter(other => other !== undefined && serverHealth.isEjectedOrProbed(other) && !other.capped);
        return ejected.length < pool.maxEjected;
    }
}
