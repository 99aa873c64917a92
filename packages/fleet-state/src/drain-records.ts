/**
 * Handlers for the records of a drain: its start or cancellation, the release by the home, then the move to another pool
 * or the reboot.
 */
import type * as schema from "@catkinwharf/schema";
import * as change from "./change.js";
import * as configurationRecords from "./configuration-records.js";
import * as homes from "./homes.js";
import * as model from "./model.js";
import * as stopProgress from "./stop-progress.js";
import * as verdict from "./verdict.js";

export const applyDrainStarted: change.Handler<schema.log.DrainStarted> = (state, record) => {
    const instance = state.instances.get(record.instance);
    if (instance === undefined) {
        return change.ignore(verdict.IgnoreReason.instanceUnknown);
    }
    if (instance.phase !== model.Phase.active) {
        return change.ignore(verdict.IgnoreReason.wrongPhase);
    }
    const reason = validatePurpose(state, instance, record.purpose);
    if (reason !== undefined) {
        return change.ignore(reason);
    }
    return change.accept(change.withInstance(state, {
        ...instance,
        phase: instance.home === undefined ? model.Phase.released : model.Phase.draining,
        drain: { id: record.drain, purpose: record.purpose, startedAt: record.startedAt },
    }));
};

export const applyDrainCancelled: change.Handler<schema.log.DrainCancelled> = (state, record) => {
    const instance = state.instances.get(record.instance);
    const reason = validateDrain(instance, record.drain, [model.Phase.draining, model.Phase.released]);
    if (instance === undefined || reason !== undefined) {
        return change.ignore(reason ?? verdict.IgnoreReason.instanceUnknown);
    }
    const active = { ...instance, phase: model.Phase.active, drain: undefined };
    const resumed = change.withInstance(state, active.home === undefined ? homes.reassignHome(state, active) : active);
    const purpose = instance.drain?.purpose;
    return change.accept(
        purpose?.kind === "stop"
            ? stopProgress.removeFromCancelledStop(resumed, purpose.stop, record.instance)
            : resumed,
    );
};

export const applyHomeReleased: change.Handler<schema.log.HomeReleased> = (state, record) => {
    const instance = state.instances.get(record.instance);
    if (instance === undefined) {
        return change.ignore(verdict.IgnoreReason.instanceUnknown);
    }
    if (record.generation !== instance.generation) {
        return change.ignore(verdict.IgnoreReason.staleGeneration);
    }
    if (record.author !== record.session || record.session !== instance.home) {
        return change.ignore(verdict.IgnoreReason.wrongAuthor);
    }
    if (instance.phase === model.Phase.draining) {
        return change.accept(change.withInstance(state, homes.release(instance)));
    }
    if (instance.phase === model.Phase.active && instance.nextHome !== undefined) {
        return change.accept(change.withInstance(state, homes.reassignHome(state, instance)));
    }
    return change.ignore(verdict.IgnoreReason.wrongPhase);
};

export const applyMoveCommitted: change.Handler<schema.log.MoveCommitted> = (state, record) => {
    const instance = state.instances.get(record.instance);
    const reason = validateDrain(instance, record.drain, [model.Phase.released]);
    if (instance === undefined || reason !== undefined) {
        return change.ignore(reason ?? verdict.IgnoreReason.instanceUnknown);
    }
    const purpose = instance.drain?.purpose;
    if (purpose?.kind !== "move") {
        return change.ignore(verdict.IgnoreReason.wrongPhase);
    }
    const moved = homes.reassignHome(state, {
        ...instance,
        pool: purpose.pool,
        phase: model.Phase.active,
        drain: undefined,
    });
    return change.accept(change.withInstance(state, moved));
};

export const applyInstanceStopped: change.Handler<schema.log.InstanceStopped> = (state, record) => {
    const instance = state.instances.get(record.instance);
    const reason = validateDrain(instance, record.drain, [model.Phase.released]);
    if (instance === undefined || reason !== undefined) {
        return change.ignore(reason ?? verdict.IgnoreReason.instanceUnknown);
    }
    if (instance.drain?.purpose.kind !== "stop") {
        return change.ignore(verdict.IgnoreReason.wrongPhase);
    }
    return change.accept(change.withInstance(state, { ...instance, phase: model.Phase.stopped }));
};

export const applyInstanceReturned: change.Handler<schema.log.InstanceReturned> = (state, record) => {
    const instance = state.instances.get(record.instance);
    const reason = validateDrain(instance, record.drain, [model.Phase.stopped]);
    if (instance === undefined || reason !== undefined) {
        return change.ignore(reason ?? verdict.IgnoreReason.instanceUnknown);
    }
    const purpose = instance.drain?.purpose;
    if (purpose?.kind !== "stop") {
        return change.ignore(verdict.IgnoreReason.wrongPhase);
    }
    const returned = homes.reassignHome(state, {
        ...instance,
        phase: model.Phase.active,
        drain: undefined,
        failedReturn: !record.healthy,
    });
    return change.accept(
        stopProgress.recordReturn(change.withInstance(state, returned), purpose.stop, record.instance, record.healthy),
    );
};

function validateDrain(
    instance: model.InstanceState | undefined,
    drain: string,
    phases: readonly model.Phase[],
): verdict.IgnoreReason | undefined {
    if (instance === undefined) {
        return verdict.IgnoreReason.instanceUnknown;
    }
    if (instance.drain?.id !== drain) {
        return verdict.IgnoreReason.drainUnknown;
    }
    if (phases.includes(instance.phase)) {
        return undefined;
    }
    return instance.phase === model.Phase.draining ? verdict.IgnoreReason.notReleased : verdict.IgnoreReason.wrongPhase;
}

function validatePurpose(
    state: model.FleetState,
    instance: model.InstanceState,
    purpose: schema.log.DrainPurpose,
): verdict.IgnoreReason | undefined {
    if (purpose.kind === "move") {
        const isValidTarget = purpose.pool !== instance.pool && configurationRecords.hasPool(state, purpose.pool);
        return isValidTarget ? undefined : verdict.IgnoreReason.poolUnknown;
    }
    const stop = state.stops.get(purpose.stop);
    if (stop === undefined) {
        return verdict.IgnoreReason.stopUnknown;
    }
    if (stop.cancelled) {
        return verdict.IgnoreReason.stopCancelled;
    }
    return stop.remaining.includes(instance.instance.name) ? undefined : verdict.IgnoreReason.notCovered;
}
