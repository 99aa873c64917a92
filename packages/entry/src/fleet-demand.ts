/**
 * Load of the whole fleet, summed from the digests that the sessions report for the backend servers homed there.
 */
import * as planner from "@catkinwharf/planner";
import * as schema from "@catkinwharf/schema";

/** Sums the digests of all homes by service. `now` is wall-clock time in ms since 1970. */
export function sumDemand(digests: readonly schema.peer.Digest[], now: number): planner.Demand[] {
    const totals = new Map<string, planner.Demand>();
    for (const digest of digests) {
        const total = totals.get(digest.service);
        totals.set(digest.service, {
            service: digest.service,
            busySlots: (total?.busySlots ?? 0) + digest.slots - digest.free,
            queued: (total?.queued ?? 0) + digest.queued,
            observedAt: now,
        });
    }
    return [...totals.values()];
}
