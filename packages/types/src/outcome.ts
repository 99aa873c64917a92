/**
 * Outcome of a request, which every response to a caller reports.
 */
export const Outcome = {
    /** A backend server sent a complete response. */
    answered: "answered",
    /** The request was not run and never will be. */
    notRun: "not-run",
    /** The request may have run; its response is not known. */
    unknown: "unknown",
} as const;

export type Outcome = (typeof Outcome)[keyof typeof Outcome];

/** Header that carries the outcome. */
export const outcomeHeader = "catkinwharf-outcome";
/** Header that carries the reason code of an outcome other than `answered`. */
export const reasonHeader = "catkinwharf-reason";
/** Header in which a caller sets the deadline, in ms after the arrival of the request. */
export const timeoutHeader = "catkinwharf-timeout-ms";
/** Header that correlates a request to a backend server with its response. */
export const requestIdHeader = "catkinwharf-request-id";
/** Header that carries the caller's idempotency key, after the IETF draft "The Idempotency-Key HTTP Header Field". */
export const idempotencyKeyHeader = "idempotency-key";
