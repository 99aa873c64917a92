/**
 * Queries on a fleet state. Lists are sorted by name, so that they don't depend on the history of the state.
 */
import * as idWindow from "./id-window.js";
import type * as model from "./model.js";

/** Open sessions of an availability zone. */
export function openSessionsOfZone(state: model.FleetState, availabilityZone: string): model.SessionState[] {
    return [...state.sessions.values()]
        .filter(session => session.availabilityZone === availabilityZone)
        .sort((left, right) => compareNames(left.session, right.session));
}

/** Instances grouped by home, cached by instance map. Renewals don't change the map, so the cache stays valid. */
const instancesByHome = new WeakMap<model.FleetState["instances"], ReadonlyMap<string, model.InstanceState[]>>();

/** Instances whose home is the session. */
export function listHomedInstances(state: model.FleetState, session: string): readonly model.InstanceState[] {
    const byHome = instancesByHome.get(state.instances) ?? groupByHome(state);
    instancesByHome.set(state.instances, byHome);
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

/** Instances of a pool, in any phase. */
export function instancesOfPool(state: model.FleetState, pool: string): model.InstanceState[] {
    return selectInstances(state, instance => instance.pool === pool);
}

/** Instances of an availability zone, in any phase. */
export function instancesOfZone(state: model.FleetState, availabilityZone: string): model.InstanceState[] {
    return selectInstances(state, instance => instance.instance.availabilityZone === availabilityZone);
}

/** Whether the session holds the coordinator lease. */
export function holdsLease(state: model.FleetState, session: string): boolean {
    return state.lease.session === session;
}

/** Compares by UTF-16 code units, which does not depend on the locale. */
export function compareNames(left: string, right: string): number {
    return left < right ? -1 : Number(left > right);
}

function selectInstances(
    state: model.FleetState,
    predicate: (instance: model.InstanceState) => boolean,
): model.InstanceState[] {
    const selected: model.InstanceState[] = [];
    for (const instance of state.instances.values()) {
        if (predicate(instance)) {
            selected.push(instance);
        }
    }
    return selected.sort((left, right) => compareNames(left.instance.name, right.instance.name));
}

/** Whether a record with the id was read. Renewals and all but the newest 10 000 other records are not kept. */
export function hasRecord(state: model.FleetState, id: string): boolean {
    return idWindow.hasId(state.recentIds, id);
}
