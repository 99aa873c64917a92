/**
 * What a claimant knows of a key's request, and what the caller of a repeated request is told of it.
 */
import * as fleetState from "@catkinwharf/fleet-state";
import * as schema from "@catkinwharf/schema";
import * as types from "@catkinwharf/types";
import * as request from "./request.js";

/** What the claimant answers to a peer's question. */
export interface KeyKnowledge {
    readonly state: schema.peer.KeyAnswer["state"];
    readonly answer: request.Answered | undefined;
}

/** Knowledge from a result; undefined stands for a request that still runs. */
export function describeResult(result: request.RequestResult | undefined): KeyKnowledge {
    if (result === undefined) {
        return { state: "running", answer: undefined };
    }
    if (result.outcome === types.Outcome.answered) {
        return { state: "answered", answer: result };
    }
    return { state: result.outcome, answer: undefined };
}

/** What a repeated request is told; `knowledge` is undefined if the claimant can't be reached. */
export function describeKnowledge(
    knowledge: KeyKnowledge | undefined,
    claim: fleetState.ClaimState,
): request.RequestResult {
    if (knowledge?.answer !== undefined) {
        return knowledge.answer;
    }
    if (knowledge?.state === "running") {
        return request.createUnknown(types.Reason.keyRunning);
    }
    if (knowledge?.state === "not-run") {
        return request.createUnknown(types.Reason.claimUnconfirmed);
    }
    return request.createUnknown(describeSettlement(claim, knowledge !== undefined));
}

/** A holder that answers, and no longer runs the request, is not lost; it knows no answer. */
function describeSettlement(claim: fleetState.ClaimState, holderAnswers: boolean): types.Reason {
    if (claim.settled === undefined) {
        return holderAnswers ? types.Reason.outcomeUnknown : types.Reason.keyHolderLost;
    }
    return claim.settled.outcome === types.Outcome.answered
        ? types.Reason.answerForgotten
        : types.Reason.outcomeUnknown;
}
