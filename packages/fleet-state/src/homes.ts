/**
 * Assigns homes to the instances of an availability zone as sessions open and close.
 *
 * The home or next home of every active or draining instance is the session that rendezvous hashing selects.
 */
import * as model from "./model.js";
import * as rendezvous from "./rendezvous.js";
import * as selectors from "./selectors.js";
import * as shardedMap from "./sharded-map.js";

/** Assigns the instance a new home among the open sessions of its availability zone. */
export function reassignHome(state: model.FleetState, instance: model.InstanceState): model.InstanceState {
    return assignHome(instance, createZoneHomeSelector(state, instance.instance.availabilityZone));
}

/** All instances after a session of the availability zone opened; `state` already contains the session. */
export function updateHomesAfterOpen(
    state: model.FleetState,
    availabilityZone: string,
): ReadonlyMap<string, model.InstanceState> {
    const selectHome = createZoneHomeSelector(state, availabilityZone);
    return mapInstancesOfZone(state, availabilityZone, instance => {
        if (!isInUse(instance)) {
            return instance;
        }
        return instance.home === undefined ? assignHome(instance, selectHome) : planNextHome(instance, selectHome);
    });
}

/** All instances after a session of the availability zone closed; `state` no longer contains the session. */
export function updateHomesAfterClose(
    state: model.FleetState,
    availabilityZone: string,
    closedSession: string,
): ReadonlyMap<string, model.InstanceState> {
    const selectHome = createZoneHomeSelector(state, availabilityZone);
    return mapInstancesOfZone(state, availabilityZone, instance => {
        if (instance.home === closedSession) {
            return instance.phase === model.Phase.draining ? release(instance) : assignHome(instance, selectHome);
        }
        return instance.nextHome === closedSession ? planNextHome(instance, selectHome) : instance;
    });
}

/** Releases the instance: its home has no work running on it and will send it no more. */
export function release(instance: model.InstanceState): model.InstanceState {
    return {
        ...instance,
        phase: model.Phase.released,
        home: undefined,
        nextHome: undefined,
        generation: instance.generation + 1,
    };
}

function assignHome(instance: model.InstanceState, selectHome: rendezvous.HomeSelector): model.InstanceState {
    return {
        ...instance,
        home: selectHome(instance.instance.name),
        nextHome: undefined,
        generation: instance.generation + 1,
    };
}

function planNextHome(instance: model.InstanceState, selectHome: rendezvous.HomeSelector): model.InstanceState {
    const best = selectHome(instance.instance.name);
    const nextHome = best === instance.home ? undefined : best;
    return nextHome === instance.nextHome ? instance : { ...instance, nextHome };
}

function isInUse(instance: model.InstanceState): boolean {
    return instance.phase === model.Phase.active || instance.phase === model.Phase.draining;
}

/** All instances, with the update applied to those of the availability zone. */
function mapInstancesOfZone(
    state: model.FleetState,
    availabilityZone: string,
    update: (instance: model.InstanceState) => model.InstanceState,
): ReadonlyMap<string, model.InstanceState> {
    return shardedMap.ShardedMap.from(state.instances).mapValues(instance =>
        instance.instance.availabilityZone === availabilityZone ? update(instance) : instance
    );
}

function createZoneHomeSelector(state: model.FleetState, availabilityZone: string): rendezvous.HomeSelector {
    const sessions = selectors.openSessionsOfZone(state, availabilityZone);
    return rendezvous.createHomeSelector(sessions.map(session => session.session));
}
