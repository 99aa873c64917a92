/**
 * Advances running drains: commits moves, hands stopped instances over for a reboot, records their return, and cancels
 * drains that are no longer needed.
 *
 * An active instance is drained by a decision of the planner (phase draining) until its home releases it (released), at
 * once if it has no home. The planner then commits its move, which makes it active in the other pool, or marks it as
 * stopped for the reboot and records its return, which makes it active again. A drain can be cancelled until the
 * instance has been moved or stopped.
 */
import * as fleetState from "@catkinwharf/fleet-state";
import * as capacity from "./capacity.js";
import * as draft from "./draft.js";
import type * as planContext from "./plan-context.js";

/** Time after which an instance that does not return from its reboot counts as failed, in ms. */
const returnTimeoutMs = 900_000;
/** Addition to `returnTimeoutMs`, in ms, if the platform has confirmed the reboot but the instance is not live. */
const membershipTimeoutMs = 60_000;

/** Next actions for the running drains. */
export interface Progress {
    readonly decisions: readonly draft.DecisionDraft[];
    readonly reboots: readonly draft.RequestedReboot[];
    readonly overdue: readonly draft.OverdueDrain[];
}

interface InstanceDrain {
    readonly name: string;
    readonly instance: fleetState.InstanceState;
    readonly drain: fleetState.DrainState;
}

type PhaseHandler = (
    context: planContext.PlanContext,
    instanceDrain: InstanceDrain,
    shouldCancel: boolean,
) => draft.DecisionDraft | undefined;

const phaseHandlers: Readonly<Record<fleetState.Phase, PhaseHandler>> = {
    [fleetState.Phase.active]: () => undefined,
    [fleetState.Phase.draining]: cancelIfRequired,
    [fleetState.Phase.released]: (context, instanceDrain, shouldCancel) =>
        cancelIfRequired(context, instanceDrain, shouldCancel) ?? finishRelease(instanceDrain),
    [fleetState.Phase.stopped]: finishReboot,
};

/** Decides the next step of every running drain; `halted` names the stops halted because of lost instances. */
export function continueDrains(context: planContext.PlanContext, halted: ReadonlySet<string>): Progress {
    const decisions: draft.DecisionDraft[] = [];
    const reboots: draft.RequestedReboot[] = [];
    const overdue: draft.OverdueDrain[] = [];
    const needed = new Set(context.input.policy.cancelsDrainsOnShortage ? listNeededInstances(context) : []);
    for (const instanceDrain of listDrains(context)) {
        const decision = context.isPending(instanceDrain.name)
            ? undefined
            : phaseHandlers[instanceDrain.instance.phase](
                context,
                instanceDrain,
                needed.has(instanceDrain.name) || isObsolete(context, instanceDrain, halted),
            );
        if (decision !== undefined) {
            decisions.push(decision);
        }
        else if (instanceDrain.instance.phase === fleetState.Phase.stopped) {
            reboots.push({ instance: instanceDrain.name, drain: instanceDrain.drain.id });
        }
        if (isOverdue(context, instanceDrain)) {
            overdue.push(describeOverdue(context, instanceDrain));
        }
    }
    return { decisions, reboots, overdue };
}

function listDrains(context: planContext.PlanContext): InstanceDrain[] {
    const drains: InstanceDrain[] = [];
    for (const [name, instance] of context.state.instances) {
        if (instance.drain !== undefined) {
            drains.push({ name, instance, drain: instance.drain });
        }
    }
    return drains;
}

/** Instances being drained that their pools need again after a loss; a stopped instance can't be recovered this way. */
function listNeededInstances(context: planContext.PlanContext): string[] {
    return [...context.pools.values()].flatMap(pool => {
        const shortage = Math.max(0, pool.required - capacity.countAvailable(pool));
        return pool.instances.filter(instance => canCancelDrain(context, instance)).slice(0, shortage).map(instance =>
            instance.name
        );
    });
}

function canCancelDrain(context: planContext.PlanContext, instance: capacity.InstanceView): boolean {
    const { phase } = instance.state;
    return (phase === fleetState.Phase.draining || phase === fleetState.Phase.released)
        && !context.observations.isDown(instance.name, context.now);
}

/** Whether the drain serves a cancelled or halted stop, or a move to a pool that the configuration no longer names. */
function isObsolete(context: planContext.PlanContext, { drain }: InstanceDrain, halted: ReadonlySet<string>): boolean {
    if (drain.purpose.kind === "move") {
        return !fleetState.hasPool(context.state, drain.purpose.pool);
    }
    const stop = context.state.stops.get(drain.purpose.stop);
    return stop === undefined || stop.cancelled || halted.has(drain.purpose.stop);
}

function cancelIfRequired(
    _context: planContext.PlanContext,
    { name, drain }: InstanceDrain,
    shouldCancel: boolean,
): draft.DecisionDraft | undefined {
    return shouldCancel ? { kind: "drain-cancelled", instance: name, drain: drain.id } : undefined;
}

function finishRelease({ name, drain }: InstanceDrain): draft.DecisionDraft {
    const kind = drain.purpose.kind === "move" ? "move-committed" : "instance-stopped";
    return { kind, instance: name, drain: drain.id };
}

function finishReboot(
    context: planContext.PlanContext,
    { name, drain }: InstanceDrain,
): draft.DecisionDraft | undefined {
    const answer = context.input.reboots.get(drain.id);
    const stoppedMs = context.now - (context.observations.getStoppedSince(name) ?? context.now);
    if (answer?.state === "done" && context.observations.isLive(name, context.now)) {
        // Healthy means returned in time; failures of requests show only later.
        return { kind: "instance-returned", instance: name, drain: drain.id, healthy: true };
    }
    const timeoutMs = answer?.state === "done" ? returnTimeoutMs + membershipTimeoutMs : returnTimeoutMs;
    return stoppedMs >= timeoutMs
        ? { kind: "instance-returned", instance: name, drain: drain.id, healthy: false }
        : undefined;
}

function isOverdue(context: planContext.PlanContext, instanceDrain: InstanceDrain): boolean {
    return instanceDrain.instance.phase === fleetState.Phase.draining
        && context.now - instanceDrain.drain.startedAt > getDrainTimeoutMs(context, instanceDrain.instance.pool);
}

/** The shortest drain timeout among the pool's profiles, in ms. */
function getDrainTimeoutMs(context: planContext.PlanContext, pool: string): number {
    const profiles = context.pools.get(pool)?.profiles ?? [];
    return Math.min(...profiles.map(profile => profile.disruption.drainTimeoutMs));
}

function describeOverdue(
    context: planContext.PlanContext,
    { name, instance, drain }: InstanceDrain,
): draft.OverdueDrain {
    return { instance: name, drain: drain.id, pool: instance.pool, drainingMs: context.now - drain.startedAt };
}
