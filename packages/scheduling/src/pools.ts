/**
 * Target size of each service's pool, and the moves of instances between pools.
 *
 * The bursts of the queues alternate: for some seconds, one queue demands several times the capacity of its pool while
 * the others are idle or work off the backlog of an earlier burst. Only empty instances move. When there are too few
 * instances for all pools, each pool gets a share by its target size and the priority of its queues, and pools above
 * their share drain some instances: these get no new tasks, so that they are soon empty. An instance that no pool needs
 * moves to the standby pool, where it costs nothing.
 */

/** Demand for the capacity of one pool. */
export interface PoolDemand {
    readonly service: string;
    readonly standby: boolean;
    /** Processor time that arriving work needs, in cores. */
    readonly arriving: number;
    /** Remaining core-seconds of tasks that are running or ready. */
    readonly backlog: number;
    /** Ms that its jobs can usually wait and still meet their objective; a backlog should be worked off within it. */
    readonly allowedWait: number;
    /**
     * Instances that the pool needs independently of arrivals and backlog: those that hold long-running tasks, and room
     * to relocate these tasks.
     */
    readonly floor: number;
    /** Priority of the queue whose work arrived last; 0 is the highest. */
    readonly priority: number;
}

export interface PoolInstance {
    readonly id: string;
    readonly pool: string;
    /** Up, and not about to be moved or maintained. */
    readonly available: boolean;
    /** Being moved into `pool`. */
    readonly arriving: boolean;
    /** Time on the steady clock, ms, since which nothing has run there; `undefined` while something runs. */
    readonly emptySince: number | undefined;
    /** Expected ms until all tasks that run there have ended; infinite with long-running tasks. */
    readonly busyFor: number;
    readonly cores: number;
    /** Due for maintenance soon: moved last, so that it can be maintained where it is. */
    readonly maintenanceDue: boolean;
    /** Most servers of its availability zone are unreachable: moved last, since it couldn't be used at once. */
    readonly zoneUnreachable: boolean;
}

export interface PoolPolicy {
    /** Ms from the order to move an instance until it can run tasks. */
    readonly moveTime: number;
    /** Ms for which an instance has to be empty before it is moved to the standby pool. */
    readonly idleBeforeStandby: number;
    /** Ms for which an instance has to be empty before it is moved to another pool while instances aren't scarce. */
    readonly idleBeforeMove: number;
    /** Share of an instance's cores that placement can fill with tasks. */
    readonly packingEfficiency: number;
    /** Instances that every pool keeps: a burst has to start somewhere, even while no machine can be moved. */
    readonly minInstances: number;
    /** Instances missing over all pools from which busy ones are drained: draining and moving take seconds. */
    readonly minShortage: number;
}

/**
 * Two moves, to the standby pool and back, cost as much as an idle instance does in about 2.3 s, so an instance that
 * stays idle for longer is moved there.
 */
export const defaultPoolPolicy: PoolPolicy = {
    moveTime: 1500,
    idleBeforeStandby: 2300,
    idleBeforeMove: 300,
    packingEfficiency: 0.85,
    minInstances: 2,
    minShortage: 3,
};

export interface PoolPlan {
    readonly moves: readonly Move[];
    /** Empty instances that no pool needs. */
    readonly surplus: readonly string[];
    /** Busy instances to drain: they get no new tasks, so that they can move once they are empty. */
    readonly release: readonly string[];
}

export interface Move {
    readonly instance: string;
    readonly to: string;
}

/**
 * Number of instances that a pool should hold: enough for the arriving work, and for the backlog that will remain when
 * an instance that is moved now can run tasks.
 *
 * @param capacity cores of all instances that the pool holds or is about to get
 * @param cores of one instance
 */
export function computeTargetSize(demand: PoolDemand, capacity: number, cores: number, policy: PoolPolicy): number {
    const usable = capacity * policy.packingEfficiency;
    const waiting = Math.max(0, demand.backlog + (demand.arriving - usable) * policy.moveTime / 1000);
    const needed = demand.arriving + waiting / (demand.allowedWait / 1000);
    return Math.max(demand.floor, policy.minInstances, Math.ceil(needed / (cores * policy.packingEfficiency)));
}

/** Plans moves at `now`, on the steady clock, ms. */
export function planMoves(
    demands: readonly PoolDemand[],
    instances: readonly PoolInstance[],
    policy: PoolPolicy,
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
        listEmpty(listHeld(need.demand), now, scarce ? 0 : policy.idleBeforeMove)
            .slice(0, Math.max(0, need.usable - need.share))
    );
    const spare = spareByNeed.flat();
    const undersized = needs.filter(({ share, usable }) => share > usable);
    const receivers = distributeInstances(
        undersized.map(need => ({ ...need, held: need.usable, limit: need.share })),
        spare.length + standbyInstances.length,
    );
    const moves: Move[] = receivers.map(to => ({ instance: (spare.shift() ?? standbyInstances.shift())!.id, to }));
    if (standby !== undefined) {
        const idle = spare.filter(instance => now - instance.emptySince! >= policy.idleBeforeStandby);
        moves.push(...idle.map(instance => ({ instance: instance.id, to: standby.service })));
    }
    const shortage = undersized.reduce((sum, need) => sum + need.share - need.usable, 0) - receivers.length;
    const drainable = needs.flatMap((need, i) => {
        const remaining = need.usable - spareByNeed[i]!.length;
        return listDrainable(listHeld(need.demand)).slice(0, Math.max(0, remaining - need.share));
    });
    return {
        moves,
        surplus: undersized.length > 0 ? [] : [...spare, ...standbyInstances].map(instance => instance.id),
        release: shortage < policy.minShortage ? [] : drainable.slice(0, shortage),
    };
}

function computeNeed(
    demand: PoolDemand,
    held: readonly PoolInstance[],
    all: readonly PoolInstance[],
    policy: PoolPolicy,
): PoolNeed {
    const usable = held.filter(instance => instance.available || instance.arriving);
    const cores = averageCores(usable.length > 0 ? usable : all);
    return {
        demand,
        targetSize: computeTargetSize(demand, cores * usable.length, cores, policy),
        usable: usable.length,
    };
}

/** Target size of a pool and the number of its usable instances. */
interface PoolNeed {
    readonly demand: PoolDemand;
    readonly targetSize: number;
    readonly usable: number;
}

/** The same, with the number of instances that the pool is allotted. */
interface PoolShare extends PoolNeed {
    readonly share: number;
}

/** Ratio of a pool's weight to that of a pool with the same work whose queues are one priority lower. */
const priorityFactor = 2;
/** Seconds in which a backlog should be worked off when instances are scarce; draining and moving take that long. */
const scarcityBacklogTime = 3;

/** Weight of a pool in the distribution of scarce instances: its work in cores, scaled by its priority. */
function computeWeight(demand: PoolDemand): number {
    return Math.max(1, demand.arriving + demand.backlog / scarcityBacklogTime) / priorityFactor ** demand.priority;
}

/** Allots all usable instances: first each pool's guaranteed minimum, then up to its target size by weight. */
function allocateShares(needs: readonly PoolNeed[], standbyCount: number, policy: PoolPolicy): PoolShare[] {
    const guaranteed = needs.map(need => Math.min(need.targetSize, Math.max(need.demand.floor, policy.minInstances)));
    const total = needs.reduce((sum, need) => sum + need.usable, standbyCount);
    const free = total - guaranteed.reduce((sum, count) => sum + count, 0);
    const granted = distributeInstances(
        needs.map((need, i) => ({ ...need, held: guaranteed[i]!, limit: need.targetSize })),
        free,
    );
    return needs.map((need, i) => ({
        ...need,
        share: guaranteed[i]! + granted.filter(service => service === need.demand.service).length,
    }));
}

/**
 * Lists the pools that get the next `count` instances, one entry per instance. Each instance goes to the pool that
 * holds the fewest in proportion to its weight.
 */
function distributeInstances(
    pools: readonly (PoolNeed & { readonly held: number; readonly limit: number; })[],
    count: number,
): string[] {
    const open = pools.map(({ demand, held, limit }) => ({
        to: demand.service,
        weight: computeWeight(demand),
        held,
        limit,
    }));
    const receivers: string[] = [];
    while (receivers.length < count) {
        const next = open
            .filter(pool => pool.held < pool.limit)
            .reduce<(typeof open)[number] | undefined>(
                (best, pool) => best === undefined || pool.held / pool.weight < best.held / best.weight ? pool : best,
                undefined,
            );
        if (next === undefined) {
            break;
        }
        next.held += 1;
        receivers.push(next.to);
    }
    return receivers;
}

/** Busy instances without long-running tasks, in the order in which they are expected to become empty. */
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

function averageCores(instances: readonly PoolInstance[]): number {
    const total = instances.reduce((sum, instance) => sum + instance.cores, 0);
    return instances.length === 0 ? 1 : Math.max(1, total / instances.length);
}

/**
 * Instances that have been empty for `minIdleTime`, in ms, in the order in which they move: reachable ones first, then
 * those that aren't due for maintenance, then those that have been empty longest.
 */
function listEmpty(instances: readonly PoolInstance[], now: number, minIdleTime: number): PoolInstance[] {
    return instances
        .filter(instance =>
            instance.available && instance.emptySince !== undefined && now - instance.emptySince >= minIdleTime
        )
        .sort((a, b) =>
            Number(a.zoneUnreachable) - Number(b.zoneUnreachable) || Number(a.maintenanceDue) - Number(b.maintenanceDue)
            || a.emptySince! - b.emptySince!
        );
}
