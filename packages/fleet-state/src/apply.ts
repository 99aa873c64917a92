/**
 * Applies the entries of the `fleet` stream to the fleet state, one after the other. The function is pure, deterministic
 * and total: an entry that can't be applied only advances the offset, and its verdict gives the reason.
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

/** Handlers by record kind. */
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

/** Kinds whose ids are not kept for duplicate detection: they are frequent, and applying one twice is harmless. */
const renewalKinds: ReadonlySet<Kind> = new Set<Kind>(["session-renewed", "lease-renewed"]);

/**
 * Applies an entry. An entry with an invalid offset or one below `nextOffset` leaves the state unchanged; any other
 * advances `nextOffset`, even when its record is ignored.
 */
export function applyEntry(state: model.FleetState, entry: model.LogEntry): verdict.ApplyResult {
    if (!Number.isSafeInteger(entry.offset) || entry.offset < 0) {
        return { state, verdict: createIgnoredVerdict(verdict.IgnoreReason.malformed, 0), record: undefined };
    }
    if (entry.offset < state.nextOffset) {
        return { state, verdict: createIgnoredVerdict(verdict.IgnoreReason.duplicate, 0), record: undefined };
    }
    const advanced = { ...state, nextOffset: entry.offset + 1 };
    if (!Number.isFinite(entry.appendedAt) || !schema.validators.logFleetRecord(entry.body)) {
        return { state: advanced, verdict: createIgnoredVerdict(verdict.IgnoreReason.malformed, 0), record: undefined };
    }
    return applyRecord(advanced, entry.body, entry);
}

function applyRecord(
    state: model.FleetState,
    record: schema.log.FleetRecord,
    position: change.Position,
): verdict.ApplyResult {
    if (renewalKinds.has(record.kind)) {
        return createResult(state, dispatch(state, record, position), record);
    }
    if (idWindow.hasId(state.recentIds, record.id)) {
        return createResult(state, change.ignore(verdict.IgnoreReason.duplicate), record);
    }
    const withId = { ...state, recentIds: idWindow.addId(state.recentIds, record.id) };
    return createResult(withId, dispatch(withId, record, position), record);
}

/** Calls the handler of the record's kind. The cast is safe: `handlers` maps each kind to the handler of its records. */
function dispatch(
    state: model.FleetState,
    record: schema.log.FleetRecord,
    position: change.Position,
): change.Change {
    const handler = handlers[record.kind] as change.Handler<schema.log.FleetRecord>;
    return handler(state, record, position);
}

function createResult(
    before: model.FleetState,
    result: change.Change,
    record: schema.log.FleetRecord,
): verdict.ApplyResult {
    const state = result.state ?? before;
    const version = getCurrentVersion(state, record);
    if (result.ignored !== undefined) {
        return { state, verdict: createIgnoredVerdict(result.ignored, version), record };
    }
    return { state, verdict: { applied: true, ignored: undefined, version }, record };
}

function createIgnoredVerdict(ignored: verdict.IgnoreReason, version: number): verdict.Verdict {
    return { applied: false, ignored, version };
}

function getCurrentVersion(state: model.FleetState, record: schema.log.FleetRecord): number {
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
