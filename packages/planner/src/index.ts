/**
 * The coordinator's decisions: which instances join which pool, which move, which are drained for a planned stop, and
 * why a stop waits.
 *
 * This package performs no I/O; the current time is an argument.
 */
export * from "./demand-history.js";
export * from "./draft.js";
export * from "./observations.js";
export * from "./plan.js";
export * from "./policies.js";
