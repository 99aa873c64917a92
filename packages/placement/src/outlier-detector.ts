/**
 * Ejection of backend servers that fail what they start.
 *
 * A server is ejected after some failures in a row, or when its failures stand out from those of the rest of its
 * pool. The number of ejected servers is capped, so that a fault of the whole pool never empties it; past the cap a
 * failing server stays in use with its smallest share. After a back-off it is probed with one slot, and from its
 * first success on it gets its share back gradually. A request that fails on two servers is at fault itself: its
 * failures are taken back.
 */
import * as failureLedger from "./failure-ledger.js";
import * as serverHealth from "./server-health.js";

/** How an attempt failed. */
export const FailureKind = {
    /** The server answered with a fault or broke the connection. */
    error: "error",
    /** No byte came for the whole time allowed; the connection may be at fault. */
    silent: "silent",
    /** The server refused before it started. */
    refused: "refused",
} as const;

export type FailureKind = (typeof FailureKind)[keyof typeof FailureKind];

/** Weight of each kind of failure as evidence against the server. */
const failureWeights: Readonly<Record<FailureKind, number>> = {
    [FailureKind.error]: 1,
    [FailureKind.silent]: 0.5,
    [FailureKind.refused]: 0.25,
};

interface PoolMembers {
    readonly instances: readonly string[];
    readonly maxEjected: number;
}

/** Watches the outcomes of attempts and tells each server's share of work. */
export class OutlierDetector {
    readonly #pools = new Map<string, PoolMembers>();
    readonly #poolOf = new Map<string, string>();
    readonly #servers = new Map<string, serverHealth.ServerHealth>();
    readonly #ledger = new failureLedger.FailureLedger();

    /** Names the instances of a pool and how many of them may be ejected at once. Instances that left are forgotten. */
    updatePool(pool: string, instances: readonly string[], maxEjected: number): void {
        const kept = new Set(instances);
        for (const instance of this.#pools.get(pool)?.instances ?? []) {
            if (!kept.has(instance) && this.#poolOf.get(instance) === pool) {
                this.#poolOf.delete(instance);
                this.#servers.delete(instance);
            }
        }
        for (const instance of instances) {
            this.#poolOf.set(instance, pool);
        }
        this.#pools.set(pool, { instances: [...instances], maxEjected });
    }

    /** Counts a whole answer. */
    recordSuccess(instance: string, now: number): void {
        serverHealth.addSuccess(this.#find(instance), now);
    }

    /** Counts a failed attempt of a request. */
    recordFailure(instance: string, requestId: string, kind: FailureKind, now: number): void {
        const failedOn = this.#ledger.add(requestId, instance);
        if (this.#ledger.isForgiven(requestId)) {
            return;
        }
        const server = this.#find(instance);
        serverHealth.addFailure(server, { requestId, weight: failureWeights[kind], at: now });
        if (failedOn >= failureLedger.serversBeforeRequestIsAtFault) {
            this.forgive(requestId);
            return;
        }
        if (serverHealth.isSuspect(server, this.#measureRest(instance, now), now)) {
            serverHealth.eject(server, this.#hasRoom(instance), now);
        }
    }

    /** Servers that a recent request has failed on. */
    listFailedOn(requestId: string): ReadonlySet<string> {
        return this.#ledger.list(requestId);
    }

    /** Takes back the failures of a request that is at fault itself; later ones don't count. */
    forgive(requestId: string): void {
        for (const instance of this.#ledger.forgive(requestId)) {
            const server = this.#servers.get(instance);
            if (server !== undefined) {
                serverHealth.removeFailures(server, requestId);
            }
        }
    }

    /** Share of its slots that a server may use: 0 ejected to 1 in full use. */
    share(instance: string, now: number): number {
        const server = this.#servers.get(instance);
        return server === undefined ? 1 : serverHealth.computeShare(server, now);
    }

    /** Servers that get no work now. */
    listEjected(now: number): string[] {
        return [...this.#servers.keys()].filter(instance => this.share(instance, now) === 0);
    }

    #find(instance: string): serverHealth.ServerHealth {
        const known = this.#servers.get(instance);
        if (known !== undefined) {
            return known;
        }
        const created = serverHealth.createServerHealth();
        this.#servers.set(instance, created);
        return created;
    }

    #listOthers(instance: string): readonly string[] {
        const pool = this.#pools.get(this.#poolOf.get(instance) ?? "");
        return pool?.instances.filter(other => other !== instance) ?? [];
    }

    /** Failure ratio of the other servers of the pool that are in use. */
    #measureRest(instance: string, now: number): number {
        const ratios = this.#listOthers(instance)
            .map(other => this.#servers.get(other))
            .filter(other => other !== undefined)
            .filter(other => !serverHealth.isResting(other))
            .map(other => serverHealth.measureFailureRatio(other, now));
        return ratios.length === 0 ? 0 : ratios.reduce((sum, ratio) => sum + ratio, 0) / ratios.length;
    }

    /** Whether the cap of the pool allows one more ejection; a server that is only probed still takes its place. */
    #hasRoom(instance: string): boolean {
        const pool = this.#pools.get(this.#poolOf.get(instance) ?? "");
        if (pool === undefined) {
            return false;
        }
        const resting = this.#listOthers(instance)
            .map(other => this.#servers.get(other))
            .filter(other => other !== undefined && serverHealth.isResting(other) && !other.capped);
        return resting.length < pool.maxEjected;
    }
}
