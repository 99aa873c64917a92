/**
 * The fold of the `fleet` stream: one entry after the other, pure, deterministic and total. An entry that can't be
 * applied changes nothing but the offset, and its verdict says why.
 */
import * as schema from "@catkinwharf/schema";
import * as change from "./change.js";
import * as configurationRecords from "./configuration-records.js";
import * as drainRecords from "./drain-records.js";
import * as idWindow from "./id-window.js";
import * as instanceRecords from "./instance-records.js";
import * as leaseRecords from "./lease-records.js";
import type * as model from "./model.js";
import * as sessionRecords from "./session-records.js";
import * as stopRecords from "./stop-records.js";
import * as verdict from "./verdict.js";

type Kind = schema.log.FleetRecord["kind"];

/** Handler of each kind of record. */
const handlers: { readonly [K in Kind]: change.Handler<Extract<schema.log.FleetRecord, { kind: K; }>>; } = {
    "profile-published": configurationRecords.applyProfilePublished,
    "configuration-published": configurationRecords.applyConfigurationPublished,
    "stop-announced": stopRecords.applyStopAnnounced,
    "stop-cancelled": stopRecords.applyStopCancelled,
    "session-opened": sessionRecords.applySessionOpened,
    "session-renewed": sessionRecords.applySessionRenewed,
    "session-closed": sessionRecords.applySessionClosed,
    "lease-acquired": leaseRecords.applyLeaseAcquired,
    "lease-renewed": leaseRecords.applyLeaseRenewed,
    "lease-released": leaseRecords.applyLeaseReleased,
    "instance-registered": change.requireEpoch(instanceRecords.applyInstanceRegistered),
    "instance-unregistered": change.requireEpoch(instanceRecords.applyInstanceUnregistered),
    "drain-started": change.requireEpoch(drainRecords.applyDrainStarted),
    "drain-cancelled": change.requireEpoch(drainRecords.applyDrainCancelled),
    "home-released": drainRecords.applyHomeReleased,
    "move-committed": change.requireEpoch(drainRecords.applyMoveCommitted),
    "instance-stopped": change.requireEpoch(drainRecords.applyInstanceStopped),
    "instance-returned": change.requireEpoch(drainRecords.applyInstanceReturned),
};

/** Kinds whose ids are not remembered: they are frequent, and applying one again does no harm. */
const renewalKinds: ReadonlySet<Kind> = new Set<Kind>(["session-renewed", "lease-renewed"]);

/**
 * State and verdict after an entry. An entry below `nextOffset` leaves the state as it is; any other raises
 * `nextOffset`, also when its record is ignored.
 */
export function applyEntry(state: model.FleetState, entry: model.LogEntry): verdict.Application {
    if (!Number.isSafeInteger(entry.offset) || entry.offset < 0) {
        return { state, verdict: refuse(verdict.Ignored.malformed, 0), record: undefined };
    }
    if (entry.offset < state.nextOffset) {
        return { state, verdict: refuse(verdict.Ignored.duplicate, 0), record: undefined };
    }
    const advanced = { ...state, nextOffset: entry.offset + 1 };
    if (!Number.isFinite(entry.appendedAt) || !schema.validators.logFleetRecord(entry.body)) {
        return { state: advanced, verdict: refuse(verdict.Ignored.malformed, 0), record: undefined };
    }
    return applyRecord(advanced, entry.body, entry);
}

function applyRecord(
    state: model.FleetState,
    record: schema.log.FleetRecord,
    position: change.Position,
): verdict.Application {
    if (renewalKinds.has(record.kind)) {
        return conclude(state, handle(state, record, position), record);
    }
    if (idWindow.hasId(state.recentIds, record.id)) {
        return conclude(state, change.ignore(verdict.Ignored.duplicate), record);
    }
    const remembered = { ...state, recentIds: idWindow.addId(state.recentIds, record.id) };
    return conclude(remembered, handle(remembered, record, position), record);
}

/** The table pairs each kind with the handler of just that record, which the type checker can't follow. */
function handle(
    state: model.FleetState,
    record: schema.log.FleetRecord,
    position: change.Position,
): change.Change {
    const handler = handlers[record.kind] as change.Handler<schema.log.FleetRecord>;
    return handler(state, record, position);
}

function conclude(
    before: model.FleetState,
    result: change.Change,
    record: schema.log.FleetRecord,
): verdict.Application {
    const state = result.state ?? before;
    const version = findVersion(state, record);
    if (result.ignored !== undefined) {
        return { state, verdict: refuse(result.ignored, version), record };
    }
    return { state, verdict: { applied: true, ignored: undefined, version }, record };
}

function refuse(ignored: verdict.Ignored, version: number): verdict.Verdict {
    return { applied: false, ignored, version };
}

function findVersion(state: model.FleetState, record: schema.log.FleetRecord): number {
    if (record.kind === "profile-published") {
        return state.profiles.get(record.profile.name)?.version ?? 0;
    }
    if (record.kind === "configuration-published") {
        return state.configuration?.version ?? 0;
    }
    if ("instance" in record) {
        const name = typeof record.instance === "string" ? record.instance : record.instance.name;
        return state.instances.get(name)?.generation ?? 0;
    }
    return record.kind.startsWith("lease-") ? state.lease.epoch : 0;
}
