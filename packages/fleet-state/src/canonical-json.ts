/**
 * Canonical JSON: the keys of every object are sorted by UTF-16 code units, and undefined properties are omitted.
 */

/** A JSON value. */
export type Json = string | number | boolean | readonly Json[] | { readonly [key: string]: Json; };

/** Returns a copy that `JSON.stringify` serializes as canonical JSON. */
export function sortKeys(value: unknown): Json {
    if (Array.isArray(value)) {
        return value.map(sortKeys);
    }
    if (typeof value !== "object" || !value) {
        return value as Json;
    }
    const entries = Object.entries(value).filter(([, part]) => part !== undefined);
    entries.sort(([left], [right]) => (left < right ? -1 : 1));
    return Object.fromEntries(entries.map(([key, part]) => [key, sortKeys(part)]));
}
