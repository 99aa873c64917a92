/**
 * Exit codes of the command line, for scripts.
 */
export const ExitCode = {
    done: 0,
    /** Wrong arguments, or a file or change that can't be accepted as it is. */
    invalid: 1,
    /** Another operator's change came first. */
    conflict: 2,
    /** The change may have taken effect. */
    unknown: 3,
    /** No entry instance answered, or it isn't ready; nothing was changed. */
    unreachable: 4,
    /** The operator key is missing or wrong. */
    unauthorized: 5,
} as const;

export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];
