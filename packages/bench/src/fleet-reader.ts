/**
 * Reads the fleet state straight from the platform stand-in, whatever the entry instances have read of it.
 */
import * as fleetState from "@catkinwharf/fleet-state";
import * as schema from "@catkinwharf/schema";
import * as testUtils from "@catkinwharf/test-utils";

/** A record of the log with what the fold made of it. */
export interface JudgedRecord {
    readonly entry: schema.platform.LogEntry;
    readonly application: fleetState.Application;
}

/** Folds the whole log; the state after each record stands in its application. */
export async function readJudgedRecords(running: testUtils.RunningDeployment): Promise<readonly JudgedRecord[]> {
    return judgeRecords(await testUtils.readStream(running.platform, "fleet"));
}

export function judgeRecords(entries: readonly schema.platform.LogEntry[]): readonly JudgedRecord[] {
    let state = fleetState.emptyFleetState;
    return entries.map(entry => {
        const application = fleetState.applyEntry(state, entry);
        state = application.state;
        return { entry, application };
    });
}

/** Time in ms between looks. */
const lookMs = 50;

/** Waits until the log's state satisfies a condition; rejects after `limitMs`. */
export async function waitForFleet(
    running: testUtils.RunningDeployment,
    isReached: (state: fleetState.FleetState) => boolean,
    limitMs: number,
): Promise<fleetState.FleetState> {
    const end = performance.now() + limitMs;
    for (;;) {
        const state = (await readJudgedRecords(running)).at(-1)?.application.state;
        if (state !== undefined && isReached(state)) {
            return state;
        }
        if (performance.now() > end) {
            const shown = state === undefined ? {} : { instances: [...state.instances], sessions: [...state.sessions] };
            throw new Error(`fleet state not reached: ${isReached.toString()}: ${JSON.stringify(shown)}`);
        }
        await new Promise(resolve => setTimeout(resolve, lookMs));
    }
}

/** Entry instance whose session is the instance's home. */
export function readHomeEntry(state: fleetState.FleetState, instance: string): string | undefined {
    const home = state.instances.get(instance)?.home;
    return home === undefined ? undefined : state.sessions.get(home)?.entry;
}

/** Session of an entry instance, if one is open. */
export function findSession(state: fleetState.FleetState, entry: string): string | undefined {
    return [...state.sessions.values()].find(session => session.entry === entry)?.session;
}

/** Records that a session appended after its end and that had an effect all the same. */
export async function listLateEffects(
    running: testUtils.RunningDeployment,
    session: string,
): Promise<readonly JudgedRecord[]> {
    let hasOpened = false;
    return (await readJudgedRecords(running)).filter(({ application: { record, state, verdict } }) => {
        const isOpen = state.sessions.has(session);
        hasOpened ||= isOpen;
        const isClosing = record?.kind === "session-closed" && record.session === session;
        return hasOpened && !isOpen && !isClosing && record?.author === session && verdict.applied;
    });
}
