/**
 * Delay before a retry: exponential, with full jitter (Brooker, "Exponential Backoff And Jitter", 2015).
 */

const baseMs = 10;
const maxMs = 1000;

/** Delay in ms before the retry that follows attempt number `attempt` (from 1); `random` is in [0, 1). */
export function computeBackoff(attempt: number, random: number): number {
    const ceilingMs = Math.min(maxMs, baseMs * 2 ** Math.max(0, attempt - 1));
    return random * ceilingMs;
}
