/**
 * Idempotency keys: their scope, the creation time that some contain, and the fingerprint of a request.
 */
import * as crypto from "node:crypto";
import * as request from "./request.js";

/** Scopes a key by its service, so that requests to different services may use the same key. */
export function scopeKey(service: string, key: string): string {
    return `${service}/${key}`;
}

/** Hash by which a request with a known key is recognized as a repeat: method, service, path and body. */
export function computeFingerprint(serviceRequest: request.ServiceRequest): string {
    return crypto.createHash("sha256")
        .update(`${serviceRequest.method} ${serviceRequest.service} ${serviceRequest.path}\n`)
        .update(serviceRequest.body)
        .digest("base64url");
}

const uuidVersion7 = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

/** Wall-clock time in ms at which a UUIDv7 (RFC 9562) was created; undefined for other keys. */
export function parseKeyTime(key: string): number | undefined {
    const match = uuidVersion7.exec(key) ?? undefined;
    return match === undefined ? undefined : Number.parseInt(`${match[1]}${match[2]}`, 16);
}
