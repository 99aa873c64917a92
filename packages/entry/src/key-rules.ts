/**
 * Rules for idempotency keys: how they are scoped, which carry their own time, and what a request's fingerprint is.
 */
import * as crypto from "node:crypto";
import * as request from "./request.js";

/** Keys are scoped by service, so that two services may use the same key. */
export function scopeKey(service: string, key: string): string {
    return `${service}/${key}`;
}

/** Hash of what makes two requests with one key the same request. */
export function computeFingerprint(question: request.ServiceRequest): string {
    return crypto.createHash("sha256")
        .update(`${question.method} ${question.service} ${question.path}\n`)
        .update(question.body)
        .digest("base64url");
}

const uuidVersion7 = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

/** Wall-clock time in ms at which a UUIDv7 (RFC 9562) was made; undefined for other keys. */
export function readKeyTime(key: string): number | undefined {
    const match = uuidVersion7.exec(key) ?? undefined;
    return match === undefined ? undefined : Number.parseInt(`${match[1]}${match[2]}`, 16);
}
