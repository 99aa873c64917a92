/**
 * Status of a planned stop, for operators.
 */
import * as fleetState from "@catkinwharf/fleet-state";
import * as schema from "@catkinwharf/schema";

/** Why the next instance of a stop isn't drained yet. */
export interface StopWait {
    /** Whether the wave was halted because instances came back unhealthy. */
    readonly halted: boolean;
    readonly detail: string;
}

/** Creates the status of a stop; `now` is wall-clock time in ms since 1970. */
export function describeStop(
    state: fleetState.FleetState,
    stop: fleetState.StopState,
    wait: StopWait | undefined,
    now: number,
): schema.operator.StopStatus {
    const inProgress = listInstancesInProgress(state, stop);
    const done = stop.returned.length + stop.failed.length;
    return {
        stop: stop.stop.name,
        state: computeState(stop, inProgress.length, wait),
        total: stop.remaining.length + done,
        done,
        inProgress: inProgress.length,
        overdue: inProgress.filter(instance => isOverdue(state, instance, now)).map(instance => instance.instance.name),
        waitingFor: wait?.detail ?? "",
    };
}

/** Instances that are drained, released or stopped for a stop. */
export function listInstancesInProgress(
    state: fleetState.FleetState,
    stop: fleetState.StopState,
): fleetState.InstanceState[] {
    return stop.remaining.flatMap(name => {
        const instance = state.instances.get(name);
        const purpose = instance?.drain?.purpose;
        return instance !== undefined && purpose?.kind === "stop" && purpose.stop === stop.stop.name ? [instance] : [];
    });
}

function computeState(
    stop: fleetState.StopState,
    inProgress: number,
    wait: StopWait | undefined,
): schema.operator.StopStatus["state"] {
    if (stop.cancelled) {
        return "cancelled";
    }
    if (stop.remaining.length === 0) {
        return "finished";
    }
    if (wait?.halted === true) {
        return "halted";
    }
    return inProgress === 0 && wait !== undefined ? "waiting" : "running";
}

function isOverdue(state: fleetState.FleetState, instance: fleetState.InstanceState, now: number): boolean {
    if (instance.phase !== fleetState.Phase.draining || instance.drain === undefined) {
        return false;
    }
    const services = state.configuration?.value.services ?? [];
    const profile = services.find(service => service.pool === instance.pool)?.profile ?? "";
    const limitMs = state.profiles.get(profile)?.value.disruption.drainTimeoutMs ?? Number.POSITIVE_INFINITY;
    return now - instance.drain.startedAt > limitMs;
}
