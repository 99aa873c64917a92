/** Responses to callers' requests, and why requests are refused. */
import * as jobState from "@catkinwharf/job-state";
import * as platform from "@catkinwharf/platform";
import * as requestBody from "@catkinwharf/request-body";
import type * as authentication from "./authentication.js";
import * as loadShedder from "./load-shedder.js";

export interface JobResponse {
    readonly status: number;
    readonly body: string;
    /** Value of the Retry-After header, in seconds. */
    readonly retryAfter?: number;
    /** Authentication scheme for the WWW-Authenticate header. */
    readonly scheme?: string;
    /** Why the request failed; logged and counted only. */
    readonly reason?: string;
    /** Process that answered in place of this one; logged only. */
    readonly answeredBy?: string | undefined;
    /** Organisation of a caller that was refused because of its organisation's rate or quota; logged and counted only. */
    readonly organisation?: string | undefined;
}

/**
 * Value of Retry-After in seconds while the store is unavailable. By then, the store has probably recovered; if not,
 * the retry may reach another entry instance.
 */
const outageRetryAfter = 1;

export const queueNotFound: JobResponse = { status: 404, body: "", reason: "no such queue" };
export const noConfiguration: JobResponse = { status: 503, body: "", retryAfter: 1, reason: "no configuration yet" };
export const storeUnavailable: JobResponse = {
    status: 503,
    body: "",
    retryAfter: outageRetryAfter,
    reason: "the store is out of reach",
};
export const behindStore: JobResponse = {
    status: 503,
    body: "",
    retryAfter: outageRetryAfter,
    reason: "this process is behind the store",
};
export const stillReading: JobResponse = { ...behindStore, reason: "this process is still reading what is stored" };
/** Responses to submissions whose body wasn't read completely, so that they weren't accepted. */
export const bodyRefusals: Readonly<Record<requestBody.BodyFault | requestBody.WatchFault, JobResponse>> = {
    [requestBody.BodyFault.tooLarge]: { status: 413, body: "", reason: "the body is too large" },
    [requestBody.WatchFault.late]: { status: 408, body: "", reason: "the body took too long" },
    [requestBody.WatchFault.noMemory]: { status: 503, body: "", retryAfter: 1, reason: "no memory for the body" },
    [requestBody.BodyFault.incomplete]: {
        status: 400,
        body: "",
        reason: "the connection closed before the end of the body",
    },
};
export const unknownOutcome: JobResponse = { status: 504, body: "", reason: "the store gave no answer" };

export function createOverloadRefusal(
    { reason, wait }: loadShedder.Refusal,
    organisation: string | undefined,
    random: number,
): JobResponse {
    const isBusy = reason === loadShedder.RefusalReason.coordinatorBusy;
    const retryAfter = isBusy ? Math.ceil(wait / 1000) : loadShedder.computeRetryAfter(wait, random);
    return { status: 429, body: "", retryAfter, reason, organisation };
}

export function createKeyRefusal(fault: authentication.KeyFault): JobResponse {
    return {
        status: 401,
        body: platform.callerBodies.encodeError(fault),
        scheme: platform.callerBodies.authenticationScheme,
        reason: fault,
    };
}

/** Longest time in ms until the coordinator has removed a cancellation that may be removed; it looks every few seconds. */
const removalTime = 10_000;

/** The caller has cancelled too many unknown jobs to have this one kept; nothing was stored. `wait` is in ms. */
export function createCancellationRefusal(wait: number, organisation: string | undefined): JobResponse {
    const reason = "too many cancellations of unknown jobs";
    return { status: 429, body: "", retryAfter: Math.ceil(wait / 1000), reason, organisation };
}

/** The job was cancelled `age` ms ago, before it was stored, and never runs. */
export function createCancelledRefusal(age: number): JobResponse {
    const left = jobState.advanceCancellationTime + removalTime - Math.max(0, age);
    return {
        status: 429,
        body: "",
        retryAfter: Math.max(1, Math.ceil(left / 1000)),
        reason: "the job was cancelled before it was stored",
    };
}

/** A job of another organisation has the ID; callers aren't told so. */
export const idUnusable: JobResponse = { status: 400, body: "", reason: "the job ID belongs to another organisation" };

/** Status 410, because 404 stands for an unknown queue. */
export const jobNotFound: JobResponse = { status: 410, body: "", reason: "no such job" };
export const accepted: JobResponse = { status: 200, body: "{}" };
