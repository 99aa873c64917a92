/**
 * Outcomes, reason codes, header names and urgencies of the interfaces to callers, peers and operators, explanations of
 * placement, and the retry backoff.
 */
export * from "./backoff.js";
export * from "./outcome.js";
export * from "./placement-explanation.js";
export * from "./reason.js";
export * from "./urgency.js";
