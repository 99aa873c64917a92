/**
 * Tells the operator where to look when the asked entry instance can't know why a stop waits.
 */
import * as schema from "@catkinwharf/schema";

/** States in which the coordinator may know a reason to wait or halt. */
const unfinishedStates: ReadonlySet<schema.operator.StopStatus["state"]> = new Set(["running", "waiting"]);

/** Only the coordinator knows why a stop waits or is halted; undefined if the asked entry instance holds the lease. */
export function describeCoordinator(
    status: schema.operator.StatusAnswer,
    stops: readonly schema.operator.StopStatus[],
): string | undefined {
    const isUnexplained = stops.some(stop => unfinishedStates.has(stop.state) && stop.waitingFor === "");
    if (!isUnexplained || status.coordinator === status.session) {
        return undefined;
    }
    if (status.coordinator === "") {
        return "note: no entry instance is coordinator now, so that no further instance is drained";
    }
    const holder = status.sessions.find(session => session.session === status.coordinator)?.entry ?? status.coordinator;
    return `note: what a stop waits for, and whether it is halted, is known to the coordinator: ask ${holder} with --url`;
}
