/**
 * What the starts and ends of runs and jobs count for: the health of servers, the reports on queues, and whether a job met its
 * objective.
 */
import * as jobState from "@catkinwharf/job-state";
import * as scheduling from "@catkinwharf/scheduling";
import type * as clocks from "./clocks.js";
import * as demand from "./demand.js";
import type * as jobRegistry from "./job-registry.js";
import * as queueMeter from "./queue-meter.js";
import type * as runManager from "./run-manager.js";

/**
 * Run ends that count for a server's health, and whether as a success. The others say nothing about it: the coordinator
 * stopped the run, its lease expired, its server went away, or other members of its gang ended or weren't present.
 */
const healthOutcomes: ReadonlyMap<jobState.RunEnd, boolean> = new Map([
    [jobState.RunEnd.done, true],
    [jobState.RunEnd.failed, false],
]);

/** Creates the handler that counts the ends of runs for the health of their servers. */
export function createHealthRecorder(clock: clocks.Clocks): runManager.RunManagerOptions["onEnd"] {
    return (server, run, how) => {
        const succeeded = healthOutcomes.get(how);
        if (succeeded !== undefined && !run.step.longRunning) {
            server.health.recordOutcome(succeeded, clock.monotonic());
        }
    };
}

/** Judges a settled job by its objective. */
export function judgeSettlement(active: jobRegistry.ActiveJob): queueMeter.Settlement {
    const { job, progress, route, criticalPath } = active;
    if (progress.status === jobState.JobStatus.failed || progress.status === jobState.JobStatus.cancelled) {
        return progress.status;
    }
    const isOnTime = route === undefined
        || progress.statusAt <= scheduling.computeObjective(job, 0, criticalPath, route);
    return isOnTime
        ? queueMeter.Settlement.onTime
        : demand.isExpired(active, progress.statusAt)
        ? queueMeter.Settlement.expired
        : queueMeter.Settlement.late;
}

/** Records for the reports on queues that a server confirmed the first start of a job; `wall` is Unix time in ms. */
export function recordBegun(queues: queueMeter.QueueMeter, { job }: jobState.JobEntry, wall: number): void {
    if (job !== undefined) {
        queues.recordBegun(job.queue, wall - job.submittedAt);
    }
}

/** Records for the reports on queues that the status of a job was stored, if that is final; `wall` is Unix time in ms. */
export function recordStored(queues: queueMeter.QueueMeter, { job, progress }: jobState.JobEntry, wall: number): void {
    if (job !== undefined && progress !== undefined && jobState.isSettled(progress.status)) {
        queues.recordStored(job.queue, wall - progress.statusAt);
    }
}
