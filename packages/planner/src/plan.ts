/**
 * Creates one plan: all decisions that the coordinator makes at one time.
 */
import * as borrowing from "./borrowing.js";
import * as draft from "./draft.js";
import * as moves from "./moves.js";
import * as planContext from "./plan-context.js";
import * as progress from "./progress.js";
import * as registration from "./registration.js";
import * as stopStatus from "./stop-status.js";
import * as waves from "./waves.js";

export type { PlanInput } from "./plan-context.js";

/** Maximum number of decisions in one plan, all of which the coordinator appends to the log at the same time. */
export const maxDecisionsPerPlan = 64;

/**
 * Decides registrations, moves and drains. Drafts whose outcome in the log (applied or ignored) is not known yet
 * must be passed to the next plan as `pending`, so that nothing is decided twice.
 */
export function plan(input: planContext.PlanInput): draft.Plan {
    const configuration = input.state.configuration?.value;
    if (configuration === undefined) {
        return { decisions: [], waits: listWaitsWithoutConfiguration(input), reboots: [], overdue: [] };
    }
    const context = new planContext.PlanContext(input, configuration);
    const stops = stopStatus.listRunningStops(context);
    const halted = new Set(stops.filter(status => status.halted).map(status => status.state.stop.name));
    const drains = progress.continueDrains(context, halted);
    // Steps of running drains and registrations come first, so that the limit defers moves and new drains.
    const firstDecisions = [
        ...drains.decisions,
        ...registration.planRegistrations(context),
    ].slice(0, maxDecisionsPerPlan);
    context.markDecided(firstDecisions);
    const moveDecisions = planMoves(context, stops).slice(0, maxDecisionsPerPlan - firstDecisions.length);
    const wave = waves.planWaves(context, stops, maxDecisionsPerPlan - firstDecisions.length - moveDecisions.length);
    return {
        decisions: [...firstDecisions, ...moveDecisions, ...wave.decisions],
        waits: wave.waits,
        reboots: drains.reboots,
        overdue: drains.overdue,
    };
}

function planMoves(context: planContext.PlanContext, stops: readonly stopStatus.StopStatus[]): draft.DecisionDraft[] {
    const remainingOfStops = new Set(stops.flatMap(status => status.state.remaining));
    const borrowed = context.input.policy.borrowsSpares && !context.isMembershipStale()
        ? borrowing.planBorrowing(context, stops)
        : [];
    return [...borrowed, ...moves.planMoves(context, remainingOfStops)];
}

function listWaitsWithoutConfiguration(input: planContext.PlanInput): draft.StopWait[] {
    return [...input.state.stops.values()]
        .filter(stop => !stop.cancelled && stop.remaining.length > 0)
        .map(stop => ({
            stop: stop.stop.name,
            reason: draft.WaitReason.configurationMissing,
            detail: "no configuration was published",
        }));
}
