/**
 * Chooses the route to the store: direct, or through a peer's relay while the store can't be called directly.
 *
 * Handles outages of several seconds that affect all processes or only some, network partitions, and occasional
 * connection resets. After a failure, a route is avoided with exponential backoff, so a single reset costs little. Each
 * call over a route that times out costs a full timeout. After a timeout, the direct route is therefore used only for
 * probes while calls go through peers. A peer that timed out is avoided for longer than after an error, and then gets no
 * call until it has responded to a probe. A peer that can't reach the store itself says so at once; that counts as a
 * failure of its route.
 *
 * Peers on large machines are preferred: in a burst each process reads several hundred kilobytes per second from the
 * store, and the coordinator appends as much, which all crosses a relay's link twice.
 */

/**
 * Backoff in ms after the first failure of a route; short, as a single reset says little about the next call, but long
 * against the 4 ms in which a healthy store responds.
 */
const initialBackoff = 80;
/** Maximum backoff in ms; limits how late the end of an outage is noticed. */
const maxBackoff = 1200;
/**
 * Backoff in ms after a call through a peer has timed out; network partitions last for seconds, and a peer that is only
 * overloaded responds to probes at once.
 */
const peerTimeoutBackoff = 2500;
/** Time in ms between two probes of a route that timed out; limits how long it stays unused after it works again. */
const probeInterval = 700;

export interface StoreRoute {
    readonly address: string;
    /** Whether the address is that of a peer's relay. */
    readonly relayed: boolean;
}

/** A peer that relays calls to the store. */
export interface RelayPeer {
    /** Host and port of its relay. */
    readonly address: string;
    /** Whether its machine can carry the calls of several processes beside its own. */
    readonly large: boolean;
}

/** Failures of a route since its last success. */
interface FailureHistory {
    readonly failureCount: number;
    /** Whether the last call timed out. */
    readonly timedOut: boolean;
    /** Unix time in ms before which the route is avoided. */
    readonly retryAt: number;
}

export class StoreRoutes {
    /** By address of the route; routes whose last call succeeded have no entry. */
    readonly #failures = new Map<string, FailureHistory>();
    #peers: readonly RelayPeer[] = [];
    /** The peer chosen last; kept while it is available. */
    #preferredPeer: string | undefined;
    #probedAt = Number.NEGATIVE_INFINITY;
    /** Unix time in ms of the first failure of the direct route since its last success; `undefined` if there is none. */
    #directLostAt: number | undefined;
    /** Unix time in ms of the last probe of a peer, by its address. */
    readonly #peerProbedAt = new Map<string, number>();

    constructor(private readonly direct: string) {}

    /** Sets the peers that relay calls, without this process. */
    setPeers(peers: readonly RelayPeer[]): void {
        this.#peers = peers;
    }

    /**
     * Returns the route to use at `now`, Unix time in ms: the direct one, or an available peer while the direct one is
     * in backoff or has timed out. Without an available peer, it is the direct one in any case.
     */
    choose(now: number): StoreRoute {
        if (this.isDirectBackoffOver(now) && !this.#hasTimedOut(this.direct)) {
            return { address: this.direct, relayed: false };
        }
        const peer = this.#choosePeer(now);
        return peer === undefined ? { address: this.direct, relayed: false } : { address: peer, relayed: true };
    }

    /**
     * Whether the direct route is out of backoff at `now`, Unix time in ms. If not, the relay refuses calls of peers.
     * The process's own calls avoid the direct route after a timeout even then, until a probe has succeeded.
     */
    isDirectBackoffOver(now: number): boolean {
        return this.#isAvailable(this.direct, now);
    }

    /** Returns the direct route if a probe of it is due at `now`, Unix time in ms; the caller has to send the probe. */
    takeProbe(now: number): StoreRoute | undefined {
        if (!this.#hasTimedOut(this.direct) || now - this.#probedAt < probeInterval) {
            return undefined;
        }
        this.#probedAt = now;
        return { address: this.direct, relayed: false };
    }

    /**
     * Returns the peers that timed out, are out of backoff, and are due for a probe at `now`, Unix time in ms; the caller
     * has to send the probes.
     */
    takePeerProbes(now: number): StoreRoute[] {
        const due = this.#peers.filter(({ address }) =>
            this.#hasTimedOut(address) && this.#isAvailable(address, now)
            && now - (this.#peerProbedAt.get(address) ?? 0) >= probeInterval
        );
        due.forEach(({ address }) => this.#peerProbedAt.set(address, now));
        return due.map(({ address }) => ({ address, relayed: true }));
    }

    /** Time in ms at `now`, Unix time in ms, since the direct route began to fail; 0 if its last call succeeded. */
    measureDirectLoss(now: number): number {
        return this.#directLostAt === undefined ? 0 : Math.max(0, now - this.#directLostAt);
    }

    /** @param timedOut whether the call timed out, rather than failing with an error */
    recordFailure(route: StoreRoute, now: number, timedOut: boolean): void {
        if (!route.relayed) {
            this.#directLostAt ??= now;
        }
        const failureCount = (this.#failures.get(route.address)?.failureCount ?? 0) + 1;
        const backoff = timedOut && route.relayed
            ? peerTimeoutBackoff
            : Math.min(maxBackoff, initialBackoff * 2 ** (failureCount - 1));
        this.#failures.set(route.address, { failureCount, timedOut, retryAt: now + backoff });
    }

    recordSuccess(route: StoreRoute): void {
        if (!route.relayed) {
            this.#directLostAt = undefined;
        }
        this.#failures.delete(route.address);
    }

    #choosePeer(now: number): string | undefined {
        const candidates = this.#listCandidates(now);
        if (this.#preferredPeer === undefined || !candidates.includes(this.#preferredPeer)) {
            // The time serves as an arbitrary index, so that processes don't all choose the first peer.
            this.#preferredPeer = candidates[Math.floor(now) % Math.max(1, candidates.length)];
        }
        return this.#preferredPeer;
    }

    /** Addresses of the available peers; only of the large ones while one of them is available. */
    #listCandidates(now: number): string[] {
        const available = this.#peers.filter(({ address }) =>
            this.#isAvailable(address, now) && !this.#hasTimedOut(address)
        );
        const large = available.filter(peer => peer.large);
        return (large.length > 0 ? large : available).map(peer => peer.address);
    }

    #hasTimedOut(address: string): boolean {
        return this.#failures.get(address)?.timedOut ?? false;
    }

    #isAvailable(address: string, now: number): boolean {
        return now >= (this.#failures.get(address)?.retryAt ?? 0);
    }
}
