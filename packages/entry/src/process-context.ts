/**
 * Settings, metrics, clocks, random numbers and loggers shared by the components of one entry process.
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
    /** Random number from 0 to less than 1. */
    readonly random: () => number;
    createLogger(component: string): logger.Logger;
}

/** Creates a context with the system's clocks and random numbers. */
export function createContext(settings: schema.settings.EntrySettings): ProcessContext {
    return {
        settings,
        metrics: new metrics.Metrics(),
        clock: () => performance.now(),
        wallClock: () => Date.now(),
        random: () => Math.random(),
        createLogger: component => logger.createLogger(component, settings.logging.level),
    };
}
