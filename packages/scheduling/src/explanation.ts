/**
 * Explains to an operator why a task of a step doesn't start: what each server lacks for it, and when that is predicted to
 * change.
 */
import * as placing from "./placing.js";
import * as reservations from "./reservations.js";

/** Why a server can't take a task of a step now. */
export const Lack = {
    processor: "processor",
    memory: "memory",
    accelerators: "accelerators",
    /** The step requires a label that the server doesn't have. */
    label: "label",
    /** As many tasks of the step run there as may run on one server. */
    maxPerServer: "maxPerServer",
    /** It is draining, out of reach, backing off or reserved for an order for its machine. */
    notAccepting: "notAccepting",
    /** An earlier coordinator may have ordered its machine away, and the step limits how many tasks may be unavailable. */
    mayBeOrderedAway: "mayBeOrderedAway",
    /** Another step has reserved it. */
    reserved: "reserved",
} as const;
export type Lack = (typeof Lack)[keyof typeof Lack];

export interface ServerExplanation {
    readonly server: string;
    /** Empty if the server could take a task of the step now. */
    readonly lacks: readonly Lack[];
    /**
     * Ms until the server is predicted to have room for a task of the step, when nothing but room is lacking; `undefined` if
     * waiting for the runs on it doesn't help.
     */
    readonly wait: number | undefined;
    /** Key of the step that has reserved it. */
    readonly reservedFor: string | undefined;
}

/** Explains the step on each server; those that are predicted to have room first come first. */
export function explainStep(
    request: placing.PlacementRequest,
    servers: readonly reservations.ServerOutlook[],
): ServerExplanation[] {
    return servers.map(server => explainServer(request, server))
        .sort((a, b) => (a.wait ?? Number.POSITIVE_INFINITY) < (b.wait ?? Number.POSITIVE_INFINITY) ? -1 : 1);
}

function explainServer(
    request: placing.PlacementRequest,
    { load, predictEnds }: reservations.ServerOutlook,
): ServerExplanation {
    const { step, stepKey } = request;
    const { demand } = step;
    const lacksOfRoom = [
        ...(!step.filler && load.freeCpu < demand.cpu ? [Lack.processor] : []),
        ...(load.freeMemory < demand.memory ? [Lack.memory] : []),
        ...(load.freeAccelerators < demand.accelerators ? [Lack.accelerators] : []),
    ];
    const lacksLabel = step.requiredLabel !== undefined && !load.labels.includes(step.requiredLabel);
    const isAtLimit = step.maxPerServer > 0 && (load.runCountByStep.get(stepKey) ?? 0) >= step.maxPerServer;
    const otherLacks = [
        ...(load.acceptsTasks ? [] : [Lack.notAccepting]),
        ...(lacksLabel ? [Lack.label] : []),
        ...(isAtLimit ? [Lack.maxPerServer] : []),
        ...(step.maxUnavailable !== undefined && load.mayBeOrderedAway ? [Lack.mayBeOrderedAway] : []),
        ...(placing.respectsReservation(load, request) ? [] : [Lack.reserved]),
    ];
    const ends = predictEnds().sort((a, b) => a.remaining - b.remaining);
    return {
        server: load.id,
        lacks: [...lacksOfRoom, ...otherLacks],
        wait: otherLacks.length === 0 ? reservations.predictWait(load, ends, step) : undefined,
        reservedFor: load.reservation?.stepKey,
    };
}
