/**
 * Decisions about single requests: who waits, who is refused, where each one runs, and which backend servers rest.
 *
 * Everything here is free of I/O; the present time and random numbers are arguments.
 */
export * from "./admission.js";
export * from "./backend-server-choice.js";
export * from "./backoff.js";
export * from "./deadline-queue.js";
export * from "./outlier-detector.js";
export * from "./retry-budget.js";
export * from "./run-time-estimator.js";
export * from "./target-choice.js";
