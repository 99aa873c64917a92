/**
 * What a change's answer means to the operator. A change is sent once; a lost answer is reported as unknown.
 */
import * as schema from "@catkinwharf/schema";
import * as neverthrow from "neverthrow";
import * as commandError from "./command-error.js";
import * as problem from "./problem.js";
import * as refusal from "./refusal.js";
import * as transport from "./transport.js";

/** A change and what its operator should do when it does not simply succeed. */
export interface Change {
    /** What is changed, for messages. */
    readonly subject: string;
    readonly question: transport.Question;
    /** What a conflict means here. */
    readonly conflictReason: string;
    /** Next step after a conflict, given the version that won. */
    readonly conflictStep: (winningVersion: number) => string;
    /** Next step when the change may have taken effect. */
    readonly unknownStep: string;
}

type ChangeResult = neverthrow.Result<schema.operator.ChangeAnswer, commandError.CommandError>;

/** Longer than an entry instance waits for the platform's log before it answers `unknown`, in ms. */
export const changeTimeoutMs = 30_000;

/** Statuses whose body is a change answer. */
const answeredStatuses: ReadonlySet<number> = new Set([200, 202, 409, 422, 503]);

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
                change.conflictStep(answer.version),
                answer,
            ),
        ),
    invalid: (change, answer) => {
        const { text, nextStep } = refusal.explainRefusal(answer.reason);
        return neverthrow.err(
            commandError.createError(
                commandError.CommandFault.invalid,
                `${change.subject}: ${text}`,
                nextStep ?? "Correct it and run the command again. Nothing was changed.",
                answer,
            ),
        );
    },
    unknown: (change, answer) => neverthrow.err(createUnknown(change, answer.reason, answer)),
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

/** Stops have no version, so that theirs is 0. */
function describeVersion(version: number): string {
    return version === 0 ? "" : `; version ${version} is in force`;
}

/** Judges the exchange of a change. */
export function judgeChange(
    change: Change,
    exchanged: neverthrow.Result<transport.Answer, transport.TransportError>,
): ChangeResult {
    return exchanged
        .mapErr(error => judgeFailure(change, error))
        .andThen(answer => judgeAnswer(change, answer));
}

function judgeFailure(change: Change, error: transport.TransportError): commandError.CommandError {
    return error.fault === transport.TransportFault.unsent
        ? problem.createUnreachable(error.reason)
        : createUnknown(change, `the answer was lost (${error.reason})`);
}

function judgeAnswer(change: Change, answer: transport.Answer): ChangeResult {
    const check = schema.validators.operatorChangeAnswer;
    if (answeredStatuses.has(answer.status) && check(answer.document)) {
        return statusHandlers[answer.document.status](change, answer.document);
    }
    const isRefusal = answer.status >= 400 && answer.status < 500 || answer.status === 503;
    return neverthrow.err(
        isRefusal
            ? problem.createRefusal(answer)
            : createUnknown(change, `the answer (HTTP ${answer.status}) can't be read`),
    );
}

function createUnknown(
    change: Change,
    reason: string,
    answer?: schema.operator.ChangeAnswer,
): commandError.CommandError {
    return commandError.createError(
        commandError.CommandFault.unknown,
        `${change.subject}: the change may have taken effect: ${reason}`,
        change.unknownStep,
        answer,
    );
}
