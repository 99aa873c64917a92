/**
 * Handlers for the records that register instances of the membership list and unregister those that are permanently
 * gone.
 */
import type * as schema from "@catkinwharf/schema";
import * as change from "./change.js";
import * as homes from "./homes.js";
import * as model from "./model.js";
import * as stopProgress from "./stop-progress.js";
import * as verdict from "./verdict.js";

export const applyInstanceRegistered: change.Handler<schema.log.InstanceRegistered> = (state, record) => {
    const existing = state.instances.get(record.instance.name);
    if (existing === undefined) {
        return change.accept(change.withInstance(state, createInstance(state, record)));
    }
    const reason = validateUpdate(existing, record);
    if (reason !== undefined) {
        return change.ignore(reason);
    }
    return change.accept(change.withInstance(state, { ...existing, instance: record.instance }));
};

export const applyInstanceUnregistered: change.Handler<schema.log.InstanceUnregistered> = (state, record) => {
    const existing = state.instances.get(record.instance);
    if (existing === undefined) {
        return change.ignore(verdict.IgnoreReason.instanceUnknown);
    }
    return change.accept({
        ...state,
        instances: change.withoutKey(state.instances, record.instance),
        stops: stopProgress.failPendingStops(state.stops, record.instance),
        generationFloor: Math.max(state.generationFloor, existing.generation),
    });
};

/** Creates an instance whose generation is higher than any earlier one under the same name. */
function createInstance(state: model.FleetState, record: schema.log.InstanceRegistered): model.InstanceState {
    return homes.reassignHome(state, {
        instance: record.instance,
        pool: record.pool,
        phase: model.Phase.active,
        drain: undefined,
        home: undefined,
        nextHome: undefined,
        generation: state.generationFloor,
        failedReturn: false,
    });
}

/** A new registration must keep the instance's pool, availability zone and rack; address and size may change. */
function validateUpdate(
    existing: model.InstanceState,
    record: schema.log.InstanceRegistered,
): verdict.IgnoreReason | undefined {
    if (existing.pool !== record.pool) {
        return verdict.IgnoreReason.wrongPhase;
    }
    if (existing.instance.availabilityZone !== record.instance.availabilityZone) {
        return verdict.IgnoreReason.wrongZone;
    }
    return existing.instance.rack === record.instance.rack ? undefined : verdict.IgnoreReason.alreadyKnown;
}
