/**
 * Plans maintenance waves: which instances are maintained next, and which are drained for it.
 *
 * A wave may cover half of the fleet within about 25 seconds, while every service keeps its long-running tasks running.
 * Empty instances go first, and at most as many are out at once as the operator allows.
 */

export interface WaveInstance {
    readonly id: string;
    /** Its maintenance has been ordered or is complete. */
    readonly begun: boolean;
    /** It is out of service for this wave now. */
    readonly out: boolean;
    /** Up, with no order in progress for it. */
    readonly available: boolean;
    readonly runs: number;
    readonly longRunningRuns: number;
    /** Gets no new tasks and is being drained. */
    readonly reserved: boolean;
    /** Has runs that may never be stopped to drain it. */
    readonly pinned: boolean;
    /** No pool needs it now. */
    readonly idle: boolean;
}

/** Limits within which a wave is planned. */
export interface WaveLimits {
    /** Instances that may be out of service at once. */
    readonly maxOut: number;
    /** Ms until the wave has to be complete. */
    readonly remainingTime: number;
    /** Ms for which one instance is out of service. */
    readonly maintenanceTime: number;
}

export interface WavePlan {
    /** Instances whose maintenance begins now. */
    readonly maintain: readonly string[];
    /** Instances to drain: they get no new tasks. */
    readonly reserve: readonly string[];
    /** The maintenance of every instance has begun. */
    readonly complete: boolean;
}

/** Instances drained beyond those that may be out, so that the next one is empty when one returns. */
const drainAhead = 1;
/** Ms of a wave that are kept for instances that take long to drain. */
const slowDrainMargin = 8000;
/** How much faster than required a wave proceeds while there are no faults, to leave time for outages. */
const paceFactor = 1.5;
/** Instances with long-running tasks that are drained at a time, from the start of the wave: each takes seconds. */
const maxLongRunningDrains = 1;
/** Ms between the return of one instance and the order for the next. */
const turnaround = 700;

/**
 * Plans the next steps of a wave. Instances that no pool needs are maintained at once; beyond those, only as many are
 * out as the wave needs to end in time, so that capacity remains for bursts.
 */
export function planWave(instances: readonly WaveInstance[], limits: WaveLimits): WavePlan {
    const pending = instances.filter(instance => !instance.begun);
    const out = instances.filter(instance => instance.out).length;
    const requiredOut = computeRequiredOut(pending.length, limits);
    const empty = pending
        .filter(instance => instance.available && instance.runs === 0)
        .sort((a, b) => Number(b.reserved) - Number(a.reserved) || Number(b.idle) - Number(a.idle));
    const maintain: string[] = [];
    for (const instance of empty) {
        const nowOut = out + maintain.length;
        if (nowOut < limits.maxOut && (instance.idle || nowOut < requiredOut)) {
            maintain.push(instance.id);
        }
    }
    const busy = pending.filter(instance => instance.available && instance.runs > 0);
    const reservable = busy.filter(instance => !instance.reserved && !instance.pinned);
    const draining = busy.filter(instance => instance.reserved);
    const drainingLongRunning = draining.filter(instance => instance.longRunningRuns > 0).length;
    const longRunning = reservable
        .filter(instance => instance.longRunningRuns > 0)
        .sort((a, b) => a.longRunningRuns - b.longRunningRuns)
        .slice(0, Math.max(0, maxLongRunningDrains - drainingLongRunning));
    const room = Math.min(requiredOut, limits.maxOut) - out - maintain.length + drainAhead - draining.length
        - longRunning.length;
    const others = reservable
        .filter(instance => !longRunning.includes(instance))
        .sort((a, b) => a.longRunningRuns - b.longRunningRuns || a.runs - b.runs)
        .slice(0, empty.length > maintain.length ? 0 : Math.max(0, room));
    const reserve = [...longRunning, ...others].map(instance => instance.id);
    return { maintain, reserve, complete: pending.length === 0 };
}

/** Number of instances that have to be out at the same time for the wave to end in time. */
function computeRequiredOut(pending: number, limits: WaveLimits): number {
    const rounds = Math.max(
        1,
        Math.floor((limits.remainingTime - slowDrainMargin) / (limits.maintenanceTime + turnaround)),
    );
    return Math.max(1, Math.ceil(paceFactor * pending / rounds));
}
