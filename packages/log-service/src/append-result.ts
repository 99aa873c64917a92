/**
 * Classifies the outcome of an append request by its effect on the log.
 */
import * as errors from "@catkinwharf/errors";
import * as schema from "@catkinwharf/schema";
import type * as neverthrow from "neverthrow";
import type * as connection from "./connection.js";
import * as responses from "./responses.js";
import * as retryAfter from "./retry-after.js";

/** Effect of an append request. */
export const AppendEffect = {
    /** It took effect. */
    appended: "appended",
    /** It had no effect; the same append may succeed later. */
    none: "none",
    /** It had no effect and never will: the platform rejects the content. */
    refused: "refused",
    /** It may have taken effect, or may still take effect. */
    unknown: "unknown",
} as const;

export type AppendResult =
    | { readonly effect: typeof AppendEffect.appended; readonly firstOffset: number; }
    | {
        readonly effect: typeof AppendEffect.none;
        readonly reason: string;
        /** Delay requested by the platform, in ms. */
        readonly retryAfterMs: number | undefined;
    }
    | { readonly effect: typeof AppendEffect.refused; readonly reason: string; }
    | { readonly effect: typeof AppendEffect.unknown; readonly reason: string; };

const statusTooManyRequests = 429;
const statusServiceUnavailable = 503;
/** Client error that says nothing about the content of the request. */
const statusRequestTimeout = 408;

/** Classifies the outcome of an append of `count` records. */
export function classifyAppend(
    outcome: neverthrow.Result<connection.HttpResponse, errors.PlatformError>,
    count: number,
): AppendResult {
    if (outcome.isErr()) {
        return outcome.error.fault === errors.PlatformFault.unreachable
            ? { effect: AppendEffect.none, reason: outcome.error.fault, retryAfterMs: undefined }
            : { effect: AppendEffect.unknown, reason: outcome.error.fault };
    }
    const response = outcome.value;
    if (response.status === statusTooManyRequests || response.status === statusServiceUnavailable) {
        const retryAfterMs = retryAfter.parseRetryAfter(response.retryAfter);
        return { effect: AppendEffect.none, reason: `status-${response.status}`, retryAfterMs };
    }
    if (responses.isSuccess(response.status)) {
        return classifySuccess(response, count);
    }
    const isContentError = response.status >= 400 && response.status < 500 && response.status !== statusRequestTimeout;
    return isContentError
        ? { effect: AppendEffect.refused, reason: responses.createRefusedError(response).reason }
        : { effect: AppendEffect.unknown, reason: `status-${response.status}` };
}

function classifySuccess(response: connection.HttpResponse, count: number): AppendResult {
    const message = responses.parseMessage(response, schema.validators.platformAppendAnswer);
    return message.isOk() && message.value.nextOffset - message.value.firstOffset === count
        ? { effect: AppendEffect.appended, firstOffset: message.value.firstOffset }
        : { effect: AppendEffect.unknown, reason: errors.PlatformFault.malformed };
}
