/**
 * Moves spare instances into pools for the duration of a stop where the shorter wave outweighs the cost of the moves.
 */
import * as balance from "./balance.js";
import * as capacity from "./capacity.js";
import type * as draft from "./draft.js";
import * as moves from "./moves.js";
import type * as planContext from "./plan-context.js";
import type * as stopStatus from "./stop-status.js";

/** Cost of one move, as a share of a wave's duration at equal weights. */
const moveCostShare = 0.05;
/** Cost of taking one spare instance out of the reserve, on the same scale. */
const bufferCostShare = 0.05;
/** A borrowed instance is moved to the pool and back. */
const movesPerSpare = 2;

/** A pool with instances that a stop has yet to reboot. */
interface PoolPart {
    readonly pool: capacity.PoolView;
    readonly remaining: number;
    /** Instances that may be unavailable at once. */
    maxConcurrentDrains: number;
    /** Whether the first batch includes one of the instances. */
    readonly usesFirstBatch: boolean;
}

/**
 * Borrows spare instances at the start of a stop.
 *
 * Spares are assigned one by one to the pool that needs most rounds at that point, and the number of spares with the
 * lowest cost is used (rounds, moves and reserve, with the profiles' weights). A pool whose availability budget allows
 * no drain at all always gets a spare, since the stop would never finish otherwise.
 */
export function planBorrowing(
    context: planContext.PlanContext,
    stops: readonly stopStatus.StopStatus[],
): draft.DecisionDraft[] {
    const startingStops = stops.filter(({ stop, halted }) =>
        !halted && stop.returned.length === 0 && stop.failed.length === 0
    );
    const blockedParts = listParts(context, stops).filter(part =>
        part.maxConcurrentDrains <= 0 && !hasBorrowedSpare(context, part.pool)
    );
    const borrowers = startingStops.length === 0
        ? []
        : chooseBorrowers(listParts(context, startingStops), countSpares(context));
    const drafts: draft.DecisionDraft[] = [];
    for (const pool of [...new Set([...blockedParts.map(part => part.pool.name), ...borrowers])]) {
        const spare = moves.findSpare(context, pool);
        if (spare !== undefined && !hasBorrowedSpare(context, context.pools.get(pool))) {
            drafts.push(context.startDrain(spare, { kind: "move", pool }));
        }
    }
    return drafts;
}

function listParts(context: planContext.PlanContext, stops: readonly stopStatus.StopStatus[]): PoolPart[] {
    const remaining = new Set(stops.flatMap(({ stop }) => stop.remaining));
    return [...context.pools.values()]
        .filter(pool => pool.name !== context.configuration.sparePool)
        .map(pool => ({
            pool,
            remaining: pool.instances.filter(instance => remaining.has(instance.name)).length,
            maxConcurrentDrains: Math.min(pool.instances.length, pool.planned) - pool.required,
            usesFirstBatch: capacity.prioritizesRollOutTime(pool),
        }))
        .filter(part => part.remaining > 0);
}

/**
 * Whether the pool has more instances than planned, counting those on their way, or a pending move to it. Such a pool
 * borrows no further one, so that the same instance is not requested twice.
 */
function hasBorrowedSpare(context: planContext.PlanContext, pool: capacity.PoolView | undefined): boolean {
    if (pool === undefined || context.input.pending?.some(decision => isMoveTo(decision, pool.name))) {
        return true;
    }
    const assigned = [...context.state.instances.values()].filter(instance =>
        balance.getDestinationPool(instance) === pool.name
    );
    return assigned.length > pool.planned;
}

function isMoveTo(decision: draft.DecisionDraft, pool: string): boolean {
    return decision.kind === "drain-started" && decision.purpose.kind === "move" && decision.purpose.pool === pool;
}

/** Number of spare instances that can be moved now, plus those that pools have borrowed already. */
function countSpares(context: planContext.PlanContext): number {
    const spare = context.pools.get(context.configuration.sparePool);
    const free = spare?.instances.filter(instance => instance.available && context.canStartDrain(instance)).length ?? 0;
    const borrowed = [...context.pools.values()].filter(pool =>
        pool.name !== context.configuration.sparePool && hasBorrowedSpare(context, pool)
    );
    return free + borrowed.length;
}

function chooseBorrowers(parts: readonly PoolPart[], spares: number): string[] {
    const weights = sumWeights(parts);
    const initialRounds = countTotalRounds(parts);
    const borrowers: string[] = [];
    let best: string[] = [];
    let bestCost = weights.rollOutTime;
    while (borrowers.length < spares) {
        const critical = findCriticalPart(parts, borrowers);
        if (critical === undefined) {
            break;
        }
        critical.maxConcurrentDrains++;
        borrowers.push(critical.pool.name);
        const cost = weights.rollOutTime * countTotalRounds(parts) / initialRounds
            + borrowers.length * (weights.moves * movesPerSpare * moveCostShare + weights.bufferCost * bufferCostShare);
        if (cost < bestCost) {
            best = [...borrowers];
            bestCost = cost;
        }
    }
    return best;
}

function findCriticalPart(parts: readonly PoolPart[], borrowers: readonly string[]): PoolPart | undefined {
    const [critical] = [...parts].sort((left, right) => countRounds(right) - countRounds(left));
    return critical === undefined || borrowers.includes(critical.pool.name) ? undefined : critical;
}

function countTotalRounds(parts: readonly PoolPart[]): number {
    return Math.max(0, ...parts.map(countRounds));
}

/** Rounds of reboots, including the first batch. */
function countRounds(part: PoolPart): number {
    const firstBatchSize = part.usesFirstBatch ? 1 : 0;
    return 1 + Math.ceil((part.remaining - firstBatchSize) / Math.max(1, part.maxConcurrentDrains));
}

function sumWeights(parts: readonly PoolPart[]): { bufferCost: number; rollOutTime: number; moves: number; } {
    return parts.reduce(
        (sum, { pool }) => ({
            bufferCost: sum.bufferCost + pool.weights.bufferCost,
            rollOutTime: sum.rollOutTime + pool.weights.rollOutTime,
            moves: sum.moves + pool.weights.moves,
        }),
        { bufferCost: 0, rollOutTime: 0, moves: 0 },
    );
}
