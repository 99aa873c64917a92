/**
 * Over which way the store is called: directly, or through a peer while the store turns this process away.
 *
 * Load: an outage for some processes only, for seconds. A way that failed isn't tried again for a while; a peer that can't
 * reach the store itself says so at once and counts as failed.
 */

/** Time in ms for which a way that failed isn't used. */
const restAfterFailure = 1200;

export interface Way {
    readonly address: string;
    readonly relayed: boolean;
}

export class StoreRoutes {
    readonly #restUntil = new Map<string, number>();
    #peers: readonly string[] = [];
    #preferred: string | undefined;

    constructor(private readonly direct: string) {}

    /** Addresses of the peers' relays, this process left out. */
    setPeers(addresses: readonly string[]): void {
        this.#peers = addresses;
    }

    /** The way to use at `now`, Unix time in ms. The direct one wherever it may work. */
    choose(now: number): Way {
        if (this.#isFresh(this.direct, now)) {
            return { address: this.direct, relayed: false };
        }
        const preferred = this.#preferred;
        if (preferred !== undefined && this.#peers.includes(preferred) && this.#isFresh(preferred, now)) {
            return { address: preferred, relayed: true };
        }
        const fresh = this.#peers.filter(peer => this.#isFresh(peer, now));
        this.#preferred = fresh[Math.floor(now) % Math.max(1, fresh.length)];
        return this.#preferred === undefined
            ? { address: this.direct, relayed: false }
            : { address: this.#preferred, relayed: true };
    }

    /** Whether the direct way may work at `now`; a relay for others says no at once where it doesn't. */
    isDirectFresh(now: number): boolean {
        return this.#isFresh(this.direct, now);
    }

    noteFailure(way: Way, now: number): void {
        this.#restUntil.set(way.address, now + restAfterFailure);
    }

    noteSuccess(way: Way): void {
        this.#restUntil.delete(way.address);
    }

    #isFresh(address: string, now: number): boolean {
        return now >= (this.#restUntil.get(address) ?? 0);
    }
}
