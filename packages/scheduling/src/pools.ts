/**
 * How many instances each service's pool should hold, and which instances move.
 *
 * Load: queues whose demand comes in turns, each for some seconds several times what its pool can do while the others
 * idle, or work off what an earlier turn left. Only empty instances move. When all that there are aren't enough, each pool
 * gets a share by what it wants and how urgent its queues are, and pools above theirs stop filling some instances, so that
 * these are soon empty. An instance that nobody needs goes to the standby pool, where it costs nothing.
 */

/** What one pool has to do. */
export interface PoolDemand {
    readonly service: string;
    readonly standby: boolean;
    /** Processor time that the work which arrives needs, in cores. */
    readonly arriving: number;
    /** Core-seconds that are left of tasks that run or could run. */
    readonly backlog: number;
    /** Ms that its jobs can usually wait and still meet their objective: a backlog should be worked off within it. */
    readonly clearance: number;
    /** Instances that the pool needs whatever the work is: those that hold long-running tasks, and room to move these. */
    readonly floor: number;
    /** Priority of the queue whose work came last; 0 comes first. */
    readonly priority: number;
}

export interface PoolInstance {
    readonly id: string;
    readonly pool: string;
    /** Up, and not about to be moved or maintained. */
    readonly available: boolean;
    /** On its way into `pool`. */
    readonly arriving: boolean;
    /** Nothing runs there, since this time on the steady clock, ms; `undefined` when something runs. */
    readonly emptySince: number | undefined;
    /** Ms until the tasks that run there should have ended; infinite with long-running ones. */
    readonly busyFor: number;
    readonly cores: number;
    /** Due for maintenance soon: moved last, so that it can be maintained where it is. */
    readonly due: boolean;
    /** Most servers of its availability zone are out of reach: moved last, since it would be of no use at once. */
    readonly doubtful: boolean;
}

export interface PoolPolicy {
    /** Ms until an instance that is moved can work. */
    readonly moveTime: number;
    /** Ms for which an instance has been empty before it is switched off. */
    readonly idleBeforeStandby: number;
    /** Ms for which an instance has been empty before it is lent to another pool. */
    readonly idleBeforeLending: number;
    /** Share of an instance's cores that packing reaches. */
    readonly fill: number;
    /** Instances that every pool keeps: a burst has to start somewhere, also when no machine can be moved. */
    readonly reserve: number;
    /** Instances that a pool has to lack before another one empties some for it: emptying and moving take seconds. */
    readonly minShortage: number;
}

/**
 * Two moves, out and back, cost what an idle instance costs in
 * some 2.3 s; one that stays idle for longer is switched off.
 */
export const defaultPoolPolicy: PoolPolicy = {
    moveTime: 1500,
    idleBeforeStandby: 2300,
    idleBeforeLending: 300,
    fill: 0.85,
    reserve: 2,
    minShortage: 3,
};

export interface PoolPlan {
    readonly moves: readonly Move[];
    /** Empty instances that no pool needs. */
    readonly surplus: readonly string[];
    /** Busy instances that should get no new tasks, so that they can move when they are empty. */
    readonly release: readonly string[];
}

export interface Move {
    readonly instance: string;
    readonly to: string;
}

/**
 * Instances that a pool should hold: enough for what arrives, and for what will still wait when an instance that is
 * moved now can work.
 *
 * @param capacity cores of the instances that the pool has or is about to get
 * @param cores of one instance
 */
export function countWanted(demand: PoolDemand, capacity: number, cores: number, policy: PoolPolicy): number {
    const usable = capacity * policy.fill;
    const waiting = Math.max(0, demand.backlog + (demand.arriving - usable) * policy.moveTime / 1000);
    const needed = demand.arriving + waiting / (demand.clearance / 1000);
    return Math.max(demand.floor, policy.reserve, Math.ceil(needed / (cores * policy.fill)));
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
    const off = listEmpty(listHeld(standby), now, 0);
    const needs = findShares(
        demands.filter(demand => !demand.standby).map(demand => findNeed(demand, listHeld(demand), instances, policy)),
        off.length,
        policy,
    );
    const scarce = needs.some(need => need.share < need.wanted);
    const spareByNeed = needs.map(need =>
        listEmpty(listHeld(need.demand), now, scarce ? 0 : policy.idleBeforeLending)
            .slice(0, Math.max(0, need.usable - need.share))
    );
    const spare = spareByNeed.flat();
    const lacking = needs.filter(({ share, usable }) => share > usable);
    const receivers = fillUp(
        lacking.map(need => ({ ...need, held: need.usable, limit: need.share })),
        spare.length + off.length,
    );
    const moves: Move[] = receivers.map(to => ({ instance: (spare.shift() ?? off.shift())!.id, to }));
    if (standby !== undefined) {
        const idle = spare.filter(instance => now - instance.emptySince! >= policy.idleBeforeStandby);
        moves.push(...idle.map(instance => ({ instance: instance.id, to: standby.service })));
    }
    const shortage = lacking.reduce((sum, need) => sum + need.share - need.usable, 0) - receivers.length;
    const soonSpare = needs.flatMap((need, i) => {
        const staying = need.usable - spareByNeed[i]!.length;
        return listSoonEmpty(listHeld(need.demand)).slice(0, Math.max(0, staying - need.share));
    });
    return {
        moves,
        surplus: lacking.length > 0 ? [] : [...spare, ...off].map(instance => instance.id),
        release: shortage < policy.minShortage ? [] : soonSpare.slice(0, shortage),
    };
}

function findNeed(
    demand: PoolDemand,
    held: readonly PoolInstance[],
    all: readonly PoolInstance[],
    policy: PoolPolicy,
): Need {
    const usable = held.filter(instance => instance.available || instance.arriving);
    const cores = measureCores(usable.length > 0 ? usable : all);
    return { demand, wanted: countWanted(demand, cores * usable.length, cores, policy), usable: usable.length };
}

/** What a pool wants and can use, in instances. */
interface Need {
    readonly demand: PoolDemand;
    readonly wanted: number;
    readonly usable: number;
}

/** The same, with what it gets of all that there are. */
interface SharedNeed extends Need {
    readonly share: number;
}

/** How much more a pool counts than one whose queues come one priority later. */
const priorityFactor = 2;
/** Seconds within which a backlog counts as worked off when instances are scarce; emptying and moving take that long. */
const scarceClearance = 3;

/** What a pool has to do, in cores, by how urgent it is: instances that are scarce go by it. */
function weigh(demand: PoolDemand): number {
    return Math.max(1, demand.arriving + demand.backlog / scarceClearance) / priorityFactor ** demand.priority;
}

/** Shares all usable instances out: first what pools keep in any case, then by what they want and how urgent it is. */
function findShares(needs: readonly Need[], off: number, policy: PoolPolicy): SharedNeed[] {
    const kept = needs.map(need => Math.min(need.wanted, Math.max(need.demand.floor, policy.reserve)));
    const total = needs.reduce((sum, need) => sum + need.usable, off);
    const free = total - kept.reduce((sum, count) => sum + count, 0);
    const given = fillUp(needs.map((need, i) => ({ ...need, held: kept[i]!, limit: need.wanted })), free);
    return needs.map((need, i) => ({
        ...need,
        share: kept[i]! + given.filter(service => service === need.demand.service).length,
    }));
}

/** Pools that get the next instances: each goes where there are fewest for what is to be done. */
function fillUp(
    pools: readonly (Need & { readonly held: number; readonly limit: number; })[],
    count: number,
): string[] {
    const open = pools.map(({ demand, held, limit }) => ({
        to: demand.service,
        weight: weigh(demand),
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

/** Busy instances without long-running tasks, those that will be empty first. */
function listSoonEmpty(instances: readonly PoolInstance[]): string[] {
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

function measureCores(instances: readonly PoolInstance[]): number {
    const total = instances.reduce((sum, instance) => sum + instance.cores, 0);
    return instances.length === 0 ? 1 : Math.max(1, total / instances.length);
}

/** Empty instances: first those that can be reached, then those that aren't due for maintenance, empty longest first. */
function listEmpty(instances: readonly PoolInstance[], now: number, since: number): PoolInstance[] {
    return instances
        .filter(instance =>
            instance.available && instance.emptySince !== undefined && now - instance.emptySince >= since
        )
        .sort((a, b) =>
            Number(a.doubtful) - Number(b.doubtful) || Number(a.due) - Number(b.due) || a.emptySince! - b.emptySince!
        );
}
