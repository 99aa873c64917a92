/**
 * Jobs and their progress, and the records in which the store's topics hold them.
 */
export * from "./advance-cancellations.js";
export * from "./index-ranges.js";
export * from "./job-table.js";
export * from "./job.js";
export { maxCheckpointSize, type ProgressPart } from "./progress-parts.js";
export * from "./progress.js";
export * from "./questions.js";
export * from "./records.js";
