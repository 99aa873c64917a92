/**
 * Choice of a backend server among those whose home this entry instance is.
 */

/** A backend server that the request could run on. */
export interface Candidate {
    readonly instance: string;
    readonly slots: number;
    readonly inFlight: number;
    /** Share of its slots that it may use, from the outlier detection: 0 none to 1 all. */
    readonly share: number;
}

/** Share of the choices that go to an idle server on probation, so that a recovered one is found again. */
const probeRate = 0.02;
/** Greatest share of a server on probation. */
const maxProbationShare = 0.2;

/**
 * Picks the candidate that would be loaded least, relative to its usable slots, after taking the request.
 *
 * A recovering server thus fills up last, but for the few probes that it needs. Equals are told apart by `random` in [0, 1). Candidates in `tried` and those
 * without a free slot are left out; undefined when none remains.
 */
export function chooseBackendServer(
    candidates: readonly Candidate[],
    random: number,
    tried?: ReadonlySet<string>,
): Candidate | undefined {
    const usable = candidates.filter(one => hasFreeSlot(one) && !tried?.has(one.instance));
    if (random < probeRate) {
        const probes = usable.filter(one => one.share <= maxProbationShare && one.inFlight === 0);
        if (probes.length > 0) {
            return pick(probes, random / probeRate);
        }
    }
    const lowest = Math.min(...usable.map(measureLoad));
    return pick(usable.filter(one => measureLoad(one) === lowest), random);
}

function measureLoad(candidate: Candidate): number {
    return (candidate.inFlight + 1) / (candidate.slots * candidate.share);
}

function pick(candidates: readonly Candidate[], random: number): Candidate | undefined {
    return candidates[Math.min(candidates.length - 1, Math.floor(random * candidates.length))];
}

/** Slots that a backend server may use now: at least one while its share is above 0. */
export function countUsableSlots(candidate: Pick<Candidate, "slots" | "share">): number {
    return candidate.share <= 0
        ? 0
        : Math.min(candidate.slots, Math.max(1, Math.floor(candidate.slots * candidate.share)));
}

function hasFreeSlot(candidate: Candidate): boolean {
    return candidate.inFlight < countUsableSlots(candidate);
}
