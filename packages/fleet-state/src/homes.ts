/**
 * Homes of the instances of one availability zone, as sessions open and close.
 *
 * An active or draining instance is homed at, or on its way to, the session that rendezvous hashing prefers.
 */
import * as model from "./model.js";
import * as rendezvous from "./rendezvous.js";
import * as selectors from "./selectors.js";

/** The instance with a home chosen anew among the open sessions of its availability zone. */
export function chooseAnew(state: model.FleetState, instance: model.InstanceState): model.InstanceState {
    const sessions = selectors.openSessionsOfZone(state, instance.instance.availabilityZone);
    return rehome(instance, sessions.map(session => session.session));
}

/** All instances after a session of the availability zone opened; `state` holds the session already. */
export function welcomeSession(
    state: model.FleetState,
    availabilityZone: string,
): ReadonlyMap<string, model.InstanceState> {
    const sessions = selectors.openSessionsOfZone(state, availabilityZone).map(session => session.session);
    return mapZone(state, availabilityZone, instance => {
        if (!isInUse(instance)) {
            return instance;
        }
        return instance.home === undefined ? rehome(instance, sessions) : planNextHome(instance, sessions);
    });
}

/** All instances after a session of the availability zone closed; `state` holds the session no longer. */
export function dismissSession(
    state: model.FleetState,
    availabilityZone: string,
    closed: string,
): ReadonlyMap<string, model.InstanceState> {
    const sessions = selectors.openSessionsOfZone(state, availabilityZone).map(session => session.session);
    return mapZone(state, availabilityZone, instance => {
        if (instance.home === closed) {
            return instance.phase === model.Phase.draining ? release(instance) : rehome(instance, sessions);
        }
        return instance.nextHome === closed ? planNextHome(instance, sessions) : instance;
    });
}

/** The instance after its home has no work left on it and sends it none. */
export function release(instance: model.InstanceState): model.InstanceState {
    return {
        ...instance,
        phase: model.Phase.released,
        home: undefined,
        nextHome: undefined,
        generation: instance.generation + 1,
    };
}

function rehome(instance: model.InstanceState, sessions: readonly string[]): model.InstanceState {
    return {
        ...instance,
        home: rendezvous.chooseHome(instance.instance.name, sessions),
        nextHome: undefined,
        generation: instance.generation + 1,
    };
}

function planNextHome(instance: model.InstanceState, sessions: readonly string[]): model.InstanceState {
    const best = rendezvous.chooseHome(instance.instance.name, sessions);
    const nextHome = best === instance.home ? undefined : best;
    return nextHome === instance.nextHome ? instance : { ...instance, nextHome };
}

function isInUse(instance: model.InstanceState): boolean {
    return instance.phase === model.Phase.active || instance.phase === model.Phase.draining;
}

function mapZone(
    state: model.FleetState,
    availabilityZone: string,
    change: (instance: model.InstanceState) => model.InstanceState,
): ReadonlyMap<string, model.InstanceState> {
    const instances = new Map(state.instances);
    for (const [name, instance] of state.instances) {
        if (instance.instance.availabilityZone === availabilityZone) {
            instances.set(name, change(instance));
        }
    }
    return instances;
}
