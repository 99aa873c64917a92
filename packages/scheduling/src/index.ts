/**
 * Decisions on jobs. They take everything they need as arguments, the time included.
 */
export * from "./health.js";
export * from "./objective.js";
export * from "./pacing.js";
export * from "./placing.js";
export * from "./pools.js";
export * from "./ready.js";
export * from "./waves.js";
