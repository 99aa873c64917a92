/**
 * Compares the machines of this system's own processes, which may differ by a factor of ten and more in processor time
 * and bandwidth.
 *
 * Some work is concentrated in one process: the coordinator calls every backend server, several thousand times a second
 * in a burst of a large deployment, and all its records may pass through one relay. A small process can't keep up with
 * that, so it leaves such work to a large one while there is any.
 */
import type * as jobState from "@catkinwharf/job-state";

/** Share of the largest known capacity from which a process may carry concentrated work. */
const minRelativeCapacity = 0.5;

/**
 * Capacity of a process relative to the largest among the others, by the resource in which it compares worst; at most
 * 1. Resources whose capacity isn't known are left out.
 */
export function computeRelativeCapacity(
    own: jobState.ProcessCapacity,
    others: readonly jobState.ProcessCapacity[],
): number {
    const compare = (find: (capacity: jobState.ProcessCapacity) => number | undefined) => {
        const largest = Math.max(0, ...others.map(other => find(other) ?? 0));
        const value = find(own);
        return value === undefined || value >= largest ? 1 : value / largest;
    };
    return Math.min(compare(capacity => capacity.cores), compare(capacity => capacity.linkRate));
}

/** Whether the process is large enough, compared to the others, to carry concentrated work. */
export function isLargeProcess(
    own: jobState.ProcessCapacity,
    others: readonly jobState.ProcessCapacity[],
): boolean {
    return computeRelativeCapacity(own, others) >= minRelativeCapacity;
}
