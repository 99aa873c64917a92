/**
 * HTTP API for callers to submit, query and cancel jobs.
 */
export * from "./authentication.js";
export * from "./job-api.js";
export * from "./job-limits.js";
export * from "./limited-wait.js";
export * from "./load-shedder.js";
export * from "./question-answerer.js";
export * from "./route-table.js";
export * from "./submission-writer.js";
