/**
 * Parses the Retry-After header (RFC 9110).
 */

/** Maximum delay that a Retry-After header can set, in ms. */
const maxRetryAfterMs = 10_000;

/**
 * Parses the delay (ms) of a Retry-After header; undefined if there is none. Only the form in seconds is supported. The
 * delay is capped so that a wrong header can't block a client for long.
 */
export function parseRetryAfter(header: string | undefined): number | undefined {
    const seconds = header === undefined || header.trim() === "" ? Number.NaN : Number(header);
    return Number.isFinite(seconds) && seconds >= 0 ? Math.min(seconds * 1000, maxRetryAfterMs) : undefined;
}
