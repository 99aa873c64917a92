/**
 * Drains that go on: commits of moves, hand-over to the reboot, returns, and drains that are no longer wanted.
 */
import * as fleetState from "@catkinwharf/fleet-state";
import * as capacity from "./capacity.js";
import type * as context from "./context.js";
import * as draft from "./draft.js";

/** Time after which an instance that does not come back from its reboot is given up, in ms. */
const returnTimeoutMs = 900_000;
/** Time after a finished reboot within which the membership list has to show the instance as live, in ms. */
const listTimeoutMs = 60_000;

/** What becomes of the drains under way. */
export interface Progress {
    readonly decisions: readonly draft.DecisionDraft[];
    readonly reboots: readonly draft.PendingReboot[];
    readonly overdue: readonly draft.OverdueDrain[];
}

interface Draining {
    readonly name: string;
    readonly instance: fleetState.InstanceState;
    readonly drain: fleetState.DrainState;
}

type Step = (given: context.PlanContext, draining: Draining, unwanted: boolean) => draft.DecisionDraft | undefined;

const steps: Readonly<Record<fleetState.Phase, Step>> = {
    [fleetState.Phase.active]: () => undefined,
    [fleetState.Phase.draining]: cancelUnwanted,
    [fleetState.Phase.released]: (given, draining, unwanted) =>
        cancelUnwanted(given, draining, unwanted) ?? finishRelease(draining),
    [fleetState.Phase.stopped]: concludeReboot,
};

/** Carries on all drains; `halted` names the stops whose returned instances fail. */
export function continueDrains(given: context.PlanContext, halted: ReadonlySet<string>): Progress {
    const decisions: draft.DecisionDraft[] = [];
    const reboots: draft.PendingReboot[] = [];
    const overdue: draft.OverdueDrain[] = [];
    const missed = new Set(given.input.policy.restoresPromise ? listMissed(given) : []);
    for (const draining of listDraining(given)) {
        const decision = given.isPending(draining.name)
            ? undefined
            : steps[draining.instance.phase](
                given,
                draining,
                missed.has(draining.name) || isUnwanted(given, draining, halted),
            );
        if (decision !== undefined) {
            decisions.push(decision);
        }
        else if (draining.instance.phase === fleetState.Phase.stopped) {
            reboots.push({ instance: draining.name, drain: draining.drain.id });
        }
        if (isOverdue(given, draining)) {
            overdue.push(describeOverdue(given, draining));
        }
    }
    return { decisions, reboots, overdue };
}

function listDraining(given: context.PlanContext): Draining[] {
    const listed: Draining[] = [];
    for (const [name, instance] of given.state.instances) {
        if (instance.drain !== undefined) {
            listed.push({ name, instance, drain: instance.drain });
        }
    }
    return listed;
}

/** Instances on their way out that their pools need back after a loss; stopped ones can't be called back. */
function listMissed(given: context.PlanContext): string[] {
    return [...given.pools.values()].flatMap(pool => {
        const missing = Math.max(0, pool.required - capacity.countAvailable(pool));
        return pool.instances.filter(one => canComeBack(given, one)).slice(0, missing).map(one => one.name);
    });
}

function canComeBack(given: context.PlanContext, instance: capacity.InstanceView): boolean {
    const { phase } = instance.state;
    return (phase === fleetState.Phase.draining || phase === fleetState.Phase.released)
        && !given.observations.isLost(instance.name, given.now);
}

/** A drain for a cancelled or halted stop, or for a move to a pool that the configuration no longer names. */
function isUnwanted(given: context.PlanContext, { drain }: Draining, halted: ReadonlySet<string>): boolean {
    if (drain.purpose.kind === "move") {
        return !fleetState.hasPool(given.state, drain.purpose.pool);
    }
    const stop = given.state.stops.get(drain.purpose.stop);
    return stop === undefined || stop.cancelled || halted.has(drain.purpose.stop);
}

function cancelUnwanted(
    _given: context.PlanContext,
    { name, drain }: Draining,
    unwanted: boolean,
): draft.DecisionDraft | undefined {
    return unwanted ? { kind: "drain-cancelled", instance: name, drain: drain.id } : undefined;
}

function finishRelease({ name, drain }: Draining): draft.DecisionDraft {
    const kind = drain.purpose.kind === "move" ? "move-committed" : "instance-stopped";
    return { kind, instance: name, drain: drain.id };
}

function concludeReboot(given: context.PlanContext, { name, drain }: Draining): draft.DecisionDraft | undefined {
    const answer = given.input.reboots.get(drain.id);
    const stoppedMs = given.now - (given.observations.getStoppedSince(name) ?? given.now);
    if (answer?.state === "done" && given.observations.isLive(name, given.now)) {
        return { kind: "instance-returned", instance: name, drain: drain.id, healthy: true };
    }
    const timeoutMs = answer?.state === "done" ? returnTimeoutMs + listTimeoutMs : returnTimeoutMs;
    return stoppedMs >= timeoutMs
        ? { kind: "instance-returned", instance: name, drain: drain.id, healthy: false }
        : undefined;
}

function isOverdue(given: context.PlanContext, draining: Draining): boolean {
    return draining.instance.phase === fleetState.Phase.draining
        && given.now - draining.drain.startedAt > getDrainTimeout(given, draining.instance.pool);
}

/** The shortest among the pool's profiles, in ms. */
function getDrainTimeout(given: context.PlanContext, pool: string): number {
    const profiles = given.pools.get(pool)?.profiles ?? [];
    return Math.min(...profiles.map(profile => profile.disruption.drainTimeoutMs));
}

function describeOverdue(given: context.PlanContext, { name, instance, drain }: Draining): draft.OverdueDrain {
    return { instance: name, drain: drain.id, pool: instance.pool, drainingMs: given.now - drain.startedAt };
}
