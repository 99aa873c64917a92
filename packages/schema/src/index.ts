/**
 * Types and validators of messages, log records and settings files.
 *
 * Each schema file is a namespace of types; `validators` contains a function for each definition that is validated at
 * run time.
 */
export type * as log from "#log";
export type * as operator from "#operator";
export type * as peer from "#peer";
export type * as platform from "#platform";
export type * as settings from "#settings";

import * as generated from "#validators";

/** Generated validators, named after the schema file and the definition. */
export const validators = generated;

/** The part of Ajv's `ErrorObject` that `describeFailure` uses. */
interface ValidationError {
    readonly instancePath: string;
    readonly message?: string;
    readonly keyword: string;
    readonly params: Readonly<Record<string, unknown>>;
}

/** Describes the first validation error: its location in the document and the reason. */
export function describeFailure(errors: readonly ValidationError[] | null | undefined): string {
    const first = errors?.[0];
    if (first === undefined) {
        return "valid";
    }
    const location = first.instancePath === "" ? "document" : first.instancePath.slice(1).replaceAll("/", ".");
    const value = first.params["additionalProperty"] ?? first.params["allowedValues"]
        ?? first.params["missingProperty"];
    const detail = value === undefined || first.keyword === "required" ? "" : ` (${JSON.stringify(value)})`;
    return `${location}: ${first.message ?? first.keyword}${detail}`;
}
