/**
 * Jobs and their progress, and the records that keep both.
 */
export * from "./job-table.js";
export * from "./job.js";
export * from "./progress.js";
export * from "./records.js";
