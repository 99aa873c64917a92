/**
 * Chooses the instances to drain next for planned stops, and explains why a stop drains none.
 *
 * The wave of a stop is all its drains and reboots, from the first to the last.
 */
import type * as fleetState from "@catkinwharf/fleet-state";
import * as capacity from "./capacity.js";
import * as draft from "./draft.js";
import type * as planContext from "./plan-context.js";
import * as stopStatus from "./stop-status.js";

/** Decisions for all running stops, and the reasons of those that wait. */
export interface WavePlan {
    readonly decisions: readonly draft.DecisionDraft[];
    readonly waits: readonly draft.StopWait[];
}

/** The part of a stop that concerns one pool. */
interface StopPart {
    readonly pool: capacity.PoolView;
    /** Instances that could be drained now if the availability budget allows it. */
    readonly candidates: readonly capacity.InstanceView[];
    /** Number of instances that the stop has yet to reboot, including those being drained or rebooted. */
    readonly remaining: number;
    /** Number of instances being drained or rebooted for the stop, including the drains that this plan starts. */
    readonly drainsInProgress: number;
    /** Number of sequential rounds of reboots that this part still needs. */
    readonly rounds: number;
}

/** Starts as many drains as policy and budgets allow, at most `maxDecisions`. */
export function planWaves(
    context: planContext.PlanContext,
    stops: readonly stopStatus.StopStatus[],
    maxDecisions: number,
): WavePlan {
    const decisions: draft.DecisionDraft[] = [];
    const waits: draft.StopWait[] = [];
    for (const status of stops) {
        const started = startDrains(context, status, maxDecisions - decisions.length);
        decisions.push(...started);
        if (started.length === 0) {
            waits.push(explainWait(context, status, decisions.length >= maxDecisions));
        }
    }
    return { decisions, waits };
}

function startDrains(
    context: planContext.PlanContext,
    status: stopStatus.StopStatus,
    maxDecisions: number,
): draft.DecisionDraft[] {
    const started: draft.DecisionDraft[] = [];
    if (status.halted || context.isMembershipStale()) {
        return started;
    }
    const maxStarts = Math.min(maxDecisions, context.input.policy.maxOut - status.drainsInProgressBeforePlan);
    while (started.length < maxStarts) {
        const next = chooseNext(context, status);
        if (next === undefined) {
            break;
        }
        started.push(context.startDrain(next, { kind: "stop", stop: status.state.stop.name }));
        status.started.add(next.name);
    }
    return started;
}

/** Prefers the pool that needs most rounds, since it determines when the wave ends. */
function chooseNext(
    context: planContext.PlanContext,
    status: stopStatus.StopStatus,
): capacity.InstanceView | undefined {
    const parts = listParts(context, status);
    const roundsOfSlowestPool = Math.max(0, ...parts.map(part => part.rounds));
    for (const part of parts.filter(part => stageRules[status.stage](part, status))) {
        const work = { remaining: part.remaining, roundsOfSlowestPool };
        const permitted = part.candidates.filter(candidate =>
            context.input.policy.mayDrain(part.pool, candidate, work)
        );
        const best = chooseBest(part.pool, permitted);
        if (best !== undefined) {
            return best;
        }
    }
    return undefined;
}

type StageRule = (part: StopPart, status: stopStatus.StopStatus) => boolean;

/** Whether a stop may drain a further instance of a pool. */
const stageRules: Readonly<Record<stopStatus.Stage, StageRule>> = {
    [stopStatus.Stage.firstBatch]: (part, status) =>
        hasNoDrainInProgress(status) || (capacity.prioritizesRollOutTime(part.pool) && part.drainsInProgress === 0),
    [stopStatus.Stage.careful]: (_part, status) => hasNoDrainInProgress(status),
    [stopStatus.Stage.open]: () => true,
};

function hasNoDrainInProgress(status: stopStatus.StopStatus): boolean {
    return status.drainsInProgressBeforePlan + status.started.size === 0;
}

/** The parts of a stop, ordered by the number of rounds they need, largest first. */
function listParts(context: planContext.PlanContext, status: stopStatus.StopStatus): StopPart[] {
    const remaining = new Set(status.state.remaining);
    return [...context.pools.values()]
        .map(pool => describePart(context, pool, status, remaining))
        .sort((left, right) => right.rounds - left.rounds);
}

function describePart(
    context: planContext.PlanContext,
    pool: capacity.PoolView,
    status: stopStatus.StopStatus,
    remaining: ReadonlySet<string>,
): StopPart {
    const remainingInPool = pool.instances.filter(instance => remaining.has(instance.name));
    const candidates = remainingInPool.filter(instance =>
        context.canStartDrain(instance) && isRebootable(context, instance)
    );
    const hasDrain = (instance: capacity.InstanceView): boolean =>
        status.started.has(instance.name) || context.hasDrainFor(instance.name, status.state.stop.name);
    return {
        pool,
        candidates,
        remaining: remainingInPool.length,
        drainsInProgress: remainingInPool.filter(hasDrain).length,
        rounds: countRounds(pool, remainingInPool.length),
    };
}

/** Rounds of reboots that the instances need if the pool's whole availability budget is used. */
function countRounds(pool: capacity.PoolView, instances: number): number {
    return Math.ceil(instances / Math.max(1, pool.instances.length - pool.required));
}

/** An instance that is not live can't be rebooted; one that is live but fails requests can. */
function isRebootable(context: planContext.PlanContext, instance: capacity.InstanceView): boolean {
    return context.observations.isLive(instance.name, context.now);
}

/**
 * Prefers unavailable instances, since draining them costs no capacity, then instances of the rack and zone with most
 * available instances, so that the remaining ones stay spread.
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

/** The number of available instances in the same rack counts first, then the number in the same zone. */
function scoreCandidate(pool: capacity.PoolView, candidate: capacity.InstanceView): number {
    if (!candidate.available) {
        return Number.POSITIVE_INFINITY;
    }
    const available = pool.instances.filter(instance => instance.available);
    const inSameRack = available.filter(instance => instance.rack === candidate.rack).length;
    const inSameZone = available.filter(instance => instance.availabilityZone === candidate.availabilityZone).length;
    return inSameRack * (pool.instances.length + 1) + inSameZone;
}

function explainWait(
    context: planContext.PlanContext,
    status: stopStatus.StopStatus,
    planFull: boolean,
): draft.StopWait {
    const stop = status.state.stop.name;
    const summary = `${status.drainsInProgressBeforePlan} out, ${status.state.remaining.length} remaining`;
    if (status.halted) {
        const failing = status.lostUnreplaced.join(", ");
        return { stop, reason: draft.WaitReason.halted, detail: `returned instances fail: ${failing}; ${summary}` };
    }
    if (context.isMembershipStale()) {
        return { stop, reason: draft.WaitReason.membershipStale, detail: `the membership list is too old; ${summary}` };
    }
    if (planFull) {
        return { stop, reason: draft.WaitReason.planFull, detail: `other decisions go first; ${summary}` };
    }
    if (status.drainsInProgressBeforePlan >= context.input.policy.maxOut) {
        return { stop, reason: draft.WaitReason.width, detail: `no more at once by policy; ${summary}` };
    }
    if (status.drainsInProgressBeforePlan > 0 && status.stage !== stopStatus.Stage.open) {
        return { stop, reason: draft.WaitReason.firstBatch, detail: `the ${status.stage} stage; ${summary}` };
    }
    return explainBlockedPools(context, status, summary);
}

function explainBlockedPools(
    context: planContext.PlanContext,
    status: stopStatus.StopStatus,
    summary: string,
): draft.StopWait {
    const stop = status.state.stop.name;
    const blockedPools = listParts(context, status).filter(part => part.candidates.length > 0).map(part =>
        describePool(part.pool)
    );
    if (blockedPools.length > 0) {
        return { stop, reason: draft.WaitReason.budget, detail: `${blockedPools.join("; ")}; ${summary}` };
    }
    return { stop, ...explainNoCandidates(context, status, summary) };
}

/** Explains why none of the remaining instances is a candidate. */
function explainNoCandidates(
    context: planContext.PlanContext,
    status: stopStatus.StopStatus,
    summary: string,
): Pick<draft.StopWait, "reason" | "detail"> {
    const active = status.state.remaining
        .map(name => context.state.instances.get(name))
        .filter(instance => instance !== undefined)
        .filter(instance => instance.phase === "active");
    const notLive = listNames(
        active.filter(instance => !context.observations.isLive(instance.instance.name, context.now)),
    );
    if (notLive !== "") {
        return { reason: draft.WaitReason.notLive, detail: `not live: ${notLive}; ${summary}` };
    }
    const withUnreachableHome = listNames(active.filter(instance => !context.isHomeReachable(instance)));
    return withUnreachableHome === ""
        ? { reason: draft.WaitReason.inProgress, detail: summary }
        : { reason: draft.WaitReason.homeUnreachable, detail: `homes don't renew: ${withUnreachableHome}; ${summary}` };
}

function listNames(instances: readonly fleetState.InstanceState[]): string {
    return instances.map(instance => instance.instance.name).join(", ");
}

/** For operators; `promised` is the number of instances that must stay available. */
function describePool(pool: capacity.PoolView): string {
    const available = capacity.countAvailable(pool);
    return `pool ${pool.name}: ${available} of ${pool.instances.length} available, ${pool.required} promised`;
}
