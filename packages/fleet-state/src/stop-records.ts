/**
 * Handlers for the records with which operators announce and cancel planned stops.
 */
import type * as schema from "@catkinwharf/schema";
import * as change from "./change.js";
import type * as model from "./model.js";
import * as selectors from "./selectors.js";
import * as stopProgress from "./stop-progress.js";
import * as verdict from "./verdict.js";

export const applyStopAnnounced: change.Handler<schema.log.StopAnnounced> = (state, record, position) => {
    if (state.stops.has(record.stop.name)) {
        return change.ignore(verdict.IgnoreReason.conflict);
    }
    const announced: model.StopState = {
        stop: record.stop,
        offset: position.offset,
        announcedAt: position.appendedAt,
        cancelled: false,
        remaining: listTargetInstances(state, record.stop.targets),
        returned: [],
        failed: [],
    };
    const stops = change.withValue(state.stops, record.stop.name, announced);
    return change.accept({ ...state, stops: stopProgress.dropOldFinished(stops) });
};

export const applyStopCancelled: change.Handler<schema.log.StopCancelled> = (state, record) => {
    const stop = state.stops.get(record.stop);
    if (stop === undefined) {
        return change.ignore(verdict.IgnoreReason.stopUnknown);
    }
    if (stop.cancelled) {
        return change.ignore(verdict.IgnoreReason.stopCancelled);
    }
    const remaining = stop.remaining.filter(name => isDrainedFor(state.instances.get(name), record.stop));
    const stops = change.withValue(state.stops, record.stop, { ...stop, cancelled: true, remaining });
    return change.accept({ ...state, stops: stopProgress.dropOldFinished(stops) });
};

/** Whether the instance is draining, released or stopped for the stop. */
function isDrainedFor(instance: model.InstanceState | undefined, stop: string): boolean {
    const purpose = instance?.drain?.purpose;
    return purpose?.kind === "stop" && purpose.stop === stop;
}

function listTargetInstances(state: model.FleetState, targets: schema.log.StopTargets): string[] {
    const names = new Set(targets.instances);
    const racks = new Set(targets.racks);
    const zones = new Set(targets.availabilityZones);
    return [...state.instances.values()]
        .map(instance => instance.instance)
        .filter(instance =>
            names.has(instance.name) || racks.has(instance.rack) || zones.has(instance.availabilityZone)
        )
        .map(instance => instance.name)
        .sort(selectors.compareNames);
}
