/**
 * Which instances are taken out next for the planned stops, and why none is where none is.
 */
import * as capacity from "./capacity.js";
import type * as context from "./context.js";
import * as draft from "./draft.js";
import type * as stopStatus from "./stop-status.js";

/** Decisions and waits of all running stops. */
export interface WavePlan {
    readonly decisions: readonly draft.DecisionDraft[];
    readonly waits: readonly draft.StopWait[];
}

/** The part of a stop that lies in one pool. */
interface PoolPart {
    readonly pool: capacity.PoolView;
    /** Instances that could be taken out now, if the budget allows. */
    readonly candidates: readonly capacity.InstanceView[];
    /** Reboots one after the other that the part still needs. */
    readonly rounds: number;
}

/** Starts as many drains as policy and budgets allow, at most `maxDecisions`. */
export function planWaves(
    given: context.PlanContext,
    stops: readonly stopStatus.StopStatus[],
    maxDecisions: number,
): WavePlan {
    const decisions: draft.DecisionDraft[] = [];
    const waits: draft.StopWait[] = [];
    for (const status of stops) {
        const taken = takeOut(given, status, maxDecisions - decisions.length);
        decisions.push(...taken);
        if (taken.length === 0) {
            waits.push(explainWait(given, status, decisions.length >= maxDecisions));
        }
    }
    return { decisions, waits };
}

function takeOut(
    given: context.PlanContext,
    status: stopStatus.StopStatus,
    maxDecisions: number,
): draft.DecisionDraft[] {
    const taken: draft.DecisionDraft[] = [];
    if (status.halted || given.isMembershipStale()) {
        return taken;
    }
    const room = Math.min(maxDecisions, status.maxOut - status.out);
    while (taken.length < room) {
        const next = chooseNext(given, status);
        if (next === undefined) {
            break;
        }
        taken.push(given.startDrain(next, { kind: "stop", stop: status.stop.stop.name }));
        status.taken.add(next.name);
    }
    return taken;
}

/** The pool that needs most rounds goes first, since it decides when the wave ends. */
function chooseNext(given: context.PlanContext, status: stopStatus.StopStatus): capacity.InstanceView | undefined {
    const parts = listParts(given, status).sort((left, right) => right.rounds - left.rounds);
    for (const part of parts) {
        const fitting = part.candidates.filter(one => given.input.policy.mayTakeOut(part.pool, one));
        const best = chooseBest(part.pool, fitting);
        if (best !== undefined) {
            return best;
        }
    }
    return undefined;
}

function listParts(given: context.PlanContext, status: stopStatus.StopStatus): PoolPart[] {
    const remaining = new Set(status.stop.remaining);
    return [...given.pools.values()].map(pool => {
        const covered = pool.instances.filter(one => remaining.has(one.name) && !status.taken.has(one.name));
        const candidates = covered.filter(one => given.isFree(one) && isRebootable(given, one));
        return { pool, candidates, rounds: countRounds(pool, covered.length) };
    });
}

/** Rounds of reboots that the instances need when the pool's whole budget is used. */
export function countRounds(pool: capacity.PoolView, instances: number): number {
    return Math.ceil(instances / Math.max(1, pool.instances.length - pool.required));
}

/** An instance that is absent can't be rebooted; one that only fails can. */
function isRebootable(given: context.PlanContext, instance: capacity.InstanceView): boolean {
    return given.observations.isLive(instance.name, given.now);
}

/**
 * Failing instances first, since they cost no capacity; then from the rack and the zone with most available
 * instances, which keeps the rest spread.
 */
function chooseBest(
    pool: capacity.PoolView,
    candidates: readonly capacity.InstanceView[],
): capacity.InstanceView | undefined {
    let best: capacity.InstanceView | undefined;
    let bestScore = Number.NEGATIVE_INFINITY;
    for (const candidate of candidates) {
        const score = scoreCandidate(pool, candidate);
        if (score > bestScore) {
            best = candidate;
            bestScore = score;
        }
    }
    return best;
}

function scoreCandidate(pool: capacity.PoolView, candidate: capacity.InstanceView): number {
    if (!candidate.available) {
        return Number.POSITIVE_INFINITY;
    }
    const available = pool.instances.filter(one => one.available);
    const inRack = available.filter(one => one.rack === candidate.rack).length;
    const inZone = available.filter(one => one.availabilityZone === candidate.availabilityZone).length;
    return inRack * (pool.instances.length + 1) + inZone;
}

function explainWait(
    given: context.PlanContext,
    status: stopStatus.StopStatus,
    planFull: boolean,
): draft.StopWait {
    const stop = status.stop.stop.name;
    const out = `${status.out} out, ${status.stop.remaining.length} remaining`;
    if (status.halted) {
        const failing = status.failing.join(", ");
        return { stop, reason: draft.WaitReason.halted, detail: `returned instances fail: ${failing}; ${out}` };
    }
    if (given.isMembershipStale()) {
        return { stop, reason: draft.WaitReason.membershipStale, detail: `the membership list is too old; ${out}` };
    }
    if (planFull) {
        return { stop, reason: draft.WaitReason.planFull, detail: `other decisions go first; ${out}` };
    }
    if (status.out > 0 && status.out >= status.maxOut) {
        const reason = status.maxOut === given.input.policy.maxOut
            ? draft.WaitReason.width
            : draft.WaitReason.firstBatch;
        return { stop, reason, detail: `at most ${status.maxOut} at once until they return healthy; ${out}` };
    }
    return explainParts(given, status, out);
}

function explainParts(given: context.PlanContext, status: stopStatus.StopStatus, out: string): draft.StopWait {
    const stop = status.stop.stop.name;
    const blocked = listParts(given, status).filter(part => part.candidates.length > 0).map(part =>
        describe(part.pool)
    );
    if (blocked.length > 0) {
        return { stop, reason: draft.WaitReason.budget, detail: `${blocked.join("; ")}; ${out}` };
    }
    const absent = status.stop.remaining.filter(name =>
        given.state.instances.get(name)?.phase === "active" && !given.observations.isLive(name, given.now)
    );
    return absent.length > 0
        ? { stop, reason: draft.WaitReason.notLive, detail: `not live: ${absent.join(", ")}; ${out}` }
        : { stop, reason: draft.WaitReason.inProgress, detail: out };
}

function describe(pool: capacity.PoolView): string {
    const available = capacity.countAvailable(pool);
    return `pool ${pool.name}: ${available} of ${pool.instances.length} available, ${pool.required} promised`;
}
