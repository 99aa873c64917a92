/**
 * Homes of the instances of one availability zone, as sessions open and close.
 *
 * An active or draining instance is homed at, or on its way to, the session that rendezvous hashing prefers.
 */
import * as model from "./model.js";
import * as rendezvous from "./rendezvous.js";
import * as selectors from "./selectors.js";
import * as shardedMap from "./sharded-map.js";

/** The instance with a home chosen anew among the open sessions of its availability zone. */
export function chooseAnew(state: model.FleetState, instance: model.InstanceState): model.InstanceState {
    return rehome(instance, prepareChoice(state, instance.instance.availabilityZone));
}

/** All instances after a session of the availability zone opened; `state` holds the session already. */
export function welcomeSession(
    state: model.FleetState,
    availabilityZone: string,
): ReadonlyMap<string, model.InstanceState> {
    const choose = prepareChoice(state, availabilityZone);
    return mapZone(state, availabilityZone, instance => {
        if (!isInUse(instance)) {
            return instance;
        }
        return instance.home === undefined ? rehome(instance, choose) : planNextHome(instance, choose);
    });
}

/** All instances after a session of the availability zone closed; `state` holds the session no longer. */
export function dismissSession(
    state: model.FleetState,
    availabilityZone: string,
    closed: string,
): ReadonlyMap<string, model.InstanceState> {
    const choose = prepareChoice(state, availabilityZone);
    return mapZone(state, availabilityZone, instance => {
        if (instance.home === closed) {
            return instance.phase === model.Phase.draining ? release(instance) : rehome(instance, choose);
        }
        return instance.nextHome === closed ? planNextHome(instance, choose) : instance;
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

function rehome(instance: model.InstanceState, choose: rendezvous.Choice): model.InstanceState {
    return {
        ...instance,
        home: choose(instance.instance.name),
        nextHome: undefined,
        generation: instance.generation + 1,
    };
}

function planNextHome(instance: model.InstanceState, choose: rendezvous.Choice): model.InstanceState {
    const best = choose(instance.instance.name);
    const nextHome = best === instance.home ? undefined : best;
    return nextHome === instance.nextHome ? instance : { ...instance, nextHome };
}

function isInUse(instance: model.InstanceState): boolean {
    return instance.phase === model.Phase.active || instance.phase === model.Phase.draining;
}

/** All instances, those of the availability zone changed. */
function mapZone(
    state: model.FleetState,
    availabilityZone: string,
    change: (instance: model.InstanceState) => model.InstanceState,
): ReadonlyMap<string, model.InstanceState> {
    return shardedMap.ShardedMap.from(state.instances).mapValues(instance =>
        instance.instance.availabilityZone === availabilityZone ? change(instance) : instance
    );
}

function prepareChoice(state: model.FleetState, availabilityZone: string): rendezvous.Choice {
    const sessions = selectors.openSessionsOfZone(state, availabilityZone);
    return rendezvous.prepareChoice(sessions.map(session => session.session));
}
