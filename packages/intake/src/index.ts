/**
 * HTTP API for callers to submit, query and cancel jobs.
 */
export * from "./caller-port.js";
export * from "./route-table.js";
export * from "./submission-keeper.js";
