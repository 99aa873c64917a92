/**
 * Converts the response to a change into a result for the operator. A change is sent once; when its response is lost,
 * the outcome is reported as unknown.
 */
import * as schema from "@catkinwharf/schema";
import * as neverthrow from "neverthrow";
import * as commandError from "./command-error.js";
import * as reasonCode from "./reason-code.js";
import * as requestError from "./request-error.js";
import * as transport from "./transport.js";

/** A change request, and what the operator should do when it is not accepted. */
export interface Change {
    /** Name of the object that is changed, for messages. */
    readonly subject: string;
    readonly request: transport.HttpRequest;
    /** Cause of a conflict, for messages. */
    readonly conflictReason: string;
    /** Next step after a conflict, given the version that is in force. */
    readonly conflictNextStep: (winningVersion: number) => string;
    /** Next step when the change may have taken effect. */
    readonly unknownNextStep: string;
}

type ChangeResult = neverthrow.Result<schema.operator.ChangeAnswer, commandError.CommandError>;

/** Response timeout in ms; longer than an entry instance waits for the platform's log before it answers `unknown`. */
export const changeTimeoutMs = 30_000;

/** HTTP statuses whose body can be a change answer. */
const changeAnswerStatuses: ReadonlySet<number> = new Set([200, 202, 409, 422, 503]);

const statusHandlers: Readonly<
    Record<
        schema.operator.ChangeAnswer["status"],
        (change: Change, answer: schema.operator.ChangeAnswer) => ChangeResult
    >
> = {
    accepted: (_change, answer) => neverthrow.ok(answer),
    conflict: (change, answer) =>
        neverthrow.err(
            commandError.createError(
                commandError.CommandFault.conflict,
                `${change.subject}: ${change.conflictReason}${describeVersion(answer.version)}`,
                change.conflictNextStep(answer.version),
                answer,
            ),
        ),
    invalid: (change, answer) => {
        const { text, nextStep } = reasonCode.explainReasonCode(answer.reason);
        return neverthrow.err(
            commandError.createError(
                commandError.CommandFault.invalid,
                `${change.subject}: ${text}`,
                nextStep ?? "Correct it and run the command again. Nothing was changed.",
                answer,
            ),
        );
    },
    unknown: (change, answer) => neverthrow.err(createUnknownOutcomeError(change, answer.reason, answer)),
    unavailable: (change, answer) =>
        neverthrow.err(
            commandError.createError(
                commandError.CommandFault.unreachable,
                `${change.subject}: ${answer.reason}`,
                "Run the command again when `catkinwharf status` shows contact with the log. Nothing was changed.",
                answer,
            ),
        ),
};

/** Empty for version 0: stops have no version, and their answers hold 0. */
function describeVersion(version: number): string {
    return version === 0 ? "" : `; version ${version} is in force`;
}

/** Converts a received response or a transport error to the result of a change. */
export function interpretChange(
    change: Change,
    result: neverthrow.Result<transport.HttpResponse, transport.TransportError>,
): ChangeResult {
    return result
        .mapErr(error => interpretTransportError(change, error))
        .andThen(response => interpretResponse(change, response));
}

function interpretTransportError(change: Change, error: transport.TransportError): commandError.CommandError {
    return error.fault === transport.TransportFault.unsent
        ? requestError.createUnreachableError(error.reason)
        : createUnknownOutcomeError(change, `the answer was lost (${error.reason})`);
}

function interpretResponse(change: Change, response: transport.HttpResponse): ChangeResult {
    const isChangeAnswer = schema.validators.operatorChangeAnswer;
    if (changeAnswerStatuses.has(response.status) && isChangeAnswer(response.document)) {
        return statusHandlers[response.document.status](change, response.document);
    }
    const isRefusal = response.status >= 400 && response.status < 500 || response.status === 503;
    return neverthrow.err(
        isRefusal
            ? requestError.createRefusedError(response)
            : createUnknownOutcomeError(change, `the answer (HTTP ${response.status}) can't be read`),
    );
}

function createUnknownOutcomeError(
    change: Change,
    reason: string,
    answer?: schema.operator.ChangeAnswer,
): commandError.CommandError {
    return commandError.createError(
        commandError.CommandFault.unknown,
        `${change.subject}: the change may have taken effect: ${reason}`,
        change.unknownNextStep,
        answer,
    );
}
