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

export function planWave(instances: readonly WaveInstance[], maxOut: number): WavePlan {
    const open = instances.filter(instance => !instance.begun);
    const out = instances.filter(instance => instance.out).length;
    const empty = open.filter(instance => instance.available && instance.runs === 0);
    const maintain = empty.slice(0, Math.max(0, maxOut - out)).map(instance => instance.id);
    const reserved = open.filter(instance => instance.reserved && instance.runs > 0).length;
    const room = Math.max(0, maxOut - out - maintain.length + reserveAhead - reserved);
    const reserve = open
        .filter(instance => instance.available && instance.runs > 0 && !instance.reserved && !instance.pinned)
        .sort((a, b) => a.longRunningRuns - b.longRunningRuns || a.runs - b.runs)
        .slice(0, room)
        .map(instance => instance.id);
    return { maintain, reserve, complete: open.length === 0 };
}
