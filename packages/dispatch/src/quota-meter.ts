/**
 * Sums what each organisation has running from the runs that may be under way on the known servers. The ledger names all of
 * them, so a new coordinator starts with the same sums as its predecessor.
 */
import type * as platform from "@catkinwharf/platform";
import * as scheduling from "@catkinwharf/scheduling";
import type * as session from "./server-session.js";

/** @param configuration newest known one; its quotas decide */
export function measureQuotaUsage(
    configuration: platform.operatorRecords.Configuration | undefined,
    servers: Iterable<session.ServerSession>,
): scheduling.QuotaUsage {
    const organisations = configuration?.organisations ?? [];
    const usage = new scheduling.QuotaUsage(new Map(organisations.map(({ name, limit }) => [name, limit])));
    if (organisations.length === 0) {
        return usage;
    }
    for (const server of servers) {
        for (const run of server.runs.values()) {
            const organisation = run.entry.job?.organisation;
            usage.add(organisation, run.step.demand);
            if (run.step.longRunning) {
                usage.addLongRunning(organisation, run.step.demand);
            }
        }
    }
    return usage;
}

/**
 * Share of each organisation in the capacity of the servers, by its weight.
 *
 * @param usage what the organisations have running
 */
export function measureShares(
    configuration: platform.operatorRecords.Configuration | undefined,
    servers: Iterable<session.ServerSession>,
    usage: scheduling.QuotaUsage,
): Map<string, number> {
    const organisations = configuration?.organisations ?? [];
    const capacity = { cpu: 0, memory: 0, accelerators: 0 };
    if (organisations.length > 0) {
        for (const { entry } of servers) {
            capacity.cpu += entry.cpu;
            capacity.memory += entry.memory;
            capacity.accelerators += entry.accelerators;
        }
    }
    return new Map(
        organisations.map(({ name, weight }) => [name, scheduling.computeShare(usage.find(name), capacity, weight)]),
    );
}
