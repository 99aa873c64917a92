/**
 * What the end of an append says about its effect.
 */
import * as errors from "@catkinwharf/errors";
import * as schema from "@catkinwharf/schema";
import type * as neverthrow from "neverthrow";
import * as answers from "./answers.js";
import type * as connection from "./connection.js";
import * as retryAfter from "./retry-after.js";

/** How an append ended. */
export const AppendEffect = {
    /** It took effect. */
    appended: "appended",
    /** It had no effect; the same append may succeed later. */
    none: "none",
    /** It had no effect and never will: the platform refuses the content. */
    refused: "refused",
    /** It may have taken effect, or may still do so. */
    unknown: "unknown",
} as const;

export type AppendVerdict =
    | { readonly effect: typeof AppendEffect.appended; readonly firstOffset: number; }
    | {
        readonly effect: typeof AppendEffect.none;
        readonly reason: string;
        /** Delay that the platform asked for, in ms. */
        readonly retryAfterMs: number | undefined;
    }
    | { readonly effect: typeof AppendEffect.refused; readonly reason: string; }
    | { readonly effect: typeof AppendEffect.unknown; readonly reason: string; };

const statusTooManyRequests = 429;
const statusServiceUnavailable = 503;
/** Client errors that don't speak of the content. */
const statusRequestTimeout = 408;

/** Judges the outcome of an append of `count` records. */
export function judgeAppend(
    outcome: neverthrow.Result<connection.Answer, errors.PlatformError>,
    count: number,
): AppendVerdict {
    if (outcome.isErr()) {
        return outcome.error.fault === errors.PlatformFault.unreachable
            ? { effect: AppendEffect.none, reason: outcome.error.fault, retryAfterMs: undefined }
            : { effect: AppendEffect.unknown, reason: outcome.error.fault };
    }
    const answer = outcome.value;
    if (answer.status === statusTooManyRequests || answer.status === statusServiceUnavailable) {
        const retryAfterMs = retryAfter.parseRetryAfter(answer.retryAfter);
        return { effect: AppendEffect.none, reason: `status-${answer.status}`, retryAfterMs };
    }
    if (answers.isSuccess(answer.status)) {
        return judgeMessage(answer, count);
    }
    const isContentError = answer.status >= 400 && answer.status < 500 && answer.status !== statusRequestTimeout;
    return isContentError
        ? { effect: AppendEffect.refused, reason: answers.createRefusal(answer).reason }
        : { effect: AppendEffect.unknown, reason: `status-${answer.status}` };
}

function judgeMessage(answer: connection.Answer, count: number): AppendVerdict {
    const message = answers.readMessage(answer, schema.validators.platformAppendAnswer);
    return message.isOk() && message.value.nextOffset - message.value.firstOffset === count
        ? { effect: AppendEffect.appended, firstOffset: message.value.firstOffset }
        : { effect: AppendEffect.unknown, reason: errors.PlatformFault.malformed };
}
