/**
 * Errors of the command line. Each says what went wrong and what to do next, and has an exit code.
 */
import * as errors from "@catkinwharf/errors";
import * as schema from "@catkinwharf/schema";
import * as settings from "@catkinwharf/settings";
import * as exitCode from "./exit-code.js";

export const CommandFault = {
    /** Wrong arguments, an unusable file, or a refused change. */
    invalid: "invalid",
    /** Another change came first. */
    conflict: "conflict",
    /** Whether the change took effect is not known. */
    unknown: "unknown",
    /** No usable answer; nothing was changed. */
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
    /** Answer of the entry instance, where there was one. */
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

/** Turns an error of a settings file into one of the command line. */
export function fromSettingsError(error: errors.SettingsError): CommandError {
    return createError(
        CommandFault.invalid,
        settings.describeError(error),
        "Correct the file and run the command again.",
    );
}

/** Text for the terminal: one line for the reason, one for the next step. */
export function describeError(error: CommandError): string {
    return `error: ${error.reason}\nnext:  ${error.nextStep}`;
}
