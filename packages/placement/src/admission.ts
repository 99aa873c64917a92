/**
 * Admission of a request to its service's queue.
 *
 * A request is refused early when it can't end before its deadline, so that the queue holds only work that can still
 * be useful. A full queue sheds its least urgent request for a strictly more urgent one; among equals the one that
 * came first stays, so that a burst can't evict what has waited longest.
 */
import * as types from "@catkinwharf/types";

/** What the decision needs to know of the request and of its service's queue at this entry instance. */
export interface AdmissionInput {
    /** Requests that wait. */
    readonly queued: number;
    /** Waiting requests that go before this one; all of them when absent. */
    readonly ahead?: number;
    /** Bound of the queue. */
    readonly maxQueued: number;
    /** Usable slots that serve the queue. */
    readonly slots: number;
    /** Clock time in ms by which the request must have run. */
    readonly deadline: number;
    /** Urgency after RFC 9218: 0 is the most urgent. */
    readonly urgency: number;
    /** Learnt run time of the service, in ms. */
    readonly expectedRunMs: number;
    /** Time kept for the request's own run, in ms; the expected run time when absent. */
    readonly reserveMs?: number;
    /** The waiting request that goes last. */
    readonly worst: { readonly urgency: number; readonly deadline: number; readonly id: string; } | undefined;
}

/** Admit; refuse for a reason; or shed the waiting request with this id and admit. */
export type AdmissionDecision =
    | { readonly kind: "admit"; }
    | { readonly kind: "refuse"; readonly reason: types.Reason; }
    | { readonly kind: "shed"; readonly id: string; };

/** Decides whether a request may wait. */
export function decideAdmission(input: AdmissionInput, now: number): AdmissionDecision {
    if (input.slots <= 0) {
        return { kind: "refuse", reason: types.Reason.noCapacity };
    }
    if (estimateEnd(input, now) > input.deadline) {
        return { kind: "refuse", reason: types.Reason.deadlineTooShort };
    }
    if (input.queued < input.maxQueued) {
        return { kind: "admit" };
    }
    if (input.worst !== undefined && input.urgency < input.worst.urgency) {
        return { kind: "shed", id: input.worst.id };
    }
    return { kind: "refuse", reason: types.Reason.queueFull };
}

/** Clock time in ms at which the request should have run, when those ahead of it share the slots evenly. */
function estimateEnd(input: AdmissionInput, now: number): number {
    const waitMs = (input.ahead ?? input.queued) / input.slots * input.expectedRunMs;
    return now + waitMs + (input.reserveMs ?? input.expectedRunMs);
}

/** Share of a request's time that may be kept for its run when long runs would need more. */
const maxReserveShare = 0.5;

/**
 * Time in ms to keep for a request's run, of the `remainingMs` that it has.
 *
 * Under overload the order by deadline starts each request at the last moment. Starting it when only a usual run would
 * fit wastes the slot on every run that is longer.
 */
export function computeRunReserve(expectedMs: number, longMs: number, remainingMs: number): number {
    return Math.max(expectedMs, Math.min(longMs, remainingMs * maxReserveShare));
}
