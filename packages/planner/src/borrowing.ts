/**
 * Spare instances that join pools for the time of a stop, where the shorter wave is worth the moves.
 */
import * as balance from "./balance.js";
import * as capacity from "./capacity.js";
import type * as context from "./context.js";
import type * as draft from "./draft.js";
import * as moves from "./moves.js";
import type * as stopStatus from "./stop-status.js";

/** What one move is worth, as a share of a wave's length at equal weights. */
const moveCost = 0.05;
/** What a borrowed spare instance is worth as reserve, on the same scale. */
const bufferCost = 0.05;
const movesEach = 2;

/** A pool with instances left to reboot. */
interface Part {
    readonly pool: capacity.PoolView;
    readonly remaining: number;
    /** Instances that may be out at once. */
    width: number;
    /** Whether one of the instances goes with the first batch. */
    readonly startsFirst: boolean;
}

/**
 * Borrows spare instances at the start of a stop.
 *
 * The pool that needs most rounds gets the next spare each time; of all numbers of spares the one with the least cost
 * (rounds, moves and reserve, weighted as the profiles say) is taken. A pool whose budget allows no drain at all gets
 * one in any case, since the stop would never end.
 */
export function planBorrowing(
    given: context.PlanContext,
    stops: readonly stopStatus.StopStatus[],
): draft.DecisionDraft[] {
    const starting = stops.filter(({ stop, halted }) =>
        !halted && stop.returned.length === 0 && stop.failed.length === 0
    );
    const stuck = listParts(given, stops).filter(part => part.width <= 0 && !hasExtra(given, part.pool));
    const chosen = starting.length === 0 ? [] : chooseBorrowers(listParts(given, starting), countSpares(given));
    const drafts: draft.DecisionDraft[] = [];
    for (const pool of [...new Set([...stuck.map(part => part.pool.name), ...chosen])]) {
        const spare = moves.findSpare(given, pool);
        if (spare !== undefined && !hasExtra(given, given.pools.get(pool))) {
            drafts.push(given.startDrain(spare, { kind: "move", pool }));
        }
    }
    return drafts;
}

function listParts(given: context.PlanContext, stops: readonly stopStatus.StopStatus[]): Part[] {
    const remaining = new Set(stops.flatMap(({ stop }) => stop.remaining));
    return [...given.pools.values()]
        .filter(pool => pool.name !== given.configuration.sparePool)
        .map(pool => ({
            pool,
            remaining: pool.instances.filter(one => remaining.has(one.name)).length,
            width: Math.min(pool.instances.length, pool.planned) - pool.required,
            startsFirst: capacity.prefersRollOut(pool),
        }))
        .filter(part => part.remaining > 0);
}

/** A pool borrows one instance at most, so that a coming one is not asked for twice. */
function hasExtra(given: context.PlanContext, pool: capacity.PoolView | undefined): boolean {
    if (pool === undefined || given.input.pending?.some(one => isMoveTo(one, pool.name))) {
        return true;
    }
    const heading = [...given.state.instances.values()].filter(one => balance.getDestination(one) === pool.name);
    return heading.length > pool.planned;
}

function isMoveTo(one: draft.DecisionDraft, pool: string): boolean {
    return one.kind === "drain-started" && one.purpose.kind === "move" && one.purpose.pool === pool;
}

/** Spare instances that are free, and those that pools have borrowed already. */
function countSpares(given: context.PlanContext): number {
    const spare = given.pools.get(given.configuration.sparePool);
    const free = spare?.instances.filter(one => one.available && given.isFree(one)).length ?? 0;
    const borrowed = [...given.pools.values()].filter(pool =>
        pool.name !== given.configuration.sparePool && hasExtra(given, pool)
    );
    return free + borrowed.length;
}

function chooseBorrowers(parts: readonly Part[], spares: number): string[] {
    const weights = sumWeights(parts);
    const initial = measureRounds(parts);
    const order: string[] = [];
    let best: string[] = [];
    let bestCost = weights.rollOutTime;
    while (order.length < spares) {
        const critical = findCritical(parts, order);
        if (critical === undefined) {
            break;
        }
        critical.width++;
        order.push(critical.pool.name);
        const cost = weights.rollOutTime * measureRounds(parts) / initial
            + order.length * (weights.moves * movesEach * moveCost + weights.bufferCost * bufferCost);
        if (cost < bestCost) {
            best = [...order];
            bestCost = cost;
        }
    }
    return best;
}

function findCritical(parts: readonly Part[], served: readonly string[]): Part | undefined {
    const [critical] = [...parts].sort((left, right) => countRounds(right) - countRounds(left));
    return critical === undefined || served.includes(critical.pool.name) ? undefined : critical;
}

function measureRounds(parts: readonly Part[]): number {
    return Math.max(0, ...parts.map(countRounds));
}

/** Rounds of reboots, the first batch included. */
function countRounds(part: Part): number {
    const first = part.startsFirst ? 1 : 0;
    return 1 + Math.ceil((part.remaining - first) / Math.max(1, part.width));
}

function sumWeights(parts: readonly Part[]): { bufferCost: number; rollOutTime: number; moves: number; } {
    return parts.reduce(
        (sum, { pool }) => ({
            bufferCost: sum.bufferCost + pool.weights.bufferCost,
            rollOutTime: sum.rollOutTime + pool.weights.rollOutTime,
            moves: sum.moves + pool.weights.moves,
        }),
        { bufferCost: 0, rollOutTime: 0, moves: 0 },
    );
}
