/**
 * Progress of planned stops. A stop is finished when no instance remains; only the newest finished ones are kept.
 */
import * as change from "./change.js";
import type * as model from "./model.js";

/** Finished stops that are kept. */
export const finishedStopCount = 200;

/** Whether the stop is cancelled or through for every instance that it covers. */
export function isFinished(stop: model.StopState): boolean {
    return stop.remaining.length === 0;
}

/** The state after an instance came back from the stop's reboot. */
export function recordReturn(
    state: model.FleetState,
    name: string,
    instance: string,
    healthy: boolean,
): model.FleetState {
    const stop = state.stops.get(name);
    if (stop === undefined) {
        return state;
    }
    const settled = healthy ? addReturned(stop, instance) : addFailed(stop, instance);
    return { ...state, stops: dropOldFinished(change.withValue(state.stops, name, settled)) };
}

/** The state after a drain for the stop was cancelled: a cancelled stop does not wait for the instance. */
export function excuseIfCancelled(state: model.FleetState, name: string, instance: string): model.FleetState {
    const stop = state.stops.get(name);
    if (stop === undefined || !stop.cancelled) {
        return state;
    }
    const excused = { ...stop, remaining: without(stop.remaining, instance) };
    return { ...state, stops: dropOldFinished(change.withValue(state.stops, name, excused)) };
}

/** All stops after the instance was unregistered: it failed each that it still had to go through. */
export function failEverywhere(
    stops: ReadonlyMap<string, model.StopState>,
    instance: string,
): ReadonlyMap<string, model.StopState> {
    const waiting = [...stops].filter(([, stop]) => stop.remaining.includes(instance));
    if (waiting.length === 0) {
        return stops;
    }
    const changed = waiting.reduce(
        (kept, [name, stop]) => change.withValue(kept, name, addFailed(stop, instance)),
        stops,
    );
    return dropOldFinished(changed);
}

/** The stops without the oldest finished ones above `finishedStopCount`. */
export function dropOldFinished(stops: ReadonlyMap<string, model.StopState>): ReadonlyMap<string, model.StopState> {
    const finished = [...stops.values()].filter(isFinished);
    if (finished.length <= finishedStopCount) {
        return stops;
    }
    finished.sort((left, right) => left.offset - right.offset);
    return finished
        .slice(0, finished.length - finishedStopCount)
        .reduce((kept, stop) => change.withoutKey(kept, stop.stop.name), stops);
}

function addReturned(stop: model.StopState, instance: string): model.StopState {
    return { ...stop, remaining: without(stop.remaining, instance), returned: [...stop.returned, instance] };
}

function addFailed(stop: model.StopState, instance: string): model.StopState {
    return { ...stop, remaining: without(stop.remaining, instance), failed: [...stop.failed, instance] };
}

function without(names: readonly string[], removed: string): string[] {
    return names.filter(name => name !== removed);
}
