/**
 * Leveled logger that writes to standard error and prefixes each line with the name of the component.
 */
import * as consola from "consola";

/** Log levels, most severe first. */
export const Level = { error: "error", warn: "warn", info: "info", debug: "debug" } as const;
export type Level = (typeof Level)[keyof typeof Level];

/** consola's numbers of the levels. */
const levelNumbers: Readonly<Record<Level, number>> = { error: 0, warn: 1, info: 3, debug: 4 };

/** Logger of one component. */
export interface Logger {
    error(message: string): void;
    warn(message: string): void;
    info(message: string): void;
    debug(message: string): void;
}

/**
 * Creates the logger of one component.
 *
 * @param component prefix of each line
 * @param level least severe level that is logged
 */
export function createLogger(component: string, level: Level): Logger {
    const instance = consola.createConsola({
        level: levelNumbers[level],
        stdout: process.stderr,
        stderr: process.stderr,
        fancy: false,
        formatOptions: { date: true, colors: false },
    }).withTag(component);
    return {
        error: message => instance.error(message),
        warn: message => instance.warn(message),
        info: message => instance.info(message),
        debug: message => instance.debug(message),
    };
}

/** Logger that discards all messages, for tests. */
export const silentLogger: Logger = {
    error: () => undefined,
    warn: () => undefined,
    info: () => undefined,
    debug: () => undefined,
};
