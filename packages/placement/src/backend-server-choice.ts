/**
 * Choice of a backend server among those that have this entry instance as their home.
 */

/** A backend server that the request could run on. */
export interface Candidate {
    /** Name of the backend server. */
    readonly instance: string;
    readonly slots: number;
    readonly inFlight: number;
    /** Share of its slots that it may use, as set by the outlier detection: from 0 (none) to 1 (all). */
    readonly share: number;
}

/** Share of the choices that go to an idle server with a small share, so that its recovery is detected. */
const probeRate = 0.02;
/** Share up to which a server is being probed or has only just begun to recover. */
const maxSmallShare = 0.2;

/**
 * Picks the candidate with the lowest load relative to its usable slots, counting the new request.
 *
 * A server with a small share thus fills up last, except for the requests of `probeRate`. Ties are broken by `random`,
 * which is in [0, 1). Candidates in `tried` and those without a free slot are excluded; undefined when none remains.
 */
export function chooseBackendServer(
    candidates: readonly Candidate[],
    random: number,
    tried?: ReadonlySet<string>,
): Candidate | undefined {
    const usable = candidates.filter(candidate => hasFreeSlot(candidate) && !tried?.has(candidate.instance));
    if (random < probeRate) {
        const idleWithSmallShare = usable.filter(candidate =>
            candidate.share <= maxSmallShare && candidate.inFlight === 0
        );
        if (idleWithSmallShare.length > 0) {
            return pick(idleWithSmallShare, random / probeRate);
        }
    }
    const lowest = Math.min(...usable.map(computeLoad));
    return pick(usable.filter(candidate => computeLoad(candidate) === lowest), random);
}

function computeLoad(candidate: Candidate): number {
    return (candidate.inFlight + 1) / (candidate.slots * candidate.share);
}

function pick(candidates: readonly Candidate[], random: number): Candidate | undefined {
    return candidates[Math.min(candidates.length - 1, Math.floor(random * candidates.length))];
}

/** Number of slots that a backend server may use now: at least one while its share is above 0. */
export function countUsableSlots(candidate: Pick<Candidate, "slots" | "share">): number {
    return candidate.share <= 0
        ? 0
        : Math.min(candidate.slots, Math.max(1, Math.floor(candidate.slots * candidate.share)));
}

function hasFreeSlot(candidate: Candidate): boolean {
    return candidate.inFlight < countUsableSlots(candidate);
}
