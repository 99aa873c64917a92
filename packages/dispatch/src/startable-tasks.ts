/** Counts the tasks that wait for nothing but the coordinator itself. */
import * as scheduling from "@catkinwharf/scheduling";
import type * as jobRegistry from "./job-registry.js";
import type * as session from "./server-session.js";

/**
 * Number of ready tasks that could start now if the coordinator could follow: their quota and the servers have room.
 *
 * @param servers by service
 * @param quota what each organisation has running; updated
 */
export function countStartableTasks(
    jobs: Iterable<Pick<jobRegistry.ActiveJob, "job" | "readiness" | "route">>,
    servers: ReadonlyMap<string, readonly Pick<session.ServerSession, "load">[]>,
    quota: scheduling.QuotaUsage,
): number {
    const ready = new Map<string, scheduling.ReadyTasks[]>();
    for (const { job, readiness, route } of jobs) {
        for (const { step, tasks } of route === undefined ? [] : readiness?.steps ?? []) {
            const { demand, gang } = job.steps[step]!;
            const count = quota.countAllowed(job.organisation, { demand, gang }, tasks.size);
            quota.add(job.organisation, demand, count);
            const list = ready.get(route!.service) ?? [];
            list.push({ count, cpu: demand.cpu });
            ready.set(route!.service, list);
        }
    }
    let count = 0;
    for (const [service, tasks] of ready) {
        const open = (servers.get(service) ?? []).filter(({ load }) => load.acceptsTasks);
        count += scheduling.countStartable(tasks, open.reduce((sum, { load }) => sum + load.freeCpu, 0));
    }
    return count;
}
