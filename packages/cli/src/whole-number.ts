/**
 * Parses options whose value is a whole number.
 */
import * as neverthrow from "neverthrow";
import * as commandError from "./command-error.js";

/** Parses a non-negative integer; undefined if the option was not given. */
export function parseWholeNumber(
    option: string,
    text: string | undefined,
): neverthrow.Result<number | undefined, commandError.CommandError> {
    if (text === undefined) {
        return neverthrow.ok(undefined);
    }
    const value = Number(text);
    return /^[0-9]+$/.test(text) && Number.isSafeInteger(value)
        ? neverthrow.ok(value)
        : neverthrow.err(
            commandError.createError(
                commandError.CommandFault.invalid,
                `${option} must be a whole number, not ${JSON.stringify(text)}`,
                `Give ${option} as digits.`,
            ),
        );
}
