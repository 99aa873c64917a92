/**
 * Scheduling decisions: which tasks start next and on which backend servers, how fast fillers run, which instances
 * change pools, and which are maintained. All input is passed as arguments, including the current time.
 *
 * Due times, objectives and expiry are Unix times, by the wall clock. Everything else is measured on the monotonic
 * clock of the process, whose times mean nothing in another process.
 */
export * from "./committed-rate.js";
export * from "./crashes.js";
export * from "./delay-estimate.js";
export * from "./explanation.js";
export * from "./fair-share.js";
export * from "./health.js";
export * from "./objective.js";
export * from "./pacing.js";
export * from "./peak-need.js";
export * from "./placing.js";
export * from "./pools.js";
export * from "./process-capacity.js";
export * from "./quota-demand.js";
export * from "./quota.js";
export * from "./ready.js";
export * from "./reservations.js";
export * from "./run-budget.js";
export * from "./run-time-prediction.js";
export * from "./start-delay.js";
export * from "./start-limit.js";
export * from "./waves.js";
