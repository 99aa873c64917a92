/**
 * Note that refers the operator to the coordinator when the queried entry instance can't know why a stop waits.
 */
import * as schema from "@catkinwharf/schema";

/** States that an entry instance may report for a stop that waits or is halted for a reason it doesn't know. */
const unexplainedStates: ReadonlySet<schema.operator.StopStatus["state"]> = new Set(["running", "waiting"]);

/**
 * Only the coordinator knows why a stop waits or is halted. Undefined if the queried entry instance is the coordinator,
 * or no stop lacks a reason.
 */
export function createNote(
    status: schema.operator.StatusAnswer,
    stops: readonly schema.operator.StopStatus[],
): string | undefined {
    const isUnexplained = stops.some(stop => unexplainedStates.has(stop.state) && stop.waitingFor === "");
    if (!isUnexplained || status.coordinator === status.session) {
        return undefined;
    }
    if (status.coordinator === "") {
        return "note: no entry instance is coordinator now, so that no further instance is drained";
    }
    const entry = status.sessions.find(session => session.session === status.coordinator)?.entry
        ?? status.coordinator;
    return `note: what a stop waits for, and whether it is halted, is known to the coordinator: ask ${entry} with --url`;
}
