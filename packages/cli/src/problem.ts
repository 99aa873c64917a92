/**
 * Turns refusals of the operator port into errors of the command line.
 */
import * as commandError from "./command-error.js";
import * as transport from "./transport.js";

const tryAnother = "Check that it runs and is ready, or name another entry instance with --url.";

/** Fault and next step of the statuses that mean something of their own. */
const refusals: Readonly<Record<number, Pick<commandError.CommandError, "fault" | "nextStep"> | undefined>> = {
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
    503: { fault: commandError.CommandFault.unreachable, nextStep: tryAnother },
};

const otherRefusal: Pick<commandError.CommandError, "fault" | "nextStep"> = {
    fault: commandError.CommandFault.invalid,
    nextStep: "Correct the command. Nothing was changed.",
};

/** The entry instance could not be asked. */
export function createUnreachable(reason: string): commandError.CommandError {
    return commandError.createError(
        commandError.CommandFault.unreachable,
        `the entry instance can't be reached: ${reason}`,
        tryAnother,
    );
}

/** The entry instance refused to do what it was asked. */
export function createRefusal(answer: transport.Answer): commandError.CommandError {
    const refusal = refusals[answer.status] ?? otherRefusal;
    const detail = readDetail(answer.document);
    const reason = `the entry instance refused (HTTP ${answer.status})${detail === "" ? "" : `: ${detail}`}`;
    return commandError.createError(refusal.fault, reason, refusal.nextStep);
}

/** Detail of an RFC 9457 problem document; empty if there is none. */
function readDetail(document: unknown): string {
    if (typeof document !== "object" || !document) {
        return "";
    }
    const detail: unknown = "detail" in document ? document.detail : "reason" in document ? document.reason : "";
    return typeof detail === "string" ? detail : "";
}
