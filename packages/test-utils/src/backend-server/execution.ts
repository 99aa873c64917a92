/**
 * Record of a request that a backend server stand-in started.
 */

/** One started request. Times are wall clock in ms. */
export interface Execution {
    readonly instance: string;
    readonly requestId: string;
    readonly key?: string;
    readonly service?: string;
    readonly method: string;
    readonly path: string;
    /** IP address that the request came from; the fault proxy's, if there is one. */
    readonly source: string;
    readonly start: number;
    /** Absent while the request runs. */
    end?: number;
    /** HTTP status of the response, whether or not it was sent. */
    status?: number;
    /** Whether the connection closed before the response was written completely. */
    cut: boolean;
    /** Whether a reboot ended the execution. */
    killed?: boolean;
}
