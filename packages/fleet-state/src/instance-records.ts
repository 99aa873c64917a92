/**
 * Instances: registered when the membership list shows them, unregistered when they are gone for good.
 */
import type * as schema from "@catkinwharf/schema";
import * as change from "./change.js";
import * as homes from "./homes.js";
import * as model from "./model.js";
import * as stopProgress from "./stop-progress.js";
import * as verdict from "./verdict.js";

export const applyInstanceRegistered: change.Handler<schema.log.InstanceRegistered> = (state, record) => {
    const known = state.instances.get(record.instance.name);
    if (known === undefined) {
        return change.accept(change.withInstance(state, createInstance(state, record)));
    }
    const fault = findUpdateFault(known, record);
    if (fault !== undefined) {
        return change.ignore(fault);
    }
    return change.accept(change.withInstance(state, { ...known, instance: record.instance }));
};

export const applyInstanceUnregistered: change.Handler<schema.log.InstanceUnregistered> = (state, record) => {
    const known = state.instances.get(record.instance);
    if (known === undefined) {
        return change.ignore(verdict.Ignored.instanceUnknown);
    }
    return change.accept({
        ...state,
        instances: change.withoutKey(state.instances, record.instance),
        stops: stopProgress.failEverywhere(state.stops, record.instance),
        generationFloor: Math.max(state.generationFloor, known.generation),
    });
};

/** A new instance; its generation is above any that its name had before. */
function createInstance(state: model.FleetState, record: schema.log.InstanceRegistered): model.InstanceState {
    return homes.chooseAnew(state, {
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

/** Pool, availability zone and rack of a known instance stay; address and size may change. */
function findUpdateFault(
    known: model.InstanceState,
    record: schema.log.InstanceRegistered,
): verdict.Ignored | undefined {
    if (known.pool !== record.pool) {
        return verdict.Ignored.wrongPhase;
    }
    if (known.instance.availabilityZone !== record.instance.availabilityZone) {
        return verdict.Ignored.wrongZone;
    }
    return known.instance.rack === record.instance.rack ? undefined : verdict.Ignored.alreadyKnown;
}
