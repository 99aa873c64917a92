/**
 * Header fields: which ones pass through the entry process, and how the ones meant for it are read.
 */
import * as schema from "@catkinwharf/schema";
import * as types from "@catkinwharf/types";
import * as structuredHeaders from "structured-headers";

/** Fields that concern one connection only (RFC 9110, section 7.6.1), or that each side writes anew. */
const connectionFields: ReadonlySet<string> = new Set([
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
]);

const ownFieldPrefix = "catkinwharf-";

/** Fields as Node.js gives them. */
export type RawFields = Readonly<Record<string, string | readonly string[] | undefined>>;

/** The fields that are passed on, as name and value pairs. */
export function listPassedFields(fields: RawFields): schema.peer.Header[] {
    const named = nameConnectionFields(fields["connection"]);
    return Object.entries(fields)
        .filter(([name]) => !connectionFields.has(name) && !named.has(name) && !name.startsWith(ownFieldPrefix))
        .flatMap(([name, value]) => listValues(value).map(single => ({ name, value: single })));
}

/** Fields that the `Connection` field names belong to the connection too. */
function nameConnectionFields(value: string | readonly string[] | undefined): ReadonlySet<string> {
    return new Set(listValues(value).flatMap(text => text.split(",")).map(name => name.trim().toLowerCase()));
}

function listValues(value: string | readonly string[] | undefined): readonly string[] {
    if (value === undefined) {
        return [];
    }
    return typeof value === "string" ? [value] : value;
}

/** The first value of a field, or undefined. */
export function readField(fields: RawFields, name: string): string | undefined {
    return listValues(fields[name])[0];
}

/** Urgency from the `Priority` field (RFC 9218); a malformed field counts as absent, as the RFC asks. */
export function readUrgency(field: string | undefined): number {
    if (field === undefined) {
        return types.Urgency.default;
    }
    try {
        const urgency = structuredHeaders.parseDictionary(field).get("u")?.[0];
        return typeof urgency === "number" && isUrgency(urgency) ? urgency : types.Urgency.default;
    }
    catch {
        return types.Urgency.default;
    }
}

function isUrgency(value: number): boolean {
    return Number.isInteger(value) && value >= types.Urgency.highest && value <= types.Urgency.lowest;
}

/** Time limit in ms from the caller's field; undefined if malformed. */
export function readTimeout(field: string | undefined, defaultMs: number, maxMs: number): number | undefined {
    if (field === undefined) {
        return Math.min(defaultMs, maxMs);
    }
    return /^[1-9][0-9]{0,8}$/.test(field) ? Math.min(Number(field), maxMs) : undefined;
}

/**
 * The key in an `Idempotency-Key` field; undefined if malformed.
 * The field is a structured string; a bare token or UUID is taken too, since many callers send it so.
 */
export function readIdempotencyKey(field: string): string | undefined {
    const bare = /^"(.*)"$/.exec(field)?.[1] ?? field;
    return /^[\x21\x23-\x5b\x5d-\x7e]{1,200}$/.test(bare) ? bare : undefined;
}
