/**
 * Plans maintenance waves: which instances are maintained next, and which are drained for it.
 *
 * A wave may cover half of the fleet within about 25 seconds, while every service keeps its long-running tasks running.
 * Empty instances are maintained first, and at most as many are out of service at once as the operator allows.
 */

export interface WaveInstance {
    readonly id: string;
    /** Its maintenance needs no further order: the platform accepted one, or says that it isn't in the wave. */
    readonly begun: boolean;
    /** It is out of service: its maintenance is being ordered or in progress. */
    readonly out: boolean;
    /** Up, with no order in progress for it. */
    readonly available: boolean;
    /** Number of runs on it. */
    readonly runs: number;
    /** Those of them that belong to long-running tasks. */
    readonly longRunningRuns: number;
    /** It is being drained: it gets no new tasks, and its long-running tasks are relocated. */
    readonly beingDrained: boolean;
    /** It runs a task that may never be stopped, so it can't be drained. */
    readonly pinned: boolean;
    /** No pool needs it now, by `PoolPlan.surplus`. */
    readonly surplus: boolean;
}

/** Limits within which a wave is planned. */
export interface WaveLimits {
    /** Instances that may be out of service at once. */
    readonly maxOut: number;
    /** Ms until the last instance has to be back from maintenance. */
    readonly remainingTime: number;
    /** Ms for which the maintenance of one instance takes it out of service. */
    readonly maintenanceTime: number;
}

export interface WavePlan {
    /** IDs of the instances whose maintenance is to be ordered now. */
    readonly maintain: readonly string[];
    /** IDs of the instances to drain from now on. */
    readonly toDrain: readonly string[];
    /** `begun` holds for every instance; some may still be out of service. */
    readonly allBegun: boolean;
}

/** Instances drained beyond those that may be out, so that the next one is empty when one returns. */
const drainAhead = 1;
/**
 * Ms at the end of a wave for which nothing is planned, so that instances that take long to drain are still in time.
 */
const slowDrainMargin = 8000;
/** Safety factor: a wave proceeds this many times as fast as its deadline requires, to leave time for outages. */
const safetyFactor = 1.5;
/**
 * Instances with long-running tasks that are drained at a time from the first plan of the wave on, even if enough
 * instances are out: draining each takes seconds. More are drained only if too few others are left to drain.
 */
const maxLongRunningDrains = 1;
/** Ms that pass between the return of one instance and the order for the next. */
const turnaround = 700;

/**
 * Plans the next steps of a wave. Empty instances that no pool needs are maintained at once; beyond those, only as many
 * are out as the wave needs to end in time, so that capacity remains for bursts.
 */
export function planWave(instances: readonly WaveInstance[], limits: WaveLimits): WavePlan {
    const pending = instances.filter(instance => !instance.begun);
    const out = instances.filter(instance => instance.out).length;
    const requiredOut = computeRequiredOut(pending.length, limits);
    const empty = pending
        .filter(instance => instance.available && instance.runs === 0)
        .sort((a, b) => Number(b.beingDrained) - Number(a.beingDrained) || Number(b.surplus) - Number(a.surplus));
    const maintain: string[] = [];
    for (const instance of empty) {
        const nowOut = out + maintain.length;
        if (nowOut < limits.maxOut && (instance.surplus || nowOut < requiredOut)) {
            maintain.push(instance.id);
        }
    }
    const busy = pending.filter(instance => instance.available && instance.runs > 0);
    const drainable = busy.filter(instance => !instance.beingDrained && !instance.pinned);
    const draining = busy.filter(instance => instance.beingDrained);
    const longRunningDrainCount = draining.filter(instance => instance.longRunningRuns > 0).length;
    const longRunning = drainable
        .filter(instance => instance.longRunningRuns > 0)
        .sort((a, b) => a.longRunningRuns - b.longRunningRuns)
        .slice(0, Math.max(0, maxLongRunningDrains - longRunningDrainCount));
    // Instances that may still go out, and `drainAhead`, less those that are being drained already.
    const furtherDrains = Math.min(requiredOut, limits.maxOut) - out - maintain.length + drainAhead - draining.length
        - longRunning.length;
    // While an empty instance still waits for its maintenance, no other one is drained.
    const others = drainable
        .filter(instance => !longRunning.includes(instance))
        .sort((a, b) => a.longRunningRuns - b.longRunningRuns || a.runs - b.runs)
        .slice(0, empty.length > maintain.length ? 0 : Math.max(0, furtherDrains));
    const toDrain = [...longRunning, ...others].map(instance => instance.id);
    return { maintain, toDrain, allBegun: pending.length === 0 };
}

/** Number of instances that have to be out of service at the same time for the wave to end in time. */
function computeRequiredOut(pending: number, limits: WaveLimits): number {
    const rounds = Math.max(
        1,
        Math.floor((limits.remainingTime - slowDrainMargin) / (limits.maintenanceTime + turnaround)),
    );
    return Math.max(1, Math.ceil(safetyFactor * pending / rounds));
}
