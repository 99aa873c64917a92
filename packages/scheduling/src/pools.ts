/**
 * Target size of each pool, and the moves of instances between pools.
 *
 * An instance is a machine of the platform; in the pool of a service it hosts a backend server of that service. Each
 * service has one pool, with the same name, and runs the jobs of one or more queues.
 *
 * The bursts of the queues alternate: for some seconds, one queue demands several times the capacity of its pool while
 * the others are idle or work off the backlog of an earlier burst. Only empty instances move. When there are too few
 * instances for all pools, each pool gets a share in proportion to its work and priority, and pools above their share
 * drain some instances: these get no new tasks, so that they are soon empty. An instance that no pool needs moves to
 * the standby pool, where it costs nothing, as long as enough remain for a burst like the last ones.
 */

/** Demand for the capacity of one pool. */
export interface PoolDemand {
    /** Name of the service, and of its pool. */
    readonly service: string;
    /** This is the standby pool: its instances are powered off, and of its demand only `service` is used. */
    readonly standby: boolean;
    /** Cores that the arriving work keeps busy: core-seconds that arrive per second. */
    readonly arrivingCores: number;
    /** Remaining core-seconds of the tasks that are running or ready. */
    readonly backlog: number;
    /**
     * Ms that its jobs can wait on average and still meet their objective; a backlog should be worked off within it.
     */
    readonly allowedWait: number;
    /**
     * Instances that the pool needs independently of arrivals and backlog: those that run long-running tasks, and room
     * to relocate these tasks.
     */
    readonly floor: number;
    /** Priority of the queue whose job arrived last, taken for the whole pool; 0 is the highest. */
    readonly priority: number;
}

export interface PoolInstance {
    readonly id: string;
    /** Pool that holds the instance, or into which it is being moved. */
    readonly pool: string;
    /** Up, reachable, and not about to be moved or maintained. */
    readonly available: boolean;
    /** Being moved into `pool`; not available yet. */
    readonly beingMovedIn: boolean;
    /** Time in ms on the monotonic clock since which no task has run there; `undefined` while one runs. */
    readonly emptySince: number | undefined;
    /** Expected ms until all tasks that run there have ended; infinite with long-running tasks. */
    readonly busyFor: number;
    readonly cores: number;
    /** Due for maintenance soon: moved last, so that it can be maintained where it is. */
    readonly maintenanceDue: boolean;
    /** Most backend servers of its availability zone are unreachable: moved last, since it couldn't be used at once. */
    readonly zoneUnreachable: boolean;
}

export interface PoolPolicy {
    /** Ms from the order to move an instance until it can run tasks. */
    readonly moveTime: number;
    /** Ms for which an instance has to be empty before it is moved to the standby pool. */
    readonly emptyTimeBeforeStandby: number;
    /**
     * Ms for which the largest need of all pools together is kept in service; longer than the bursts of two queues that
     * follow one another.
     */
    readonly peakWindow: number;
    /**
     * Instances kept in service for each one that ran tasks at the peak: the next burst begins while the tasks of the last
     * one still run, and may be larger.
     */
    readonly peakHeadroom: number;
    /**
     * Ms for which an instance has to be empty before it moves to another service's pool. When instances are scarce, it
     * moves at once.
     */
    readonly emptyTimeBeforeMove: number;
    /** Share of an instance's cores that placement is expected to fill with tasks. */
    readonly packingEfficiency: number;
    /** Instances that every pool keeps, so that a burst finds some capacity even while no instance can be moved. */
    readonly minInstances: number;
    /**
     * Busy instances are drained only if at least this many are missing in all pools together, since draining and
     * moving take seconds.
     */
    readonly minShortage: number;
}

export const defaultPoolPolicy: PoolPolicy = {
    moveTime: 1500,
    // Two moves, to the standby pool and back, cost as much as an empty instance does in about 2.3 s.
    emptyTimeBeforeStandby: 2300,
    peakWindow: 15_000,
    peakHeadroom: 1.25,
    emptyTimeBeforeMove: 300,
    packingEfficiency: 0.85,
    minInstances: 2,
    minShortage: 3,
};

export interface PoolPlan {
    readonly moves: readonly Move[];
    /** Empty instances, also those on standby, that may be out of service now; none while a pool is below its share. */
    readonly surplus: readonly string[];
    /** Instances that all pools together need, by their target sizes. */
    readonly needed: number;
    /** Busy instances to drain: they get no new tasks, so that they can move once they are empty. */
    readonly toDrain: readonly string[];
}

export interface Move {
    /** ID of the instance. */
    readonly instance: string;
    /** Name of the pool. */
    readonly to: string;
}

/**
 * Number of instances that a pool should hold: enough for the arriving work, and for the backlog that will remain when
 * an instance that is ordered to move now can run tasks.
 *
 * @param poolCores cores of all instances that the pool can use or is about to get
 */
export function computeTargetSize(
    demand: PoolDemand,
    poolCores: number,
    coresPerInstance: number,
    policy: PoolPolicy,
): number {
    const usableCores = poolCores * policy.packingEfficiency;
    const backlogAfterMove = Math.max(
        0,
        demand.backlog + (demand.arrivingCores - usableCores) * policy.moveTime / 1000,
    );
    const neededCores = demand.arrivingCores + backlogAfterMove / (demand.allowedWait / 1000);
    return Math.max(
        demand.floor,
        policy.minInstances,
        Math.ceil(neededCores / (coresPerInstance * policy.packingEfficiency)),
    );
}

/**
 * Plans the moves and drains at `now`, in ms on the monotonic clock:
 *
 * 1. Computes each pool's target size, and its share of the instances that are usable or on standby.
 * 2. Moves empty instances from pools above their share, then from standby, to pools below theirs.
 * 3. Moves the remaining empty instances above a pool's share to standby if they have been empty for long, and more than
 *    `reserve` instances remain usable in the other pools.
 * 4. Drains busy instances above a pool's share for what other pools still lack.
 */
export function planMoves(
    demands: readonly PoolDemand[],
    instances: readonly PoolInstance[],
    policy: PoolPolicy,
    reserve: number,
    now: number,
): PoolPlan {
    const byPool = groupByPool(instances);
    const listHeld = (demand: PoolDemand | undefined) => byPool.get(demand?.service ?? "") ?? [];
    const standby = demands.find(demand => demand.standby);
    const standbyInstances = listEmpty(listHeld(standby), now, 0);
    const needs = allocateShares(
        demands.filter(demand => !demand.standby).map(demand =>
            computeNeed(demand, listHeld(demand), instances, policy)
        ),
        standbyInstances.length,
        policy,
    );
    const scarce = needs.some(need => need.share < need.targetSize);
    const spareByNeed = needs.map(need =>
        listEmpty(listHeld(need.demand), now, scarce ? 0 : policy.emptyTimeBeforeMove)
            .slice(0, Math.max(0, need.usableCount - need.share))
    );
    const spare = spareByNeed.flat();
    const undersized = needs.filter(({ share, usableCount }) => share > usableCount);
    const receivers = distributeInstances(
        undersized.map(need => ({ ...need, allotted: need.usableCount, limit: need.share })),
        spare.length + standbyInstances.length,
    );
    // Takes the instances out of `spare` and `standbyInstances`, which hold only the remaining ones from here on.
    const standbyCount = standbyInstances.length;
    const moves: Move[] = receivers.map(to => ({ instance: (spare.shift() ?? standbyInstances.shift())!.id, to }));
    if (standby !== undefined) {
        const inService = needs.reduce((sum, need) => sum + need.usableCount, standbyCount - standbyInstances.length);
        const longEmpty = spare.filter(instance => now - instance.emptySince! >= policy.emptyTimeBeforeStandby)
            .slice(0, Math.max(0, inService - reserve));
        moves.push(...longEmpty.map(instance => ({ instance: instance.id, to: standby.service })));
    }
    const shortage = undersized.reduce((sum, need) => sum + need.share - need.usableCount, 0) - receivers.length;
    const drainable = needs.flatMap((need, i) => {
        const remaining = need.usableCount - spareByNeed[i]!.length;
        return listDrainable(listHeld(need.demand)).slice(0, Math.max(0, remaining - need.share));
    });
    return {
        moves,
        needed: needs.reduce((sum, need) => sum + need.targetSize, 0),
        surplus: undersized.length > 0 ? [] : [...spare, ...standbyInstances].map(instance => instance.id),
        toDrain: shortage < policy.minShortage ? [] : drainable.slice(0, shortage),
    };
}

function computeNeed(
    demand: PoolDemand,
    held: readonly PoolInstance[],
    all: readonly PoolInstance[],
    policy: PoolPolicy,
): PoolNeed {
    const usableInstances = held.filter(instance => instance.available || instance.beingMovedIn);
    const coresPerInstance = averageCores(usableInstances.length > 0 ? usableInstances : all);
    return {
        demand,
        targetSize: computeTargetSize(demand, coresPerInstance * usableInstances.length, coresPerInstance, policy),
        usableCount: usableInstances.length,
    };
}

/** Target size of a pool and the number of its usable instances: those available or being moved in. */
interface PoolNeed {
    readonly demand: PoolDemand;
    readonly targetSize: number;
    readonly usableCount: number;
}

/** The same, with the pool's share: the number of instances that it should hold, at most its target size. */
interface PoolShare extends PoolNeed {
    readonly share: number;
}

/** Factor by which a pool's weight falls when its priority number is higher by 1, which is a lower priority. */
const priorityFactor = 2;
/** Seconds over which the weight of a pool spreads its backlog; draining and moving instances take that long. */
const scarcityBacklogTime = 3;

/** Weight of a pool in the distribution of instances: the cores that its work needs, scaled by its priority. */
function computeWeight(demand: PoolDemand): number {
    return Math.max(1, demand.arrivingCores + demand.backlog / scarcityBacklogTime) / priorityFactor ** demand.priority;
}

/**
 * Allots the usable instances of all pools and the empty ones on standby: first each pool's guaranteed minimum, then by
 * weight up to its target size.
 */
function allocateShares(needs: readonly PoolNeed[], standbyCount: number, policy: PoolPolicy): PoolShare[] {
    const guaranteed = needs.map(need => Math.min(need.targetSize, Math.max(need.demand.floor, policy.minInstances)));
    const total = needs.reduce((sum, need) => sum + need.usableCount, standbyCount);
    const free = total - guaranteed.reduce((sum, count) => sum + count, 0);
    const granted = distributeInstances(
        needs.map((need, i) => ({ ...need, allotted: guaranteed[i]!, limit: need.targetSize })),
        free,
    );
    return needs.map((need, i) => ({
        ...need,
        share: guaranteed[i]! + granted.filter(service => service === need.demand.service).length,
    }));
}

/**
 * Lists the pools that get the next `count` instances, one entry per instance. Each instance goes to the pool that has
 * been allotted the fewest in proportion to its weight. A pool gets none beyond its limit, so fewer may be listed.
 */
function distributeInstances(
    pools: readonly (PoolNeed & { readonly allotted: number; readonly limit: number; })[],
    count: number,
): string[] {
    const candidates = pools.map(({ demand, allotted, limit }) => ({
        to: demand.service,
        weight: computeWeight(demand),
        allotted,
        limit,
    }));
    const receivers: string[] = [];
    while (receivers.length < count) {
        const next = candidates
            .filter(pool => pool.allotted < pool.limit)
            .reduce<(typeof candidates)[number] | undefined>(
                (best, pool) =>
                    best === undefined || pool.allotted / pool.weight < best.allotted / best.weight ? pool : best,
                undefined,
            );
        if (next === undefined) {
            break;
        }
        next.allotted += 1;
        receivers.push(next.to);
    }
    return receivers;
}

/** IDs of the busy instances without long-running tasks, in the order in which they are expected to become empty. */
function listDrainable(instances: readonly PoolInstance[]): string[] {
    return instances
        .filter(instance =>
            instance.available && instance.emptySince === undefined && Number.isFinite(instance.busyFor)
        )
        .sort((a, b) => a.busyFor - b.busyFor)
        .map(instance => instance.id);
}

function groupByPool(instances: readonly PoolInstance[]): Map<string, PoolInstance[]> {
    const byPool = new Map<string, PoolInstance[]>();
    for (const instance of instances) {
        const list = byPool.get(instance.pool) ?? [];
        list.push(instance);
        byPool.set(instance.pool, list);
    }
    return byPool;
}

/** Average cores per instance, at least 1. */
function averageCores(instances: readonly PoolInstance[]): number {
    const total = instances.reduce((sum, instance) => sum + instance.cores, 0);
    return instances.length === 0 ? 1 : Math.max(1, total / instances.length);
}

/**
 * Instances that have been empty for at least `minEmptyTime` ms, in the order in which they move: those in unreachable
 * availability zones last, before them those due for maintenance, and otherwise the one that is empty for longest
 * first.
 */
function listEmpty(instances: readonly PoolInstance[], now: number, minEmptyTime: number): PoolInstance[] {
    return instances
        .filter(instance =>
            instance.available && instance.emptySince !== undefined && now - instance.emptySince >= minEmptyTime
        )
        .sort((a, b) =>
            Number(a.zoneUnreachable) - Number(b.zoneUnreachable) || Number(a.maintenanceDue) - Number(b.maintenanceDue)
            || a.emptySince! - b.emptySince!
        );
}
