/**
 * Choice of the entry instance whose backend servers run a request: this one or a peer.
 *
 * What is known of a peer is a digest that ages: requests handed over since then are taken off its free slots, and an
 * old digest counts for less. Among peers of equal nearness two are drawn at random and the freer one is taken
 * (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001), so that many entry instances with
 * the same digests don't all pick the same peer.
 */

/** An entry instance with homes for the request's service. */
export interface Target {
    readonly session: string;
    /** Whether it is this entry instance. */
    readonly local: boolean;
    readonly sameZone: boolean;
    /** Usable slots of its backend servers. */
    readonly slots: number;
    /** Free slots. */
    readonly free: number;
    /** Waiting requests. */
    readonly queued: number;
}

/** What a peer last told about its homes for one service. */
export interface PeerDigest {
    readonly slots: number;
    readonly free: number;
    readonly queued: number;
}

/** Age up to which a digest counts in full, in ms. */
const freshDigestMs = 1000;
/** Age at which a digest counts for nothing, in ms. */
const maxDigestAgeMs = 10_000;

/** Load of a queue further away must be lower by this factor before it is preferred. */
const distanceFactors = { local: 1, zone: 1.5, region: 2 } as const;

type Distance = keyof typeof distanceFactors;

const distances: readonly Distance[] = ["local", "zone", "region"];

/** The digest after `ageMs`, with `handedOver` requests sent to the peer since it was written. */
export function ageDigest(digest: PeerDigest, ageMs: number, handedOver: number): PeerDigest {
    const trust = Math.min(1, Math.max(0, (maxDigestAgeMs - ageMs) / (maxDigestAgeMs - freshDigestMs)));
    const free = Math.floor(digest.free * trust) - handedOver;
    return { slots: digest.slots, free: Math.max(0, free), queued: digest.queued + Math.max(0, -free) };
}

/**
 * Picks the target for a request; `random` is in [0, 1).
 *
 * Targets with free slots come first: this entry instance, then its availability zone, then the others. Without any,
 * the shortest queue per slot is taken, weighted by distance. Undefined when no target has a slot at all.
 */
export function chooseTarget(targets: readonly Target[], random: number): Target | undefined {
    for (const distance of distances) {
        const near = targets.filter(target => target.free > 0 && measureDistance(target) === distance);
        if (near.length > 0) {
            return chooseFreer(near, random);
        }
    }
    return chooseShortestQueue(targets.filter(target => target.slots > 0), random);
}

function measureDistance(target: Target): Distance {
    if (target.local) {
        return "local";
    }
    return target.sameZone ? "zone" : "region";
}

function chooseFreer(targets: readonly Target[], random: number): Target | undefined {
    const [first, second] = drawTwo(targets, random);
    if (first === undefined || second === undefined) {
        return first;
    }
    return second.free / second.slots > first.free / first.slots ? second : first;
}

/** Compares this entry instance with two peers drawn at random. */
function chooseShortestQueue(targets: readonly Target[], random: number): Target | undefined {
    const own = targets.filter(target => target.local);
    const drawn = drawTwo(targets.filter(target => !target.local), random);
    return [...own, ...drawn].reduce<Target | undefined>(
        (best, target) => best === undefined || weighQueue(target) < weighQueue(best) ? target : best,
        undefined,
    );
}

function weighQueue(target: Target): number {
    return (target.queued + 1) / target.slots * distanceFactors[measureDistance(target)];
}

/** Two different elements for one random number: its integer part picks the first, its fraction the second. */
function drawTwo(targets: readonly Target[], random: number): Target[] {
    if (targets.length < 2) {
        return [...targets];
    }
    const scaled = random * targets.length;
    const first = Math.floor(scaled);
    const step = 1 + Math.floor((scaled - first) * (targets.length - 1));
    return [first, (first + step) % targets.length].map(index => targets[index] as Target);
}
