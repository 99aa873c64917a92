/**
 * Weighted shares of organisations in the capacity: what an organisation has running, in the resource of which it has
 * the largest part, divided by its weight.
 */
import type * as jobState from "@catkinwharf/job-state";

/** Resources in which shares are compared. */
const resources = ["cpu", "memory", "accelerators"] as const;

/**
 * @param usage what the organisation has running
 * @param capacity of all servers
 * @param weight of the organisation; without one, 0, it counts as 1
 */
export function computeShare(
    usage: Readonly<jobState.Demand>,
    capacity: Readonly<jobState.Demand>,
    weight: number,
): number {
    const parts = resources.map(resource => capacity[resource] > 0 ? usage[resource] / capacity[resource] : 0);
    return Math.max(...parts) / (weight === 0 ? 1 : weight);
}
