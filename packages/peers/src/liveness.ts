/**
 * Decides when an unresponsive connection has timed out. The caller passes the time.
 */

/**
 * Number of consecutive checks that must find the connection silent. After the process was paused, answers that arrived
 * meanwhile are read between the first check and the second.
 */
const requiredSilentChecks = 2;

/** State of one connection. */
export interface Liveness {
    /** Time (ms) at which the newest answered heartbeat was sent, or at which the connection was established. */
    readonly lastAliveAt: number;
    /** Number of consecutive checks that found the connection silent. */
    readonly silentChecks: number;
}

/** Returns the state of a connection that is established at `now`. */
export function startLiveness(now: number): Liveness {
    return { lastAliveAt: now, silentChecks: 0 };
}

/** Returns the state after an answer to a heartbeat that was sent at `sentAt`. */
export function confirmLiveness(liveness: Liveness, sentAt: number): Liveness {
    return { lastAliveAt: Math.max(liveness.lastAliveAt, sentAt), silentChecks: 0 };
}

/** Returns the state after one check. */
export function updateLiveness(liveness: Liveness, now: number, timeoutMs: number): Liveness {
    const isSilent = now - liveness.lastAliveAt > timeoutMs;
    return { ...liveness, silentChecks: isSilent ? liveness.silentChecks + 1 : 0 };
}

/** Whether the connection has timed out and must be closed. */
export function isTimedOut(liveness: Liveness): boolean {
    return liveness.silentChecks >= requiredSilentChecks;
}
