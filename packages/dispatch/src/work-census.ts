/** Counts what the coordinator has before it: ready tasks, the jobs of each queue, and the runs that it took over. */
import * as jobState from "@catkinwharf/job-state";
import * as demand from "./demand.js";
import * as fleet from "./fleet.js";
import type * as jobRegistry from "./job-registry.js";
import type * as queueMeter from "./queue-meter.js";
import type * as session from "./server-session.js";

/** Runs of earlier coordinators, by what is known of their servers at the takeover. */
export interface InheritedRuns {
    /** On servers that are listed, as far as is known in the boot for which the run was meant. */
    listed: number;
    /** On servers that are listed in another boot. */
    otherBoot: number;
    /** On servers that aren't listed: without an address, only the end of their leases ends them. */
    unlisted: number;
}

export function countReadyTasks(jobs: Iterable<jobRegistry.ActiveJob>): number {
    let count = 0;
    for (const { readiness } of jobs) {
        for (const ready of readiness?.steps ?? []) {
            count += ready.tasks.size;
        }
    }
    return count;
}

export function countRuns(servers: Iterable<Pick<session.ServerSession, "runs">>): number {
    let count = 0;
    for (const { runs } of servers) {
        count += runs.size;
    }
    return count;
}

/** Counts the runs before the servers are first asked. */
export function countInheritedRuns(servers: Iterable<session.ServerSession>): InheritedRuns {
    const counts = { listed: 0, otherBoot: 0, unlisted: 0 };
    for (const { entry, unlisted, runs } of servers) {
        for (const run of runs.values()) {
            counts[unlisted ? "unlisted" : fleet.isOtherBoot(run, entry.bootedAt) ? "otherBoot" : "listed"] += 1;
        }
    }
    return counts;
}

export function countJobsWithoutRoute(jobs: Iterable<jobRegistry.ActiveJob>): number {
    return [...jobs].filter(({ route }) => route === undefined).length;
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
