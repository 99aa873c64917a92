/**
 * Questions to a fleet state. Lists are sorted by name, so that they don't depend on how the state came about.
 */
import * as idWindow from "./id-window.js";
import type * as model from "./model.js";

/** Open sessions of an availability zone. */
export function openSessionsOfZone(state: model.FleetState, availabilityZone: string): model.SessionState[] {
    return [...state.sessions.values()]
        .filter(session => session.availabilityZone === availabilityZone)
        .sort((left, right) => compareNames(left.session, right.session));
}

/** Instances of each home, for the maps of instances that are still in use; renewals don't change the map. */
const homedInstances = new WeakMap<model.FleetState["instances"], ReadonlyMap<string, model.InstanceState[]>>();

/** Instances whose home is the session. */
export function listHomedInstances(state: model.FleetState, session: string): readonly model.InstanceState[] {
    const byHome = homedInstances.get(state.instances) ?? groupByHome(state);
    homedInstances.set(state.instances, byHome);
    return byHome.get(session) ?? [];
}

function groupByHome(state: model.FleetState): ReadonlyMap<string, model.InstanceState[]> {
    const byHome = new Map<string, model.InstanceState[]>();
    for (const instance of selectInstances(state, candidate => candidate.home !== undefined)) {
        const home = instance.home ?? "";
        byHome.set(home, [...byHome.get(home) ?? [], instance]);
    }
    return byHome;
}

/** Instances of a pool, in whatever phase. */
export function instancesOfPool(state: model.FleetState, pool: string): model.InstanceState[] {
    return selectInstances(state, instance => instance.pool === pool);
}

/** Instances of an availability zone, in whatever phase. */
export function instancesOfZone(state: model.FleetState, availabilityZone: string): model.InstanceState[] {
    return selectInstances(state, instance => instance.instance.availabilityZone === availabilityZone);
}

/** Whether the session holds the coordinator lease. */
export function holdsLease(state: model.FleetState, session: string): boolean {
    return state.lease.session === session;
}

/** Order of code units, the same everywhere. */
export function compareNames(left: string, right: string): number {
    return left < right ? -1 : Number(left > right);
}

function selectInstances(
    state: model.FleetState,
    isWanted: (instance: model.InstanceState) => boolean,
): model.InstanceState[] {
    const wanted: model.InstanceState[] = [];
    for (const instance of state.instances.values()) {
        if (isWanted(instance)) {
            wanted.push(instance);
        }
    }
    return wanted.sort((left, right) => compareNames(left.instance.name, right.instance.name));
}

/** Whether a record with the id was read; renewals, and all but the newest 10 000 other records, are not remembered. */
export function hasRecord(state: model.FleetState, id: string): boolean {
    return idWindow.hasId(state.recentIds, id);
}
