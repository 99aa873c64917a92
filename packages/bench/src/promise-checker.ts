/**
 * Checks the brief's promises from what callers were told, what backend servers ran, and what the log holds.
 */
import * as fleetState from "@catkinwharf/fleet-state";
import * as schema from "@catkinwharf/schema";
import * as testUtils from "@catkinwharf/test-utils";
import * as types from "@catkinwharf/types";
import * as callRecord from "./call-record.js";
import * as homeChecker from "./home-checker.js";

/** A promise that did not hold. */
export interface Violation {
    readonly promise: string;
    readonly detail: string;
    /** Wall-clock time in ms since 1970. */
    readonly at: number;
}

/** Everything that was seen in a run. */
export interface Evidence {
    readonly calls: readonly callRecord.Call[];
    readonly executions: readonly testUtils.Execution[];
    readonly fleetEntries: readonly schema.platform.LogEntry[];
    /** Configuration versions in the order in which each entry instance showed them. */
    readonly versions: ReadonlyMap<string, readonly number[]>;
    /** Entry instance of each source IP number; empty if the paths lead through the fault proxy. */
    readonly sources: ReadonlyMap<string, string>;
    /** Every cut of an availability zone, oldest first. */
    readonly zoneCuts: readonly testUtils.ZoneCut[];
}

/** Time in ms after the start of a drain from which no new work may arrive. */
const leavingLimitMs = 5_000;

/** All violations, by promise. */
export function checkPromises(evidence: Evidence): readonly Violation[] {
    return [
        ...findDoubledRuns(evidence),
        ...findRunsToldNotRun(evidence),
        ...findMismatchedAnswers(evidence),
        ...findCutRequests(evidence),
        ...findWrongPlacements(evidence),
        ...homeChecker.findForeignWork(evidence.executions, evidence.fleetEntries, evidence.sources),
        ...findRevertedVersions(evidence),
    ];
}

function findDoubledRuns(evidence: Evidence): Violation[] {
    const runs = groupBy(evidence.executions.filter(execution => execution.key !== undefined), run => run.key ?? "");
    return [...runs.values()].filter(group => group.length > 1).map(group => ({
        promise: "at most once",
        detail: `key ${group[0]?.key} ran ${group.length} times, on ${group.map(run => run.instance).join(", ")}`,
        at: group[1]?.start ?? 0,
    }));
}

/** A request that ran before its caller was told `not-run`, with nothing else told before. */
function findRunsToldNotRun(evidence: Evidence): Violation[] {
    const runs = groupBy(evidence.executions, run => run.path);
    return evidence.calls.flatMap(call => {
        const denied = lastDenial(call);
        const ran = (runs.get(call.path) ?? []).find(run => denied !== undefined && run.start < denied.endedAt);
        return ran === undefined ? [] : [{
            promise: "not run means not run",
            detail: `call ${call.id} ran on ${ran.instance} and was told not-run ${denied?.reason}`,
            at: denied?.endedAt ?? 0,
        }];
    });
}

/** The newest `not-run` among the attempts before any other outcome. */
function lastDenial(call: callRecord.Call): callRecord.Attempt | undefined {
    const end = call.attempts.findIndex(attempt => attempt.outcome !== types.Outcome.notRun);
    const denials = end === -1 ? call.attempts : call.attempts.slice(0, end);
    return denials[denials.length - 1];
}

function findMismatchedAnswers(evidence: Evidence): Violation[] {
    return evidence.calls.filter(call => call.attempts.some(attempt => !attempt.matched)).map(call => ({
        promise: "the answer to the caller's own request",
        detail: `call ${call.id} got another answer`,
        at: callRecord.readFinal(call)?.endedAt ?? 0,
    }));
}

/** Requests that a planned reboot ended. */
function findCutRequests(evidence: Evidence): Violation[] {
    return evidence.executions.filter(run => run.killed === true).map(run => ({
        promise: "a planned stop cuts off no request",
        detail: `${run.path} was cut on ${run.instance}`,
        at: run.start,
    }));
}

/** An instance's place from a time on. */
interface Placement {
    readonly from: number;
    readonly pool: string;
    readonly leaving: boolean;
    readonly availabilityZone: string;
}

function findWrongPlacements(evidence: Evidence): Violation[] {
    const services = new Map<string, string>();
    const placements = readPlacements(evidence.fleetEntries, services);
    return evidence.executions.flatMap(run => {
        const history = placements.get(run.instance) ?? [];
        const place = history.filter(candidate => candidate.from <= run.start).at(-1);
        const pool = services.get(run.service ?? "");
        if (place === undefined || pool === undefined) {
            return [];
        }
        if (place.pool !== pool) {
            return [createPlacementViolation("one pool at any moment", run, `while it belonged to ${place.pool}`)];
        }
        return place.leaving && run.start > computeLeavingLimit(place, evidence.zoneCuts)
            ? [createPlacementViolation("no new work to a leaving server", run, "after its drain began")]
            : [];
    });
}

/**
 * Time from which no new work may arrive. A home in a zone that was cut off before this time could not be told; it has
 * as long again from the end of the cut. A cut that began later excuses nothing.
 */
function computeLeavingLimit(place: Placement, zoneCuts: readonly testUtils.ZoneCut[]): number {
    let limit = place.from + leavingLimitMs;
    for (const cut of zoneCuts.filter(one => one.availabilityZone === place.availabilityZone)) {
        const until = cut.until ?? Number.POSITIVE_INFINITY;
        if (cut.from < limit && until > place.from) {
            limit = Math.max(limit, until + leavingLimitMs);
        }
    }
    return limit;
}

function createPlacementViolation(promise: string, run: testUtils.Execution, detail: string): Violation {
    return { promise, detail: `${run.path} of ${run.service} started on ${run.instance} ${detail}`, at: run.start };
}

/** Folds the log and notes each change of an instance's pool or phase, with the platform's time. */
function readPlacements(
    entries: readonly schema.platform.LogEntry[],
    services: Map<string, string>,
): ReadonlyMap<string, readonly Placement[]> {
    const placements = new Map<string, Placement[]>();
    let state = fleetState.emptyFleetState;
    for (const entry of entries) {
        const before = state.instances;
        state = fleetState.applyEntry(state, entry).state;
        if (state.instances !== before) {
            notePlacements(state, entry.appendedAt, placements);
        }
        for (const service of state.configuration?.value.services ?? []) {
            services.set(service.name, service.pool);
        }
    }
    return placements;
}

function notePlacements(state: fleetState.FleetState, at: number, placements: Map<string, Placement[]>): void {
    for (const [name, instance] of state.instances) {
        const history = placements.get(name) ?? [];
        const leaving = instance.phase !== fleetState.Phase.active;
        const last = history.at(-1);
        if (last === undefined || last.pool !== instance.pool || last.leaving !== leaving) {
            const { availabilityZone } = instance.instance;
            history.push({ from: at, pool: instance.pool, leaving, availabilityZone });
            placements.set(name, history);
        }
    }
}

function findRevertedVersions(evidence: Evidence): Violation[] {
    return [...evidence.versions].flatMap(([entry, versions]) =>
        versions.flatMap((version, index) =>
            index > 0 && version < (versions[index - 1] ?? 0)
                ? [{
                    promise: "a configuration never reverts",
                    detail: `${entry} went from ${versions[index - 1]} to ${version}`,
                    at: 0,
                }]
                : []
        )
    );
}

function groupBy<Element>(
    elements: readonly Element[],
    readKey: (element: Element) => string,
): ReadonlyMap<string, readonly Element[]> {
    const groups = new Map<string, Element[]>();
    for (const element of elements) {
        const key = readKey(element);
        groups.set(key, [...groups.get(key) ?? [], element]);
    }
    return groups;
}
