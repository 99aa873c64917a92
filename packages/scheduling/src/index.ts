/**
 * Scheduling decisions for jobs. All input is passed as arguments, including the current time.
 */
export * from "./health.js";
export * from "./objective.js";
export * from "./pacing.js";
export * from "./placing.js";
export * from "./pools.js";
export * from "./ready.js";
export * from "./waves.js";
