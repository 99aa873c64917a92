/**
 * Exit codes of the command line, for scripts.
 */
export const ExitCode = {
    done: 0,
    /** Wrong arguments, an unusable file or a refused change. */
    invalid: 1,
    /** Another operator's change took effect first. */
    conflict: 2,
    /** The change may have taken effect. */
    unknown: 3,
    /** No usable response, or the entry instance isn't ready or has no contact with the log; nothing was changed. */
    unreachable: 4,
    /** The operator key is missing or wrong. */
    unauthorized: 5,
} as const;

/** Exit codes of `catkinwharf explain job` and `catkinwharf explain submission`. */
export const PlacementExitCode = {
    /** It can start now, is running, or has ended. */
    starts: 0,
    /** It waits, or would be refused. */
    waits: 1,
    /** Usage error, or nobody knows. */
    unknown: 2,
} as const;

export type PlacementExitCode = (typeof PlacementExitCode)[keyof typeof PlacementExitCode];

export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];
