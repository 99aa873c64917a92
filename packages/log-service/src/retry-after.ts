/**
 * Reads the Retry-After header of RFC 9110.
 */

/** Longest delay that a Retry-After header is followed for, in ms. */
const maxRetryAfterMs = 10_000;

/**
 * Delay in ms that a Retry-After header asks for, or undefined. Only the form in seconds is understood; the delay is
 * bounded, so that a wrong header can't stop a client for long.
 */
export function parseRetryAfter(header: string | undefined): number | undefined {
    const seconds = header === undefined || header.trim() === "" ? Number.NaN : Number(header);
    return Number.isFinite(seconds) && seconds >= 0 ? Math.min(seconds * 1000, maxRetryAfterMs) : undefined;
}
