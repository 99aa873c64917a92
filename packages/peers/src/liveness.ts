/**
 * Decides when a connection that stopped answering is given up. Reads no clock.
 */

/** Checks in a row that must find the connection silent. The second lets bytes be read that came during a pause. */
const checksInRow = 2;

/** What is known of the answers of one connection. */
export interface Liveness {
    /** Time (ms) at which the newest answered heartbeat was sent, or at which the connection began. */
    readonly provenAt: number;
    /** Checks in a row that found it silent. */
    readonly silentChecks: number;
}

/** State of a connection that begins now. */
export function startLiveness(now: number): Liveness {
    return { provenAt: now, silentChecks: 0 };
}

/** An answer came to a heartbeat that was sent at `sentAt`. */
export function proveLiveness(liveness: Liveness, sentAt: number): Liveness {
    return { provenAt: Math.max(liveness.provenAt, sentAt), silentChecks: 0 };
}

/** State after one check. */
export function checkLiveness(liveness: Liveness, now: number, timeoutMs: number): Liveness {
    const isSilent = now - liveness.provenAt > timeoutMs;
    return { ...liveness, silentChecks: isSilent ? liveness.silentChecks + 1 : 0 };
}

/** Whether the connection is to be given up. */
export function isGivenUp(liveness: Liveness): boolean {
    return liveness.silentChecks >= checksInRow;
}
