/**
 * What all parts of one entry process share.
 */
import * as logger from "@catkinwharf/logger";
import * as schema from "@catkinwharf/schema";
import * as metrics from "./metrics.js";

export interface ProcessContext {
    readonly settings: schema.settings.EntrySettings;
    readonly metrics: metrics.Metrics;
    /** Monotonic time in ms. */
    readonly clock: () => number;
    /** Wall-clock time in ms since 1970. */
    readonly wallClock: () => number;
    /** Random number from 0 up to 1. */
    readonly random: () => number;
    createLogger(part: string): logger.Logger;
}

/** Creates the context of a real process. */
export function createContext(settings: schema.settings.EntrySettings): ProcessContext {
    return {
        settings,
        metrics: new metrics.Metrics(),
        clock: () => performance.now(),
        wallClock: () => Date.now(),
        random: () => Math.random(),
        createLogger: part => logger.createLogger(part, settings.logging.level),
    };
}
