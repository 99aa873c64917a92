/** Counts what the coordinator has before it: ready tasks, and the jobs of each queue. */
import * as jobState from "@catkinwharf/job-state";
import * as demand from "./demand.js";
import type * as jobRegistry from "./job-registry.js";
import type * as queueMeter from "./queue-meter.js";

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
