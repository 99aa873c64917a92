/**
 * Creates command errors for requests that an operator port refused or did not answer.
 */
import * as commandError from "./command-error.js";
import * as transport from "./transport.js";

const unreachableNextStep = "Check that it runs and is ready, or name another entry instance with --url.";

/** Fault and next step for HTTP statuses with a specific meaning; `defaultError` is for all others. */
const errorsByStatus: Readonly<Record<number, Pick<commandError.CommandError, "fault" | "nextStep"> | undefined>> = {
    401: {
        fault: commandError.CommandFault.unauthorized,
        nextStep: "Give the key that the entry instance's settings hold as security.operatorKey.",
    },
    403: {
        fault: commandError.CommandFault.unauthorized,
        nextStep: "Give the key that the entry instance's settings hold as security.operatorKey.",
    },
    404: {
        fault: commandError.CommandFault.invalid,
        nextStep: "Check the name; `catkinwharf status` lists what there is.",
    },
    503: { fault: commandError.CommandFault.unreachable, nextStep: unreachableNextStep },
};

const defaultError: Pick<commandError.CommandError, "fault" | "nextStep"> = {
    fault: commandError.CommandFault.invalid,
    nextStep: "Correct the command. Nothing was changed.",
};

/** Error for a request without a usable response. */
export function createUnreachableError(reason: string): commandError.CommandError {
    return commandError.createError(
        commandError.CommandFault.unreachable,
        `the entry instance can't be reached: ${reason}`,
        unreachableNextStep,
    );
}

/** Error for a response whose HTTP status refuses the request. */
export function createRefusedError(response: transport.HttpResponse): commandError.CommandError {
    const statusError = errorsByStatus[response.status] ?? defaultError;
    const detail = readDetail(response.document);
    const reason = `the entry instance refused (HTTP ${response.status})${detail === "" ? "" : `: ${detail}`}`;
    return commandError.createError(statusError.fault, reason, statusError.nextStep);
}

/** `detail` of an RFC 9457 problem document, else `reason`; empty if there is neither. */
function readDetail(document: unknown): string {
    if (typeof document !== "object" || !document) {
        return "";
    }
    const detail: unknown = "detail" in document ? document.detail : "reason" in document ? document.reason : "";
    return typeof detail === "string" ? detail : "";
}
