/**
 * Constant tables that callers, entry instances and operators share, and the delay before retries.
 */
export * from "./backoff.js";
export * from "./outcome.js";
export * from "./reason.js";
export * from "./urgency.js";
