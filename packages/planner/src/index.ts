/**
 * The coordinator's decisions: which instances join which pool, which move, which are taken out for a planned stop,
 * and why a stop waits.
 *
 * Everything here is free of I/O; the present time is an argument.
 */
export * from "./demand-history.js";
export * from "./draft.js";
export * from "./observations.js";
export * from "./plan.js";
export * from "./policies.js";
