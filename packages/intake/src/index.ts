/**
 * Callers' interface for jobs.
 */
export * from "./caller-port.js";
export * from "./route-table.js";
export * from "./submission-keeper.js";
