/**
 * Errors of the command line. Each has a reason, a next step for the operator and an exit code.
 */
import * as errors from "@catkinwharf/errors";
import * as schema from "@catkinwharf/schema";
import * as settings from "@catkinwharf/settings";
import * as exitCode from "./exit-code.js";

export const CommandFault = {
    /** Wrong arguments, an unusable file, or a refused change. */
    invalid: "invalid",
    /** Another change took effect first. */
    conflict: "conflict",
    /** It is unknown whether the change took effect. */
    unknown: "unknown",
    /** No usable response, or the entry instance isn't ready; nothing was changed. */
    unreachable: "unreachable",
    /** The operator key is missing or wrong. */
    unauthorized: "unauthorized",
} as const;

export type CommandFault = (typeof CommandFault)[keyof typeof CommandFault];

export interface CommandError {
    readonly layer: "command";
    readonly fault: CommandFault;
    readonly reason: string;
    /** What the operator should do now. */
    readonly nextStep: string;
    /** Change answer of the entry instance, if it sent one. */
    readonly answer?: schema.operator.ChangeAnswer | undefined;
}

/** Exit code of each fault. */
export const faultExitCodes: Readonly<Record<CommandFault, exitCode.ExitCode>> = {
    [CommandFault.invalid]: exitCode.ExitCode.invalid,
    [CommandFault.conflict]: exitCode.ExitCode.conflict,
    [CommandFault.unknown]: exitCode.ExitCode.unknown,
    [CommandFault.unreachable]: exitCode.ExitCode.unreachable,
    [CommandFault.unauthorized]: exitCode.ExitCode.unauthorized,
};

export function createError(
    fault: CommandFault,
    reason: string,
    nextStep: string,
    answer?: schema.operator.ChangeAnswer,
): CommandError {
    return { layer: "command", fault, reason, nextStep, answer };
}

/** Converts a settings error to a command error. */
export function fromSettingsError(error: errors.SettingsError): CommandError {
    return createError(
        CommandFault.invalid,
        settings.describeError(error),
        "Correct the file and run the command again.",
    );
}

/** Renders an error for the terminal: one line for the reason, one for the next step. */
export function describeError(error: CommandError): string {
    return `error: ${error.reason}\nnext:  ${error.nextStep}`;
}
