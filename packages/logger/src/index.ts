/**
 * Logs to standard error in short sentences, each behind the fixed prefix of its part.
 */
import * as consola from "consola";

/** Least level that is logged. */
export const Level = { error: "error", warn: "warn", info: "info", debug: "debug" } as const;
export type Level = (typeof Level)[keyof typeof Level];

const levelNumbers: Readonly<Record<Level, number>> = { error: 0, warn: 1, info: 3, debug: 4 };

/** A part's log. */
export interface Logger {
    error(sentence: string): void;
    warn(sentence: string): void;
    info(sentence: string): void;
    debug(sentence: string): void;
}

/** Creates the log of one part; `part` becomes the prefix of each line. */
export function createLogger(part: string, level: Level): Logger {
    const instance = consola.createConsola({
        level: levelNumbers[level],
        stdout: process.stderr,
        stderr: process.stderr,
        fancy: false,
        formatOptions: { date: true, colors: false },
    }).withTag(part);
    return {
        error: sentence => instance.error(sentence),
        warn: sentence => instance.warn(sentence),
        info: sentence => instance.info(sentence),
        debug: sentence => instance.debug(sentence),
    };
}

/** A log that drops everything, for tests. */
export const silentLogger: Logger = {
    error: () => undefined,
    warn: () => undefined,
    info: () => undefined,
    debug: () => undefined,
};
