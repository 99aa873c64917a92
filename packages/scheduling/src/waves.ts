/**
 * Which instances of a wave are maintained next, and which are emptied for it.
 *
 * Load: a wave over half of the fleet within some 25 seconds, while every service keeps its long-running tasks at work.
 * Empty instances go first, at most as many at once as the operator allows.
 */

export interface WaveInstance {
    readonly id: string;
    /** Its maintenance has been ordered, or is over. */
    readonly begun: boolean;
    /** It is out for this wave now. */
    readonly out: boolean;
    /** Up, and no order is under way for it. */
    readonly available: boolean;
    readonly runs: number;
    readonly longRunningRuns: number;
    /** Is being emptied. */
    readonly reserved: boolean;
    /** What runs there may never be taken away. */
    readonly pinned: boolean;
    /** No pool needs it now. */
    readonly idle: boolean;
}

/** What bounds a wave. */
export interface WaveBounds {
    readonly maxOut: number;
    /** Ms until the wave has to be over. */
    readonly left: number;
    /** Ms for which one instance is out. */
    readonly maintenance: number;
}

export interface WavePlan {
    /** Instances whose maintenance begins now. */
    readonly maintain: readonly string[];
    /** Instances that get no new tasks and are emptied. */
    readonly reserve: readonly string[];
    readonly complete: boolean;
}

/** Instances emptied beyond those that may be out, so that the next one is ready when one returns. */
const reserveAhead = 1;
/** Ms of a wave kept for instances that take long to empty. */
const waveMargin = 8000;
/** How much faster than needed a wave goes while all is well; outages that may come take the rest. */
const paceLead = 1.5;
/** Instances with long-running tasks that are emptied at a time from the beginning: each takes seconds. */
const emptiedEarly = 1;
/** Ms that pass between the return of one instance and the order for the next. */
const turnaround = 700;

/**
 * Plans one look at a wave. Instances that no pool needs go at once; beyond those only as many are out as it takes to
 * end in time, so that bursts keep their capacity.
 */
export function planWave(instances: readonly WaveInstance[], bounds: WaveBounds): WavePlan {
    const open = instances.filter(instance => !instance.begun);
    const out = instances.filter(instance => instance.out).length;
    const paced = countPaced(open.length, bounds);
    const empty = open
        .filter(instance => instance.available && instance.runs === 0)
        .sort((a, b) => Number(b.reserved) - Number(a.reserved) || Number(b.idle) - Number(a.idle));
    const maintain: string[] = [];
    for (const instance of empty) {
        const nowOut = out + maintain.length;
        if (nowOut < bounds.maxOut && (instance.idle || nowOut < paced)) {
            maintain.push(instance.id);
        }
    }
    const full = open.filter(instance => instance.available && instance.runs > 0);
    const reservable = full.filter(instance => !instance.reserved && !instance.pinned);
    const emptying = full.filter(instance => instance.reserved);
    const emptyingSlowly = emptying.filter(instance => instance.longRunningRuns > 0).length;
    const slow = reservable
        .filter(instance => instance.longRunningRuns > 0)
        .sort((a, b) => a.longRunningRuns - b.longRunningRuns)
        .slice(0, Math.max(0, emptiedEarly - emptyingSlowly));
    const room = Math.min(paced, bounds.maxOut) - out - maintain.length + reserveAhead - emptying.length - slow.length;
    const quick = reservable
        .filter(instance => !slow.includes(instance))
        .sort((a, b) => a.longRunningRuns - b.longRunningRuns || a.runs - b.runs)
        .slice(0, empty.length > maintain.length ? 0 : Math.max(0, room));
    const reserve = [...slow, ...quick].map(instance => instance.id);
    return { maintain, reserve, complete: open.length === 0 };
}

/** Instances that have to be out at once for the wave to end in time. */
function countPaced(open: number, bounds: WaveBounds): number {
    const rounds = Math.max(1, Math.floor((bounds.left - waveMargin) / (bounds.maintenance + turnaround)));
    return Math.max(1, Math.ceil(paceLead * open / rounds));
}
