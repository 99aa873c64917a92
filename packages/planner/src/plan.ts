/**
 * One plan: what the coordinator decides in one go.
 */
import * as borrowing from "./borrowing.js";
import * as context from "./context.js";
import * as draft from "./draft.js";
import * as moves from "./moves.js";
import * as progress from "./progress.js";
import * as registration from "./registration.js";
import * as stopStatus from "./stop-status.js";
import * as waves from "./waves.js";

export type { PlanInput } from "./context.js";

/** Decisions in one plan. */
export const maxDecisionsPerPlan = 64;

/**
 * Decides moves, waves and registrations. The next plan must name the drafts whose verdict was not read back as
 * `pending`, so that nothing is decided twice.
 */
export function plan(input: context.PlanInput): draft.Plan {
    const configuration = input.state.configuration?.value;
    if (configuration === undefined) {
        return { decisions: [], waits: waitForConfiguration(input), reboots: [], overdue: [] };
    }
    const given = new context.PlanContext(input, configuration);
    const stops = stopStatus.listRunningStops(given);
    const halted = new Set(stops.filter(status => status.halted).map(status => status.stop.stop.name));
    const progressing = progress.continueDrains(given, halted);
    const urgent = [
        ...progressing.decisions,
        ...registration.planRegistrations(given),
    ].slice(0, maxDecisionsPerPlan);
    given.noteDecided(urgent);
    const moved = planMoves(given, stops).slice(0, maxDecisionsPerPlan - urgent.length);
    const wave = waves.planWaves(given, stops, maxDecisionsPerPlan - urgent.length - moved.length);
    return {
        decisions: [...urgent, ...moved, ...wave.decisions],
        waits: wave.waits,
        reboots: progressing.reboots,
        overdue: progressing.overdue,
    };
}

function planMoves(given: context.PlanContext, stops: readonly stopStatus.StopStatus[]): draft.DecisionDraft[] {
    const stopping = new Set(stops.flatMap(status => status.stop.remaining));
    const borrowed = given.input.policy.borrowsSpares && !given.isMembershipStale()
        ? borrowing.planBorrowing(given, stops)
        : [];
    return [...borrowed, ...moves.planMoves(given, stopping)];
}

function waitForConfiguration(input: context.PlanInput): draft.StopWait[] {
    return [...input.state.stops.values()]
        .filter(stop => !stop.cancelled && stop.remaining.length > 0)
        .map(stop => ({
            stop: stop.stop.name,
            reason: draft.WaitReason.configurationMissing,
            detail: "no configuration was published",
        }));
}
