/**
 * Checks the service guarantees against the responses to callers, the executions on backend servers, and the log.
 */
import * as fleetState from "@catkinwharf/fleet-state";
import * as schema from "@catkinwharf/schema";
import * as testUtils from "@catkinwharf/test-utils";
import * as types from "@catkinwharf/types";
import * as callRecord from "./call-record.js";
import * as homeChecker from "./home-checker.js";

/** A violation of a guarantee. */
export interface Violation {
    /** Name of the guarantee. */
    readonly promise: string;
    readonly detail: string;
    /** Time in ms since the Unix epoch; 0 if it is not known. */
    readonly at: number;
}

/** Everything that was observed in a run. */
export interface Evidence {
    readonly calls: readonly callRecord.Call[];
    readonly executions: readonly testUtils.Execution[];
    readonly fleetEntries: readonly schema.platform.LogEntry[];
    /** Configuration versions of each entry instance, in the order in which they were read. */
    readonly versions: ReadonlyMap<string, readonly number[]>;
    /** Names of entry instances by source IP address; empty if requests pass through the fault proxy. */
    readonly sources: ReadonlyMap<string, string>;
    /** All network partitions of availability zones, oldest first. */
    readonly zoneCuts: readonly testUtils.ZoneCut[];
}

/** Time in ms after the start of a drain during which requests may still start on the backend server. */
const drainGraceMs = 5_000;

/** Finds all violations, grouped by guarantee. */
export function checkGuarantees(evidence: Evidence): readonly Violation[] {
    return [
        ...findDuplicateRuns(evidence),
        ...findFalseNotRun(evidence),
        ...findMismatchedAnswers(evidence),
        ...findInterruptedRequests(evidence),
        ...findWrongPlacements(evidence),
        ...homeChecker.findRequestsOutsideHome(evidence.executions, evidence.fleetEntries, evidence.sources),
        ...findRevertedVersions(evidence),
    ];
}

function findDuplicateRuns(evidence: Evidence): Violation[] {
    const runs = groupBy(evidence.executions.filter(execution => execution.key !== undefined), run => run.key ?? "");
    return [...runs.values()].filter(group => group.length > 1).map(group => ({
        promise: "at most once",
        detail: `key ${group[0]?.key} ran ${group.length} times, on ${group.map(run => run.instance).join(", ")}`,
        at: group[1]?.start ?? 0,
    }));
}

/** Finds calls that had started to run when their caller was told `not-run`, with no other outcome before that. */
function findFalseNotRun(evidence: Evidence): Violation[] {
    const runs = groupBy(evidence.executions, run => run.path);
    return evidence.calls.flatMap(call => {
        const lastNotRun = findLastNotRun(call);
        const ran = (runs.get(call.path) ?? []).find(run => lastNotRun !== undefined && run.start < lastNotRun.endedAt);
        return ran === undefined ? [] : [{
            promise: "not run means not run",
            detail: `call ${call.id} ran on ${ran.instance} and was told not-run ${lastNotRun?.reason}`,
            at: lastNotRun?.endedAt ?? 0,
        }];
    });
}

/** Finds the last of the leading attempts that were told `not-run`. */
function findLastNotRun(call: callRecord.Call): callRecord.Attempt | undefined {
    const end = call.attempts.findIndex(attempt => attempt.outcome !== types.Outcome.notRun);
    const notRunAttempts = end === -1 ? call.attempts : call.attempts.slice(0, end);
    return notRunAttempts[notRunAttempts.length - 1];
}

function findMismatchedAnswers(evidence: Evidence): Violation[] {
    return evidence.calls.filter(call => call.attempts.some(attempt => !attempt.matched)).map(call => ({
        promise: "the answer to the caller's own request",
        detail: `call ${call.id} got another answer`,
        at: callRecord.getLastAttempt(call)?.endedAt ?? 0,
    }));
}

/** Finds requests that a planned reboot interrupted. */
function findInterruptedRequests(evidence: Evidence): Violation[] {
    return evidence.executions.filter(run => run.killed === true).map(run => ({
        promise: "a planned stop cuts off no request",
        detail: `${run.path} was cut on ${run.instance}`,
        at: run.start,
    }));
}

/** Pool and phase of an instance from a time until its next placement. */
interface Placement {
    readonly from: number;
    readonly pool: string;
    /** Whether the instance is draining or stopped. */
    readonly inactive: boolean;
    readonly availabilityZone: string;
}

function findWrongPlacements(evidence: Evidence): Violation[] {
    const services = new Map<string, string>();
    const placements = buildPlacements(evidence.fleetEntries, services);
    return evidence.executions.flatMap(run => {
        const history = placements.get(run.instance) ?? [];
        const placement = history.filter(candidate => candidate.from <= run.start).at(-1);
        const pool = services.get(run.service ?? "");
        if (placement === undefined || pool === undefined) {
            return [];
        }
        if (placement.pool !== pool) {
            return [createPlacementViolation("one pool at any moment", run, `while it belonged to ${placement.pool}`)];
        }
        return placement.inactive && run.start > computeDrainLimit(placement, evidence.zoneCuts)
            ? [createPlacementViolation("no new work to a leaving server", run, "after its drain began")]
            : [];
    });
}

/**
 * Computes the time after which no request may start on a draining backend server. If the home's availability zone was
 * partitioned before this time, the home could not learn of the drain and has the same grace time again from the end of
 * the partition. A partition that began later does not extend the time.
 */
function computeDrainLimit(placement: Placement, zoneCuts: readonly testUtils.ZoneCut[]): number {
    let limit = placement.from + drainGraceMs;
    for (const cut of zoneCuts.filter(zoneCut => zoneCut.availabilityZone === placement.availabilityZone)) {
        const until = cut.until ?? Number.POSITIVE_INFINITY;
        if (cut.from < limit && until > placement.from) {
            limit = Math.max(limit, until + drainGraceMs);
        }
    }
    return limit;
}

function createPlacementViolation(promise: string, run: testUtils.Execution, detail: string): Violation {
    return { promise, detail: `${run.path} of ${run.service} started on ${run.instance} ${detail}`, at: run.start };
}

/** Folds the log and records each change of an instance's pool or phase, with the time of the platform's clock. */
function buildPlacements(
    entries: readonly schema.platform.LogEntry[],
    services: Map<string, string>,
): ReadonlyMap<string, readonly Placement[]> {
    const placements = new Map<string, Placement[]>();
    let state = fleetState.emptyFleetState;
    for (const entry of entries) {
        const before = state.instances;
        state = fleetState.applyEntry(state, entry).state;
        if (state.instances !== before) {
            recordPlacements(state, entry.appendedAt, placements);
        }
        for (const service of state.configuration?.value.services ?? []) {
            services.set(service.name, service.pool);
        }
    }
    return placements;
}

function recordPlacements(state: fleetState.FleetState, at: number, placements: Map<string, Placement[]>): void {
    for (const [name, instance] of state.instances) {
        const history = placements.get(name) ?? [];
        const inactive = instance.phase !== fleetState.Phase.active;
        const last = history.at(-1);
        if (last === undefined || last.pool !== instance.pool || last.inactive !== inactive) {
            const { availabilityZone } = instance.instance;
            history.push({ from: at, pool: instance.pool, inactive, availabilityZone });
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
    getKey: (element: Element) => string,
): ReadonlyMap<string, readonly Element[]> {
    const groups = new Map<string, Element[]>();
    for (const element of elements) {
        const key = getKey(element);
        groups.set(key, [...groups.get(key) ?? [], element]);
    }
    return groups;
}
