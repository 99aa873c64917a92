/**
 * Planning policies: the one that the coordinator uses, and simpler ones that it is compared with.
 */
import * as capacity from "./capacity.js";

/** Rules for moves and drains. */
export interface Policy {
    readonly name: string;
    /** Whether the instance may be drained for a stop now. */
    readonly mayDrain: (pool: capacity.PoolView, instance: capacity.InstanceView, work: RemainingWork) => boolean;
    /** Maximum number of instances that one stop may drain or reboot at once. */
    readonly maxOut: number;
    /** Whether a small first batch has to return before further drains start. */
    readonly startsWithFirstBatch: boolean;
    /** Whether a stop halts while too many returned instances fail. */
    readonly haltsOnFailures: boolean;
    /** Whether spare instances may join a pool for the duration of a stop. */
    readonly borrowsSpares: boolean;
    /** Whether spare instances are moved to a pool whose sustained demand exceeds its planned size. */
    readonly followsDemand: boolean;
    /** Whether drains are cancelled when their pool has too few available instances after a loss. */
    readonly cancelsDrainsOnShortage: boolean;
    /** Instances that each pool gets in addition to its planned size. */
    readonly reservePerPool: number;
    /** Time for which a pool must be below its planned size before an instance is moved there, in ms. */
    readonly shortPoolMs: number;
}

/** Work that a stop still has in one pool and as a whole. */
export interface RemainingWork {
    /** Number of instances of the pool that the stop has yet to reboot, including those being drained or rebooted. */
    readonly remaining: number;
    /** Number of sequential rounds of reboots that the slowest pool of the stop still needs. */
    readonly roundsOfSlowestPool: number;
}

/** Share of a pool that the fixed-fraction policy drains at once. */
const fixedFraction = 0.25;
const shortPoolMs = 60_000;

/** Defaults of the policies used for comparison, which lack these mechanisms. */
const comparisonDefaults = {
    maxOut: Number.POSITIVE_INFINITY,
    startsWithFirstBatch: false,
    haltsOnFailures: false,
    borrowsSpares: false,
    followsDemand: false,
    cancelsDrainsOnShortage: false,
    reservePerPool: 0,
    shortPoolMs,
} as const;

/** All policies by name. */
export const policies = {
    "chosen": {
        name: "chosen",
        mayDrain: keepsRequiredAfterLoss,
        maxOut: Number.POSITIVE_INFINITY,
        startsWithFirstBatch: true,
        haltsOnFailures: true,
        borrowsSpares: true,
        followsDemand: true,
        cancelsDrainsOnShortage: true,
        reservePerPool: 0,
        shortPoolMs,
    },
    "one-at-a-time": { ...comparisonDefaults, name: "one-at-a-time", mayDrain: () => true, maxOut: 1 },
    "fixed-fraction": { ...comparisonDefaults, name: "fixed-fraction", mayDrain: drainsAtMostFixedFraction },
    "budget-only": { ...comparisonDefaults, name: "budget-only", mayDrain: keepsRequired },
    "static-n-plus-one": {
        ...comparisonDefaults,
        name: "static-n-plus-one",
        mayDrain: keepsRequired,
        startsWithFirstBatch: true,
        haltsOnFailures: true,
        reservePerPool: 1,
    },
} as const satisfies Readonly<Record<string, Policy>>;

export type PolicyName = keyof typeof policies;

/** Whether the pool keeps its required number of available instances without this one. */
export function keepsRequired(pool: capacity.PoolView, instance: capacity.InstanceView): boolean {
    return !instance.available || capacity.countAvailable(pool) - 1 >= pool.required;
}

/**
 * Whether the pool keeps its required number of available instances without this one, even after the loss of a
 * failure domain of the kind that chooseProtectedDomain selects.
 */
function keepsRequiredAfterLoss(
    pool: capacity.PoolView,
    instance: capacity.InstanceView,
    work: RemainingWork,
): boolean {
    if (!instance.available) {
        return true;
    }
    const domain = chooseProtectedDomain(pool, work);
    const furtherLoss = domain === undefined ? 0 : capacity.computeFurtherLoss(pool, domain, instance);
    return capacity.countAvailable(pool) - 1 - furtherLoss >= pool.required;
}

/** Factor by which tolerating the loss of a domain may lengthen a stop, depending on the pool's weights. */
const maxSlowdown = { prioritizesRollOutTime: 1, other: 1.2 } as const;

/**
 * The kind of failure domain whose loss the pool must tolerate during a wave: an availability zone, else a rack, else
 * none.
 *
 * A kind of domain is chosen if the availability budget covers its largest domain and at least one drained instance,
 * and if the pool, draining only with the rest of the budget, needs at most `maxSlowdown` times the rounds of the
 * stop's slowest pool.
 */
export function chooseProtectedDomain(
    pool: capacity.PoolView,
    work: RemainingWork,
): capacity.FailureDomainKind | undefined {
    const allowedUnavailable = pool.instances.length - pool.required;
    const slowdown = capacity.prioritizesRollOutTime(pool) ? maxSlowdown.prioritizesRollOutTime : maxSlowdown.other;
    const domains: readonly capacity.FailureDomainKind[] = ["availabilityZone", "rack"];
    return domains.find(kind => {
        const drainsBesidesLoss = allowedUnavailable - capacity.computeLargestDomainSize(pool, kind);
        return drainsBesidesLoss > 0
            && Math.ceil(work.remaining / drainsBesidesLoss) <= Math.floor(work.roundsOfSlowestPool * slowdown);
    });
}

/** Whether less than the fixed fraction of the pool is unavailable; lost instances are not counted. */
function drainsAtMostFixedFraction(pool: capacity.PoolView): boolean {
    const unavailable = pool.instances.filter(instance => !instance.available && !instance.lost).length;
    return unavailable < Math.ceil(pool.instances.length * fixedFraction);
}
