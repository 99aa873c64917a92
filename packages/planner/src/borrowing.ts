/**
 * Moves spare instances into pools for the duration of a stop where the shorter wave (all drains and reboots of the
 * stop) outweighs the cost of the moves.
 */
import * as balance from "./balance.js";
import * as capacity from "./capacity.js";
import type * as draft from "./draft.js";
import * as moves from "./moves.js";
import type * as planContext from "./plan-context.js";
import type * as stopStatus from "./stop-status.js";

/** Cost of one move, in durations of the wave: with equal weights, one move is worth 5 % of the wave's duration. */
const moveCostShare = 0.05;
/** Cost of taking one instance out of the spare pool, in the same unit. */
const bufferCostShare = 0.05;
/** A borrowed instance is moved to the pool and back. */
const movesPerSpare = 2;

/** A pool with instances that running stops have yet to reboot. */
interface PoolPart {
    readonly pool: capacity.PoolView;
    /** Number of these instances, including those being drained or rebooted. */
    readonly remaining: number;
    /** Number of instances that may be unavailable at once; rises with each spare that chooseBorrowers assigns. */
    allowedUnavailable: number;
    /** Whether the first batch of a stop includes an instance of this pool in any case; see `Stage.firstBatch`. */
    readonly prioritizesRollOutTime: boolean;
}

/**
 * Borrows spare instances at the start of a stop.
 *
 * Spares are assigned one by one, at most one to each pool, to the pool that needs most rounds of reboots at that
 * point. Of all numbers of spares, the one with the lowest cost is used: the sum of rounds, moves and instances taken
 * out of the spare pool, weighted by the profiles. A pool whose availability budget allows no drain at all gets a spare
 * at any time if there is one, since the stop could never finish otherwise.
 */
export function planBorrowing(
    context: planContext.PlanContext,
    stops: readonly stopStatus.StopStatus[],
): draft.DecisionDraft[] {
    const startingStops = stops.filter(({ state: stop, halted }) =>
        !halted && stop.returned.length === 0 && stop.failed.length === 0
    );
    const blockedParts = listParts(context, stops).filter(part =>
        part.allowedUnavailable <= 0 && !hasExtraInstance(context, part.pool)
    );
    const borrowers = startingStops.length === 0
        ? []
        : chooseBorrowers(listParts(context, startingStops), countSpares(context));
    const drafts: draft.DecisionDraft[] = [];
    for (const pool of [...new Set([...blockedParts.map(part => part.pool.name), ...borrowers])]) {
        const spare = moves.findSpare(context, pool);
        if (spare !== undefined && !hasExtraInstance(context, context.pools.get(pool))) {
            drafts.push(context.startDrain(spare, { kind: "move", pool }));
        }
    }
    return drafts;
}

function listParts(context: planContext.PlanContext, stops: readonly stopStatus.StopStatus[]): PoolPart[] {
    const remaining = new Set(stops.flatMap(({ state: stop }) => stop.remaining));
    return [...context.pools.values()]
        .filter(pool => pool.name !== context.configuration.sparePool)
        .map(pool => ({
            pool,
            remaining: pool.instances.filter(instance => remaining.has(instance.name)).length,
            allowedUnavailable: Math.min(pool.instances.length, pool.planned) - pool.required,
            prioritizesRollOutTime: capacity.prioritizesRollOutTime(pool),
        }))
        .filter(part => part.remaining > 0);
}

/**
 * Whether the pool has more instances than planned, counting those being moved to it, or a pending decision moves one
 * to it. Such a pool borrows no further instance. Also true for a pool that does not exist.
 */
function hasExtraInstance(context: planContext.PlanContext, pool: capacity.PoolView | undefined): boolean {
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

/**
 * Number of spare instances that can be moved now, plus the pools that have an extra instance already: chooseBorrowers
 * computes the assignment as if nothing had been borrowed yet, so that each plan comes to the same result.
 */
function countSpares(context: planContext.PlanContext): number {
    const spare = context.pools.get(context.configuration.sparePool);
    const free = spare?.instances.filter(instance => instance.available && context.canStartDrain(instance)).length ?? 0;
    const borrowed = [...context.pools.values()].filter(pool =>
        pool.name !== context.configuration.sparePool && hasExtraInstance(context, pool)
    );
    return free + borrowed.length;
}

function chooseBorrowers(parts: readonly PoolPart[], spares: number): string[] {
    const weights = sumWeights(parts);
    const initialRounds = countTotalRounds(parts);
    const borrowers: string[] = [];
    let best: string[] = [];
    // Cost without borrowing.
    let bestCost = weights.rollOutTime;
    while (borrowers.length < spares) {
        const slowest = findSlowestPart(parts, borrowers);
        if (slowest === undefined) {
            break;
        }
        slowest.allowedUnavailable++;
        borrowers.push(slowest.pool.name);
        const cost = weights.rollOutTime * countTotalRounds(parts) / initialRounds
            + borrowers.length * (weights.moves * movesPerSpare * moveCostShare + weights.bufferCost * bufferCostShare);
        if (cost < bestCost) {
            best = [...borrowers];
            bestCost = cost;
        }
    }
    return best;
}

function findSlowestPart(parts: readonly PoolPart[], borrowers: readonly string[]): PoolPart | undefined {
    const [slowest] = [...parts].sort((left, right) =>
        countRoundsWithFirstBatch(right) - countRoundsWithFirstBatch(left)
    );
    return slowest === undefined || borrowers.includes(slowest.pool.name) ? undefined : slowest;
}

function countTotalRounds(parts: readonly PoolPart[]): number {
    return Math.max(0, ...parts.map(countRoundsWithFirstBatch));
}

/** Sequential rounds of reboots. The first batch is a round even if it includes none of the pool's instances. */
function countRoundsWithFirstBatch(part: PoolPart): number {
    const firstBatchSize = part.prioritizesRollOutTime ? 1 : 0;
    return 1 + Math.ceil((part.remaining - firstBatchSize) / Math.max(1, part.allowedUnavailable));
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
