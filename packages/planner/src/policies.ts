/**
 * Policies: the chosen one, and those that it is compared with.
 */
import * as capacity from "./capacity.js";

/** How moves and waves are decided. */
export interface Policy {
    readonly name: string;
    /** Whether the pool can do without the instance now. */
    readonly mayTakeOut: (pool: capacity.PoolView, instance: capacity.InstanceView, pace: Pace) => boolean;
    /** Instances that one stop may have out at once. */
    readonly maxOut: number;
    /** Whether a small first batch has to return before others go. */
    readonly startsSmall: boolean;
    /** Whether a stop halts while returned instances fail. */
    readonly haltsOnFailures: boolean;
    /** Whether spare instances may join a pool for the time of a stop. */
    readonly borrowsSpares: boolean;
    /** Whether sustained demand above the plan brings spare instances into a pool. */
    readonly followsDemand: boolean;
    /** Whether drains are cancelled that a pool can't do without after a loss. */
    readonly restoresPromise: boolean;
    /** Instances that each pool gets beyond its plan. */
    readonly reservePerPool: number;
    /** Time for which a pool is below its plan before an instance is moved there, in ms. */
    readonly shortPoolMs: number;
}

/** What a pool still has to do for a stop, and how long the whole stop takes. */
export interface Pace {
    /** Instances of the pool that the stop still covers, those under way included. */
    readonly remaining: number;
    /** Reboots one after the other that the slowest pool still needs. */
    readonly criticalRounds: number;
}

/** Share of a pool that the fixed-fraction policy takes out at once. */
const fixedFraction = 0.25;
const shortPoolMs = 60_000;

/** What the policies that the chosen one is compared with leave out. */
const simple = {
    maxOut: Number.POSITIVE_INFINITY,
    startsSmall: false,
    haltsOnFailures: false,
    borrowsSpares: false,
    followsDemand: false,
    restoresPromise: false,
    reservePerPool: 0,
    shortPoolMs,
} as const;

/** All policies by name. */
export const policies = {
    "chosen": {
        name: "chosen",
        mayTakeOut: keepsPromiseAfterLoss,
        maxOut: Number.POSITIVE_INFINITY,
        startsSmall: true,
        haltsOnFailures: true,
        borrowsSpares: true,
        followsDemand: true,
        restoresPromise: true,
        reservePerPool: 0,
        shortPoolMs,
    },
    "one-at-a-time": { ...simple, name: "one-at-a-time", mayTakeOut: () => true, maxOut: 1 },
    "fixed-fraction": { ...simple, name: "fixed-fraction", mayTakeOut: keepsFraction },
    "budget-only": { ...simple, name: "budget-only", mayTakeOut: keepsPromise },
    "static-n-plus-one": {
        ...simple,
        name: "static-n-plus-one",
        mayTakeOut: keepsPromise,
        startsSmall: true,
        haltsOnFailures: true,
        reservePerPool: 1,
    },
} as const satisfies Readonly<Record<string, Policy>>;

export type PolicyName = keyof typeof policies;

/** Whether the pool keeps its promise without the instance. */
export function keepsPromise(pool: capacity.PoolView, instance: capacity.InstanceView): boolean {
    return !instance.available || capacity.countAvailable(pool) - 1 >= pool.required;
}

/**
 * Whether the pool keeps its promise without the instance, also when a further domain is lost that the pool can
 * afford to provide for.
 */
function keepsPromiseAfterLoss(pool: capacity.PoolView, instance: capacity.InstanceView, pace: Pace): boolean {
    if (!instance.available) {
        return true;
    }
    const domain = chooseProtectedDomain(pool, pace);
    const furtherLoss = domain === undefined ? 0 : capacity.measureFurtherLoss(pool, domain, instance);
    return capacity.countAvailable(pool) - 1 - furtherLoss >= pool.required;
}

/** How much longer than necessary a stop may take so that pools keep their reserve, by what the pool weighs most. */
const maxStretch = { rollOut: 1, other: 1.2 } as const;

/**
 * The domain whose loss during a wave the pool survives: an availability zone, else a rack, else none.
 *
 * The budget has to allow the domain's instances beside a drained one, and the pool must not hold up the stop by
 * keeping them in reserve.
 */
export function chooseProtectedDomain(pool: capacity.PoolView, pace: Pace): capacity.Domain | undefined {
    const allowed = pool.instances.length - pool.required;
    const stretch = capacity.prefersRollOut(pool) ? maxStretch.rollOut : maxStretch.other;
    const domains: readonly capacity.Domain[] = ["availabilityZone", "rack"];
    return domains.find(domain => {
        const width = allowed - capacity.measureGreatestDomain(pool, domain);
        return width > 0 && Math.ceil(pace.remaining / width) <= Math.floor(pace.criticalRounds * stretch);
    });
}

function keepsFraction(pool: capacity.PoolView): boolean {
    const out = pool.instances.filter(instance => !instance.available && !instance.lost).length;
    return out < Math.ceil(pool.instances.length * fixedFraction);
}
