/**
 * Which instances are taken out next for the planned stops, and why none is where none is.
 */
import type * as fleetState from "@catkinwharf/fleet-state";
import * as capacity from "./capacity.js";
import type * as context from "./context.js";
import * as draft from "./draft.js";
import * as stopStatus from "./stop-status.js";

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
    /** Instances that the stop still covers, those under way included. */
    readonly remaining: number;
    /** Instances that are out for the stop. */
    readonly out: number;
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
    const room = Math.min(maxDecisions, given.input.policy.maxOut - status.out);
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
    const parts = listParts(given, status);
    const criticalRounds = Math.max(0, ...parts.map(part => part.rounds));
    for (const part of parts.filter(one => stageRules[status.stage](one, status))) {
        const pace = { remaining: part.remaining, criticalRounds };
        const fitting = part.candidates.filter(one => given.input.policy.mayTakeOut(part.pool, one, pace));
        const best = chooseBest(part.pool, fitting);
        if (best !== undefined) {
            return best;
        }
    }
    return undefined;
}

type StageRule = (part: PoolPart, status: stopStatus.StopStatus) => boolean;

/** Whether a stop may take a further instance from a pool. */
const stageRules: Readonly<Record<stopStatus.Stage, StageRule>> = {
    [stopStatus.Stage.firstBatch]: (part, status) =>
        isNoneOut(status) || (capacity.prefersRollOut(part.pool) && part.out === 0),
    [stopStatus.Stage.careful]: (_part, status) => isNoneOut(status),
    [stopStatus.Stage.open]: () => true,
};

function isNoneOut(status: stopStatus.StopStatus): boolean {
    return status.out + status.taken.size === 0;
}

/** The parts of a stop, those that need most rounds first. */
function listParts(given: context.PlanContext, status: stopStatus.StopStatus): PoolPart[] {
    const remaining = new Set(status.stop.remaining);
    return [...given.pools.values()]
        .map(pool => describePart(given, pool, status, remaining))
        .sort((left, right) => right.rounds - left.rounds);
}

function describePart(
    given: context.PlanContext,
    pool: capacity.PoolView,
    status: stopStatus.StopStatus,
    remaining: ReadonlySet<string>,
): PoolPart {
    const covered = pool.instances.filter(one => remaining.has(one.name));
    const candidates = covered.filter(one => given.isFree(one) && isRebootable(given, one));
    const isOut = (one: capacity.InstanceView): boolean =>
        status.taken.has(one.name) || given.isOutFor(one.name, status.stop.stop.name);
    return {
        pool,
        candidates,
        remaining: covered.length,
        out: covered.filter(isOut).length,
        rounds: countRounds(pool, covered.length),
    };
}

/** Rounds of reboots that the instances need when the pool's whole budget is used. */
function countRounds(pool: capacity.PoolView, instances: number): number {
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
    if (status.out >= given.input.policy.maxOut) {
        return { stop, reason: draft.WaitReason.width, detail: `no more at once by policy; ${out}` };
    }
    if (status.out > 0 && status.stage !== stopStatus.Stage.open) {
        return { stop, reason: draft.WaitReason.firstBatch, detail: `the ${status.stage} stage; ${out}` };
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
    return { stop, ...explainLeftOut(given, status, out) };
}

/** Why none of the remaining instances is a candidate. */
function explainLeftOut(
    given: context.PlanContext,
    status: stopStatus.StopStatus,
    out: string,
): Pick<draft.StopWait, "reason" | "detail"> {
    const active = status.stop.remaining
        .map(name => given.state.instances.get(name))
        .filter(instance => instance !== undefined)
        .filter(instance => instance.phase === "active");
    const absent = listNames(active.filter(one => !given.observations.isLive(one.instance.name, given.now)));
    if (absent !== "") {
        return { reason: draft.WaitReason.notLive, detail: `not live: ${absent}; ${out}` };
    }
    const unheard = listNames(active.filter(one => !given.isHomeReachable(one)));
    return unheard === ""
        ? { reason: draft.WaitReason.inProgress, detail: out }
        : { reason: draft.WaitReason.homeUnreachable, detail: `homes don't renew: ${unheard}; ${out}` };
}

function listNames(instances: readonly fleetState.InstanceState[]): string {
    return instances.map(one => one.instance.name).join(", ");
}

function describe(pool: capacity.PoolView): string {
    const available = capacity.countAvailable(pool);
    return `pool ${pool.name}: ${available} of ${pool.instances.length} available, ${pool.required} promised`;
}
