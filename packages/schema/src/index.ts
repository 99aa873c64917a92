/**
 * Types and validators of everything that crosses a process boundary.
 *
 * Each schema file is a namespace of types; `validators` holds a check for each message that is read.
 */
export type * as log from "#log";
export type * as operator from "#operator";
export type * as peer from "#peer";
export type * as platform from "#platform";
export type * as settings from "#settings";

import * as generated from "#validators";

/** Generated checks, named after the schema file and the definition. */
export const validators = generated;

/** What a failed check leaves on its function. */
interface CheckFailure {
    readonly instancePath: string;
    readonly message?: string;
    readonly keyword: string;
    readonly params: Readonly<Record<string, unknown>>;
}

/** Text for the first failure of a check: the place in the document and the reason. */
export function describeFailure(failures: readonly CheckFailure[] | null | undefined): string {
    const first = failures?.[0];
    if (first === undefined) {
        return "valid";
    }
    const place = first.instancePath === "" ? "document" : first.instancePath.slice(1).replaceAll("/", ".");
    const extra = first.params["additionalProperty"] ?? first.params["allowedValues"]
        ?? first.params["missingProperty"];
    const detail = extra === undefined || first.keyword === "required" ? "" : ` (${JSON.stringify(extra)})`;
    return `${place}: ${first.message ?? first.keyword}${detail}`;
}
