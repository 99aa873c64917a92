/**
 * Measures for how long nothing has happened to open jobs although servers had room for them.
 */
import type * as platformStandIns from "@catkinwharf/platform-stand-ins";
import type * as load from "./load.js";
import * as lostJobs from "./lost-jobs.js";
import type * as organisations from "./organisations.js";

/** Time in ms between two looks at what the servers run. */
export const sampleInterval = 250;

export interface InquiryOptions {
    readonly deployment: platformStandIns.StandInDeployment;
    readonly callers: Pick<load.Load, "accepted" | "ask">;
    readonly organisations: organisations.Organisations | undefined;
    /** Services by queue. */
    readonly services: ReadonlyMap<string, string>;
}

/** When each job, and each task of a lasting one, was last at work or had no room, in ms by `performance.now()`. */
export class IdlenessMeter {
    readonly #lastBusy = new Map<string, number>();
    readonly #startedAt = performance.now();

    constructor(private readonly options: InquiryOptions) {}

    sample(): void {
        const now = performance.now();
        const { deployment, organisations: customers, callers, services } = this.options;
        const machines = [...deployment.machines.machines.values()];
        const tasks = machines.flatMap(({ server }) => server?.runningTasks ?? []);
        const atWork = new Set(tasks);
        const jobsAtWork = new Set(tasks.map(findJob));
        const findCpu = (task: string) => {
            const steps = callers.accepted.get(findJob(task))?.steps;
            return steps?.[Number(task.split(".")[2])]?.cpu ?? 0;
        };
        const crowded = new Set([...services.values()].filter(service => isCrowded(service, machines, findCpu)));
        for (const job of callers.accepted.values()) {
            const isHeldByQuota = customers?.isHalfUsed(job.organisation, tasks, findCpu) === true;
            if (isHeldByQuota || crowded.has(services.get(job.queue)!) || jobsAtWork.has(job.id)) {
                this.#lastBusy.set(job.id, now);
            }
            // They have to be at work however full the service is.
            for (const task of job.longRunning ? lostJobs.listTasks(job) : []) {
                if (isHeldByQuota || atWork.has(task)) {
                    this.#lastBusy.set(task, now);
                }
            }
        }
    }

    /** Whether the job is one that nobody has cancelled, and that runs until then, with all its tasks at work. */
    isAtWork(job: lostJobs.SubmittedJob): boolean {
        const since = performance.now() - 2 * sampleInterval;
        return job.longRunning && job.cancellation === "none"
            && lostJobs.listTasks(job).every(task => (this.#lastBusy.get(task) ?? 0) >= since);
    }

    measure(job: lostJobs.SubmittedJob): lostJobs.Room {
        const now = performance.now();
        const measureOne = (key: string) => now - (this.#lastBusy.get(key) ?? this.#startedAt);
        return {
            idleTime: measureOne(job.id),
            longestAbsence: job.longRunning ? Math.max(...lostJobs.listTasks(job).map(measureOne)) : 0,
        };
    }
}

/** ID of the job of a task. */
export function findJob(task: string): string {
    return task.slice(0, task.indexOf("."));
}

/** Whether half of the capacity of the service's servers is in use, or more. */
function isCrowded(
    service: string,
    machines: readonly platformStandIns.Machine[],
    findCpu: (task: string) => number,
): boolean {
    const servers = machines.flatMap(({ pool, server, capacity }) =>
        pool === service && server !== undefined ? [{ cpu: capacity.Cpu, tasks: server.runningTasks }] : []
    );
    const capacity = servers.reduce((sum, { cpu }) => sum + cpu, 0);
    const used = servers.flatMap(({ tasks }) => tasks).reduce((sum, task) => sum + findCpu(task), 0);
    return used * 2 >= capacity;
}
