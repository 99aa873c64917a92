/**
 * Over which way the store is called: directly, or through a peer while the store turns this process away.
 *
 * Load: outages of seconds, for all processes or for some, cuts, and calls that are reset now and then. A way that failed
 * rests, longer each time, so one reset costs little. A way that stayed silent costs a whole time limit at each try: the
 * direct one is only probed then, while calls go through peers; a peer rests long. A peer that can't reach the store
 * itself says so at once and counts as failed.
 */

/** Time in ms for which a way rests after its first failure: a store in order answers in 4 ms. */
const firstRest = 80;
/** Longest rest in ms: bounds how late the end of an outage is seen. */
const longestRest = 1200;
/** Rest in ms of a peer that stayed silent; cuts last for seconds. */
const silentRest = 2500;
/** Time in ms between two probes of a direct way that stayed silent; bounds how long calls take the longer way. */
const probeInterval = 700;

export interface Way {
    readonly address: string;
    readonly relayed: boolean;
}

/** What is known of a way since its last success. */
interface Trouble {
    readonly failures: number;
    /** Nothing came back within the time limit. */
    readonly silent: boolean;
    /** Unix time in ms. */
    readonly restUntil: number;
}

export class StoreRoutes {
    readonly #troubles = new Map<string, Trouble>();
    #peers: readonly string[] = [];
    #preferred: string | undefined;
    #probedAt = Number.NEGATIVE_INFINITY;

    constructor(private readonly direct: string) {}

    /** Addresses of the peers' relays, this process left out. */
    setPeers(addresses: readonly string[]): void {
        this.#peers = addresses;
    }

    /** The way to use at `now`, Unix time in ms. The direct one wherever it may work. */
    choose(now: number): Way {
        if (this.isDirectFresh(now) && !this.#isDirectSilent()) {
            return { address: this.direct, relayed: false };
        }
        const peer = this.#choosePeer(now);
        return peer === undefined ? { address: this.direct, relayed: false } : { address: peer, relayed: true };
    }

    /** Whether the direct way may work at `now`; a relay for others says no at once where it doesn't. */
    isDirectFresh(now: number): boolean {
        return this.#isFresh(this.direct, now);
    }

    /** Whether a probe of the direct way is due at `now`, Unix time in ms; the caller then makes it. */
    takeProbe(now: number): Way | undefined {
        if (!this.#isDirectSilent() || now - this.#probedAt < probeInterval) {
            return undefined;
        }
        this.#probedAt = now;
        return { address: this.direct, relayed: false };
    }

    /** @param silent nothing came back within the time limit */
    noteFailure(way: Way, now: number, silent: boolean): void {
        const failures = (this.#troubles.get(way.address)?.failures ?? 0) + 1;
        const rest = silent && way.relayed ? silentRest : Math.min(longestRest, firstRest * 2 ** (failures - 1));
        this.#troubles.set(way.address, { failures, silent, restUntil: now + rest });
    }

    noteSuccess(way: Way): void {
        this.#troubles.delete(way.address);
    }

    #choosePeer(now: number): string | undefined {
        const preferred = this.#preferred;
        if (preferred === undefined || !this.#peers.includes(preferred) || !this.#isFresh(preferred, now)) {
            const fresh = this.#peers.filter(peer => this.#isFresh(peer, now));
            this.#preferred = fresh[Math.floor(now) % Math.max(1, fresh.length)];
        }
        return this.#preferred;
    }

    #isDirectSilent(): boolean {
        return this.#troubles.get(this.direct)?.silent ?? false;
    }

    #isFresh(address: string, now: number): boolean {
        return now >= (this.#troubles.get(address)?.restUntil ?? 0);
    }
}
