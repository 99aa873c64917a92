/**
 * The status of an idempotency key's request as its claimant knows it, and the result that a repeated request gets.
 */
import * as fleetState from "@catkinwharf/fleet-state";
import * as schema from "@catkinwharf/schema";
import * as types from "@catkinwharf/types";
import * as request from "./request.js";

/** Status of a key's request, as the claimant reports it to peers. */
export interface KeyStatus {
    readonly state: schema.peer.KeyAnswer["state"];
    readonly answer: request.Answered | undefined;
}

/** Converts a result into a status; undefined means that the request is still running. */
export function toKeyStatus(result: request.RequestResult | undefined): KeyStatus {
    if (result === undefined) {
        return { state: "running", answer: undefined };
    }
    if (result.outcome === types.Outcome.answered) {
        return { state: "answered", answer: result };
    }
    return { state: result.outcome, answer: undefined };
}

/** Result for a repeated request; `status` is undefined if the claimant can't be reached. */
export function toRequestResult(
    status: KeyStatus | undefined,
    claim: fleetState.ClaimState,
): request.RequestResult {
    if (status?.answer !== undefined) {
        return status.answer;
    }
    if (status?.state === "running") {
        return request.createUnknown(types.Reason.keyRunning);
    }
    if (status?.state === "not-run") {
        return request.createUnknown(types.Reason.claimUnconfirmed);
    }
    return request.createUnknown(getUnknownReason(claim, status !== undefined));
}

/** Reason for an unknown outcome. A holder that answers but doesn't know the outcome is not lost. */
function getUnknownReason(claim: fleetState.ClaimState, holderAnswers: boolean): types.Reason {
    if (claim.settled === undefined) {
        return holderAnswers ? types.Reason.outcomeUnknown : types.Reason.keyHolderLost;
    }
    return claim.settled.outcome === types.Outcome.answered
        ? types.Reason.answerForgotten
        : types.Reason.outcomeUnknown;
}
