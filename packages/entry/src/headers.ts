/**
 * Header fields: which ones are forwarded, and how those addressed to the entry process are parsed.
 */
import * as schema from "@catkinwharf/schema";
import * as types from "@catkinwharf/types";
import * as structuredHeaders from "structured-headers";

/** Fields that concern one connection only (RFC 9110, section 7.6.1), or that each side generates itself. */
const hopByHopFields: ReadonlySet<string> = new Set([
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

const reservedFieldPrefix = "catkinwharf-";

/** Header fields as Node.js and undici provide them. */
export type RawFields = Readonly<Record<string, string | readonly string[] | undefined>>;

/** Lists the fields to forward, as one name and value pair for each value. */
export function listForwardedFields(fields: RawFields): schema.peer.Header[] {
    const connectionOptions = parseConnectionField(fields["connection"]);
    return Object.entries(fields)
        .filter(([name]) =>
            !hopByHopFields.has(name) && !connectionOptions.has(name) && !name.startsWith(reservedFieldPrefix)
        )
        .flatMap(([name, value]) => listValues(value).map(single => ({ name, value: single })));
}

/** Names of the fields that the `Connection` field declares hop-by-hop. */
function parseConnectionField(value: string | readonly string[] | undefined): ReadonlySet<string> {
    return new Set(listValues(value).flatMap(text => text.split(",")).map(name => name.trim().toLowerCase()));
}

function listValues(value: string | readonly string[] | undefined): readonly string[] {
    if (value === undefined) {
        return [];
    }
    return typeof value === "string" ? [value] : value;
}

/** First value of a field; undefined if the field is missing. */
export function readField(fields: RawFields, name: string): string | undefined {
    return listValues(fields[name])[0];
}

/** Urgency from the `Priority` field (RFC 9218); a malformed field is treated as absent, as the RFC requires. */
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

/** Time limit in ms from the caller's field, at most `maxMs`; undefined if the field is malformed. */
export function readTimeout(field: string | undefined, defaultMs: number, maxMs: number): number | undefined {
    if (field === undefined) {
        return Math.min(defaultMs, maxMs);
    }
    return /^[1-9][0-9]{0,8}$/.test(field) ? Math.min(Number(field), maxMs) : undefined;
}

/**
 * Key from an `Idempotency-Key` field; undefined if the field is malformed.
 * The field is a structured string, but an unquoted token or UUID is accepted too, because many callers send one.
 */
export function readIdempotencyKey(field: string): string | undefined {
    const bare = /^"(.*)"$/.exec(field)?.[1] ?? field;
    return /^[\x21\x23-\x5b\x5d-\x7e]{1,200}$/.test(bare) ? bare : undefined;
}
