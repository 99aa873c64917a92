/**
 * Reads the fleet state directly from the log of the platform stand-in, independently of the offsets that the entry
 * instances have applied.
 */
import * as fleetState from "@catkinwharf/fleet-state";
import * as schema from "@catkinwharf/schema";
import * as testUtils from "@catkinwharf/test-utils";

/** A log entry with the result of folding it. */
export interface FoldedRecord {
    readonly entry: schema.platform.LogEntry;
    readonly result: fleetState.ApplyResult;
}

/** Reads and folds the whole log; the result of each entry includes the fleet state after it. */
export async function readFoldedRecords(running: testUtils.RunningDeployment): Promise<readonly FoldedRecord[]> {
    return foldRecords(await testUtils.readStream(running.platform, "fleet"));
}

export function foldRecords(entries: readonly schema.platform.LogEntry[]): readonly FoldedRecord[] {
    let state = fleetState.emptyFleetState;
    return entries.map(entry => {
        const result = fleetState.applyEntry(state, entry);
        state = result.state;
        return { entry, result };
    });
}

/** Interval in ms between reads of the log. */
const pollIntervalMs = 50;

/** Waits until the fleet state of the log satisfies a condition; rejects after `timeoutMs`. */
export async function waitForFleetState(
    running: testUtils.RunningDeployment,
    isReached: (state: fleetState.FleetState) => boolean,
    timeoutMs: number,
): Promise<fleetState.FleetState> {
    const timeoutAt = performance.now() + timeoutMs;
    for (;;) {
        const state = (await readFoldedRecords(running)).at(-1)?.result.state;
        if (state !== undefined && isReached(state)) {
            return state;
        }
        if (performance.now() > timeoutAt) {
            const summary = state === undefined
                ? {}
                : { instances: [...state.instances], sessions: [...state.sessions] };
            throw new Error(
                `timed out waiting for fleet state ${isReached.toString()}; last: ${JSON.stringify(summary)}`,
            );
        }
        await new Promise(resolve => setTimeout(resolve, pollIntervalMs));
    }
}

/** Finds the entry instance whose session is the instance's home. */
export function findHomeEntry(state: fleetState.FleetState, instance: string): string | undefined {
    const home = state.instances.get(instance)?.home;
    return home === undefined ? undefined : state.sessions.get(home)?.entry;
}

/** Finds the open session of an entry instance. */
export function findSession(state: fleetState.FleetState, entry: string): string | undefined {
    return [...state.sessions.values()].find(session => session.entry === entry)?.session;
}

/** Lists the records that a session appended after it was closed and that were applied nevertheless. */
export async function listRecordsAppliedAfterClose(
    running: testUtils.RunningDeployment,
    session: string,
): Promise<readonly FoldedRecord[]> {
    let wasOpened = false;
    return (await readFoldedRecords(running)).filter(({ result: { record, state, verdict } }) => {
        const isOpen = state.sessions.has(session);
        wasOpened ||= isOpen;
        const isClosingRecord = record?.kind === "session-closed" && record.session === session;
        return wasOpened && !isOpen && !isClosingRecord && record?.author === session && verdict.applied;
    });
}
