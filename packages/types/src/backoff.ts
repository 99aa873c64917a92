/**
 * Delay before a retry: exponential backoff with full jitter, after M. Brooker, "Exponential Backoff And Jitter".
 */

/** Upper bound of the first delay, in ms. */
export const firstBackoffMs = 50;
/** Upper bound of every delay, in ms. */
export const maxBackoffMs = 2000;

/** Limit of the exponent; `maxBackoffMs` is reached long before. */
const maxDoublings = 16;

/**
 * Delay in ms before the retry that follows `failures` consecutive failures.
 *
 * @param random number in [0, 1)
 */
export function computeBackoff(failures: number, random: number): number {
    const doublings = Math.min(Math.max(failures - 1, 0), maxDoublings);
    const bound = Math.min(maxBackoffMs, firstBackoffMs * 2 ** doublings);
    return bound * random;
}
