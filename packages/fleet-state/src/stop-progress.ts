/**
 * Progress of planned stops. A stop is finished when it has no remaining instances; only the newest finished stops are
 * kept.
 */
import * as change from "./change.js";
import type * as model from "./model.js";

/** Number of finished stops that are kept. */
export const maxFinishedStops = 200;

/** Whether no instance still has to complete the stop. */
export function isFinished(stop: model.StopState): boolean {
    return stop.remaining.length === 0;
}

/** Records that an instance completed the stop's reboot. */
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
    const updated = healthy ? addReturned(stop, instance) : addFailed(stop, instance);
    return { ...state, stops: dropOldFinished(change.withValue(state.stops, name, updated)) };
}

/** Removes an instance whose drain was cancelled from a cancelled stop, which no longer waits for the instance. */
export function removeFromCancelledStop(state: model.FleetState, name: string, instance: string): model.FleetState {
    const stop = state.stops.get(name);
    if (stop === undefined || !stop.cancelled) {
        return state;
    }
    const updated = { ...stop, remaining: without(stop.remaining, instance) };
    return { ...state, stops: dropOldFinished(change.withValue(state.stops, name, updated)) };
}

/** Marks an unregistered instance as failed in every stop that it had not completed. */
export function failPendingStops(
    stops: ReadonlyMap<string, model.StopState>,
    instance: string,
): ReadonlyMap<string, model.StopState> {
    const pending = [...stops].filter(([, stop]) => stop.remaining.includes(instance));
    if (pending.length === 0) {
        return stops;
    }
    const changed = pending.reduce(
        (kept, [name, stop]) => change.withValue(kept, name, addFailed(stop, instance)),
        stops,
    );
    return dropOldFinished(changed);
}

/** Removes the oldest finished stops beyond `maxFinishedStops`. */
export function dropOldFinished(stops: ReadonlyMap<string, model.StopState>): ReadonlyMap<string, model.StopState> {
    const finished = [...stops.values()].filter(isFinished);
    if (finished.length <= maxFinishedStops) {
        return stops;
    }
    finished.sort((left, right) => left.offset - right.offset);
    return finished
        .slice(0, finished.length - maxFinishedStops)
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
