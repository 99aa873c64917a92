/**
 * Canonical JSON: the keys of every object sorted by code units, properties without a value left out.
 */

/** A JSON value. */
export type Json = string | number | boolean | readonly Json[] | { readonly [key: string]: Json; };

/** A copy that `JSON.stringify` turns into canonical JSON. */
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
