/**
 * Constant tables that callers, entry instances and operators share.
 */
export * from "./outcome.js";
export * from "./reason.js";
export * from "./urgency.js";
