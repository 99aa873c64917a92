/**
 * Admission of a request to its service's queue.
 *
 * A request is refused early when it can't finish before its deadline, so that the queue holds only requests that can
 * still succeed. A full queue sheds its least urgent request for a strictly more urgent one. Among equally urgent
 * requests the earlier one stays, so that a burst can't evict requests that have waited longer.
 */
import * as types from "@catkinwharf/types";

/** Properties of the request and of its service's queue at this entry instance that the decision depends on. */
export interface AdmissionInput {
    /** Number of waiting requests. */
    readonly queued: number;
    /** Number of waiting requests ahead of this one; all of them when absent. */
    readonly ahead?: number;
    /** Maximum length of the queue. */
    readonly maxQueued: number;
    /** Number of usable slots that serve the queue. */
    readonly slots: number;
    /** Clock time in ms by which the request must have run. */
    readonly deadline: number;
    /** Urgency as in RFC 9218: 0 is the most urgent. */
    readonly urgency: number;
    /** Estimated run time of the service, in ms. */
    readonly expectedRunMs: number;
    /** Time reserved for running the request itself, in ms; the expected run time when absent. */
    readonly reserveMs?: number;
    /** The last waiting request in the queue's order. */
    readonly lastInQueue: { readonly urgency: number; readonly deadline: number; readonly id: string; } | undefined;
}

/** Admits the request, refuses it with a reason, or admits it after shedding the waiting request with this id. */
export type AdmissionDecision =
    | { readonly kind: "admit"; }
    | { readonly kind: "refuse"; readonly reason: types.Reason; }
    | { readonly kind: "shed"; readonly id: string; };

/** Decides whether a request may wait. */
export function decideAdmission(input: AdmissionInput, now: number): AdmissionDecision {
    if (input.slots <= 0) {
        return { kind: "refuse", reason: types.Reason.noCapacity };
    }
    if (estimateEndTime(input, now) > input.deadline) {
        return { kind: "refuse", reason: types.Reason.deadlineTooShort };
    }
    if (input.queued < input.maxQueued) {
        return { kind: "admit" };
    }
    if (input.lastInQueue !== undefined && input.urgency < input.lastInQueue.urgency) {
        return { kind: "shed", id: input.lastInQueue.id };
    }
    return { kind: "refuse", reason: types.Reason.queueFull };
}

/** Estimated clock time in ms at which the request finishes, if the requests ahead of it share the slots evenly. */
function estimateEndTime(input: AdmissionInput, now: number): number {
    const waitMs = (input.ahead ?? input.queued) / input.slots * input.expectedRunMs;
    return now + waitMs + (input.reserveMs ?? input.expectedRunMs);
}

/** Maximum share of a request's remaining time that is reserved for a long run. */
const maxReserveShare = 0.5;

/**
 * Time in ms to reserve for running a request, out of the `remainingMs` before its deadline; `longMs` is a run time
 * that few runs exceed.
 *
 * Under overload, ordering by deadline starts each request at the last possible moment. With only the expected run time
 * reserved, every run that takes longer would miss its deadline and waste its slot.
 */
export function computeRunReserve(expectedMs: number, longMs: number, remainingMs: number): number {
    return Math.max(expectedMs, Math.min(longMs, remainingMs * maxReserveShare));
}
