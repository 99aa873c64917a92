/**
 * Choice of the entry instance whose backend servers run a request: this one or a peer.
 *
 * The load of a peer is known from its last digest. Requests forwarded since then are subtracted from its free slots,
 * and the free slots of an old digest count less. Among peers at the same distance two are picked at random and the
 * less loaded one is used (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001), so that many
 * entry instances with the same digests don't all choose the same peer.
 */

/** An entry instance that is the home of backend servers for the request's service. */
export interface Target {
    /** Session of the entry instance, which identifies it. */
    readonly session: string;
    /** Whether it is this entry instance. */
    readonly local: boolean;
    readonly sameZone: boolean;
    /** Number of usable slots of its backend servers. */
    readonly slots: number;
    /** Number of free slots. */
    readonly free: number;
    /** Number of waiting requests. */
    readonly queued: number;
}

/** Load that a peer last reported for one service. */
export interface PeerDigest {
    readonly slots: number;
    readonly free: number;
    readonly queued: number;
}

/** Age up to which a digest has full weight, in ms. */
const freshDigestMs = 1000;
/** Age from which a digest has no weight, in ms. */
const maxDigestAgeMs = 10_000;

/** Factors by which queue lengths are multiplied, so that a distant queue is chosen only when it is clearly shorter. */
const distanceFactors = { local: 1, zone: 1.5, region: 2 } as const;

type Distance = keyof typeof distanceFactors;

const distances: readonly Distance[] = ["local", "zone", "region"];

/**
 * Adjusts a digest that is `ageMs` old: its free slots shrink with its age and by the requests `forwarded` to the peer
 * since, and forwarded requests without a free slot count as queued.
 */
export function ageDigest(digest: PeerDigest, ageMs: number, forwarded: number): PeerDigest {
    const weight = Math.min(1, Math.max(0, (maxDigestAgeMs - ageMs) / (maxDigestAgeMs - freshDigestMs)));
    const free = Math.floor(digest.free * weight) - forwarded;
    return { slots: digest.slots, free: Math.max(0, free), queued: digest.queued + Math.max(0, -free) };
}

/**
 * Picks the target for a request; `random` is in [0, 1).
 *
 * Targets with free slots are preferred: this entry instance, then its availability zone, then the others. If there are
 * none, the target with the shortest queue per slot, weighted by distance, is used. Undefined when no target has slots.
 */
export function chooseTarget(targets: readonly Target[], random: number): Target | undefined {
    for (const distance of distances) {
        const closest = targets.filter(target => target.free > 0 && getDistance(target) === distance);
        if (closest.length > 0) {
            return chooseLeastLoaded(closest, random);
        }
    }
    return chooseShortestQueue(targets.filter(target => target.slots > 0), random);
}

function getDistance(target: Target): Distance {
    if (target.local) {
        return "local";
    }
    return target.sameZone ? "zone" : "region";
}

function chooseLeastLoaded(targets: readonly Target[], random: number): Target | undefined {
    const [first, second] = pickTwo(targets, random);
    if (first === undefined || second === undefined) {
        return first;
    }
    return second.free / second.slots > first.free / first.slots ? second : first;
}

/** Chooses between this entry instance and two peers picked at random. */
function chooseShortestQueue(targets: readonly Target[], random: number): Target | undefined {
    const localTargets = targets.filter(target => target.local);
    const peers = pickTwo(targets.filter(target => !target.local), random);
    return [...localTargets, ...peers].reduce<Target | undefined>(
        (best, target) => best === undefined || scoreQueue(target) < scoreQueue(best) ? target : best,
        undefined,
    );
}

function scoreQueue(target: Target): number {
    return (target.queued + 1) / target.slots * distanceFactors[getDistance(target)];
}

/**
 * Picks two different elements with one random number, scaled by their number: the integer part selects the first, the
 * fraction the second.
 */
function pickTwo(targets: readonly Target[], random: number): Target[] {
    if (targets.length < 2) {
        return [...targets];
    }
    const scaled = random * targets.length;
    const first = Math.floor(scaled);
    const offset = 1 + Math.floor((scaled - first) * (targets.length - 1));
    return [first, (first + offset) % targets.length].map(index => targets[index] as Target);
}
