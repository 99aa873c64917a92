/**
 * Coordination of the backend servers by one elected process at a time.
 */
export * from "./clocks.js";
export * from "./coordinator.js";
export * from "./earlier-orders.js";
export * from "./leader-election.js";
export type { OrganisationState } from "./organisation-monitor.js";
export type { PlacementExplainer } from "./placement-explainer.js";
