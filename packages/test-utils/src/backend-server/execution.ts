/**
 * Record of every request that a backend server stand-in started.
 */

/** One started request. Times are wall clock in ms. */
export interface Execution {
    readonly instance: string;
    readonly requestId: string;
    readonly key?: string;
    readonly service?: string;
    readonly method: string;
    readonly path: string;
    /** IP number that the request came from; the fault proxy's, if there is one. */
    readonly source: string;
    readonly start: number;
    /** Absent while it runs. */
    end?: number;
    /** HTTP status of its answer, sent or not. */
    status?: number;
    /** The connection closed before the answer was written. */
    cut: boolean;
    /** A reboot ended it. */
    killed?: boolean;
}
