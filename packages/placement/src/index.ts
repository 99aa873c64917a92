/**
 * Decisions about single requests: admission, queueing, the choice of a backend server, retries and the ejection of
 * failing backend servers.
 *
 * This package performs no I/O; the current time and random numbers are arguments.
 */
export * from "./admission.js";
export * from "./backend-server-choice.js";
export * from "./backoff.js";
export * from "./deadline-queue.js";
export * from "./outlier-detector.js";
export * from "./retry-budget.js";
export * from "./run-time-estimator.js";
export * from "./target-choice.js";
