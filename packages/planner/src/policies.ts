/**
 * Policies: the chosen one, and those that it is compared with.
 */
import * as capacity from "./capacity.js";

/** How moves and waves are decided. */
export interface Policy {
    readonly name: string;
    /** Whether the pool can do without the instance now. */
    readonly mayTakeOut: (pool: capacity.PoolView, instance: capacity.InstanceView) => boolean;
    /** Instances that one stop may have out at once. */
    readonly maxOut: number;
    /** Instances of the first batch; undefined for none. */
    readonly firstBatch: number | undefined;
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
}

/** Share of a pool that the fixed-fraction policy takes out at once. */
const fixedFraction = 0.25;

/** All policies by name. */
export const policies = {
    "chosen": {
        name: "chosen",
        mayTakeOut: keepsPromiseAfterLoss,
        maxOut: Number.POSITIVE_INFINITY,
        firstBatch: 1,
        haltsOnFailures: true,
        borrowsSpares: true,
        followsDemand: true,
        restoresPromise: true,
        reservePerPool: 0,
    },
    "one-at-a-time": {
        name: "one-at-a-time",
        mayTakeOut: () => true,
        maxOut: 1,
        firstBatch: undefined,
        haltsOnFailures: false,
        borrowsSpares: false,
        followsDemand: false,
        restoresPromise: false,
        reservePerPool: 0,
    },
    "fixed-fraction": {
        name: "fixed-fraction",
        mayTakeOut: keepsFraction,
        maxOut: Number.POSITIVE_INFINITY,
        firstBatch: undefined,
        haltsOnFailures: false,
        borrowsSpares: false,
        followsDemand: false,
        restoresPromise: false,
        reservePerPool: 0,
    },
    "budget-only": {
        name: "budget-only",
        mayTakeOut: keepsPromise,
        maxOut: Number.POSITIVE_INFINITY,
        firstBatch: undefined,
        haltsOnFailures: false,
        borrowsSpares: false,
        followsDemand: false,
        restoresPromise: false,
        reservePerPool: 0,
    },
    "static-n-plus-one": {
        name: "static-n-plus-one",
        mayTakeOut: keepsPromise,
        maxOut: Number.POSITIVE_INFINITY,
        firstBatch: 1,
        haltsOnFailures: true,
        borrowsSpares: false,
        followsDemand: false,
        restoresPromise: false,
        reservePerPool: 1,
    },
} as const satisfies Readonly<Record<string, Policy>>;

export type PolicyName = keyof typeof policies;

/** Whether the pool keeps its promise without the instance. */
export function keepsPromise(pool: capacity.PoolView, instance: capacity.InstanceView): boolean {
    return !instance.available || capacity.countAvailable(pool) - 1 >= pool.required;
}

/**
 * Whether the pool keeps its promise without the instance and without the greatest further domain that its budget can
 * afford to lose during a wave.
 */
function keepsPromiseAfterLoss(pool: capacity.PoolView, instance: capacity.InstanceView): boolean {
    if (!instance.available) {
        return true;
    }
    const domain = chooseProtectedDomain(pool);
    const furtherLoss = domain === undefined ? 0 : capacity.measureFurtherLoss(pool, domain, instance);
    return capacity.countAvailable(pool) - 1 - furtherLoss >= pool.required;
}

/**
 * The domain whose loss during a wave the pool survives: an availability zone if the budget allows one beside a
 * drained instance, else a rack, else none. Profiles that weigh roll-out time most use the whole budget.
 */
export function chooseProtectedDomain(pool: capacity.PoolView): capacity.Domain | undefined {
    if (capacity.prefersRollOut(pool)) {
        return undefined;
    }
    const allowed = pool.instances.length - pool.required;
    const domains: readonly capacity.Domain[] = ["availabilityZone", "rack"];
    return domains.find(domain => capacity.measureGreatestDomain(pool, domain) < allowed);
}

function keepsFraction(pool: capacity.PoolView): boolean {
    const out = pool.instances.filter(instance => !instance.available && !instance.lost).length;
    return out < Math.ceil(pool.instances.length * fixedFraction);
}
