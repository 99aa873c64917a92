/**
 * What became of a request, as every response tells its caller.
 */
export const Outcome = {
    /** The whole answer of a backend server. */
    answered: "answered",
    /** The request was not run and never will be. */
    notRun: "not-run",
    /** The request may have run; its answer is not known. */
    unknown: "unknown",
} as const;

export type Outcome = (typeof Outcome)[keyof typeof Outcome];

/** Header that carries the outcome. */
export const outcomeHeader = "catkinwharf-outcome";
/** Header that carries the reason code of an outcome other than `answered`. */
export const reasonHeader = "catkinwharf-reason";
/** Header in which a caller gives its deadline, in ms from the arrival of the request. */
export const timeoutHeader = "catkinwharf-timeout-ms";
/** Header that pairs a request to a backend server with its answer. */
export const requestIdHeader = "catkinwharf-request-id";
/** Header that carries a caller's key, RFC draft "The Idempotency-Key HTTP Header Field". */
export const idempotencyKeyHeader = "idempotency-key";
