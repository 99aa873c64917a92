/** Counts what the coordinator has before it: ready tasks, and the jobs of each queue. */
import * as jobState from "@catkinwharf/job-state";
import * as scheduling from "@catkinwharf/scheduling";
import * as demand from "./demand.js";
import type * as jobRegistry from "./job-registry.js";
import type * as queueMeter from "./queue-meter.js";
import type * as session from "./server-session.js";

/** Number of ready tasks that could start now if the coordinator could follow. */
export function countStartableTasks(
    jobs: Iterable<jobRegistry.ActiveJob>,
    servers: ReadonlyMap<string, readonly session.ServerSession[]>,
): number {
    const ready = new Map<string, scheduling.ReadyTasks[]>();
    for (const { job, readiness, route } of jobs) {
        for (const { step, tasks } of route === undefined ? [] : readiness?.steps ?? []) {
            const list = ready.get(route!.service) ?? [];
            list.push({ count: tasks.length, cpu: job.steps[step]!.demand.cpu });
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

export function countReadyTasks(jobs: Iterable<jobRegistry.ActiveJob>): number {
    let count = 0;
    for (const { readiness } of jobs) {
        for (const ready of readiness?.steps ?? []) {
            count += ready.tasks.length;
        }
    }
    return count;
}

/** @param wall Unix time in ms */
export function describeQueues(jobs: Iterable<jobRegistry.ActiveJob>, wall: number): queueMeter.QueueState[] {
    const states = new Map<string, queueMeter.QueueState>();
    for (const active of jobs) {
        const { queue } = active.job;
        const state = states.get(queue) ?? { queue, waitingJobs: 0, expiredJobs: 0, begunJobs: 0, readyTasks: 0 };
        states.set(queue, state);
        const begun = active.progress.begun || jobState.hasRuns(active.progress);
        state.begunJobs += begun ? 1 : 0;
        state.waitingJobs += begun ? 0 : 1;
        state.expiredJobs += !begun && demand.isExpired(active, wall) ? 1 : 0;
        state.readyTasks += countReadyTasks([active]);
    }
    return [...states.values()];
}
