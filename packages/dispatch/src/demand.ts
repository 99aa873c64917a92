/**
 * Measures what each service's pool has to do: the work that arrives, the work that waits, and what can't be moved.
 */
import type * as jobState from "@catkinwharf/job-state";
import type * as platform from "@catkinwharf/platform";
import type * as scheduling from "@catkinwharf/scheduling";
import type * as fleet from "./fleet.js";
import type * as jobBoard from "./job-board.js";
import type * as session from "./server-session.js";

/** Time in ms over which arrivals are averaged; short against the seconds that a burst lasts. */
const arrivalSpan = 1000;

interface Arrivals {
    /** Core-seconds per second. */
    rate: number;
    at: number;
}

export class DemandMeter {
    readonly #arrivals = new Map<string, Arrivals>();

    constructor(private readonly board: jobBoard.JobBoard, private readonly fleet: fleet.Fleet) {}

    /** A job was taken in at `now`, on the steady clock, ms. */
    noteArrival(active: jobBoard.ActiveJob, now: number): void {
        const arrivals = this.#find(active.route.service, now);
        decay(arrivals, now);
        arrivals.rate += measureWork(active.job) / (arrivalSpan / 1000);
    }

    /** What every pool has to do at `now`, on the steady clock, ms. */
    list(
        configuration: platform.operatorRecords.Configuration | undefined,
        now: number,
    ): scheduling.PoolDemand[] {
        const backlogs = this.#measureBacklogs();
        const floors = this.#countFloors();
        return (configuration?.services ?? []).map(service => {
            const arrivals = this.#find(service.name, now);
            decay(arrivals, now);
            return {
                service: service.name,
                standby: service.standby,
                arriving: arrivals.rate,
                backlog: backlogs.get(service.name) ?? 0,
                floor: floors.get(service.name) ?? 0,
            };
        });
    }

    #find(service: string, now: number): Arrivals {
        let found = this.#arrivals.get(service);
        if (found === undefined) {
            found = { rate: 0, at: now };
            this.#arrivals.set(service, found);
        }
        return found;
    }

    /** Core-seconds of tasks that could start now and don't run. */
    #measureBacklogs(): Map<string, number> {
        const backlogs = new Map<string, number>();
        for (const active of this.board.active.values()) {
            let work = 0;
            for (const ready of active.readiness?.steps ?? []) {
                const step = active.job.steps[ready.step]!;
                work += step.longRunning ? 0 : ready.tasks.length * measureTask(step);
            }
            backlogs.set(active.route.service, (backlogs.get(active.route.service) ?? 0) + work);
        }
        return backlogs;
    }

    /** Servers that hold long-running tasks, and those that waiting ones need. */
    #countFloors(): Map<string, number> {
        const floors = new Map<string, number>();
        for (const server of this.fleet.sessions.values()) {
            if (server.load.longRunningTasks > 0) {
                floors.set(server.entry.service, (floors.get(server.entry.service) ?? 0) + 1);
            }
        }
        for (const active of this.board.active.values()) {
            for (const ready of active.readiness?.steps ?? []) {
                const step = active.job.steps[ready.step]!;
                if (step.longRunning) {
                    const needed = step.maxPerServer > 0 ? Math.ceil(step.taskCount / step.maxPerServer) : 1;
                    floors.set(active.route.service, Math.max(floors.get(active.route.service) ?? 0, needed));
                }
            }
        }
        for (const server of this.fleet.sessions.values()) {
            if (server.reserved && server.load.longRunningTasks > 0) {
                floors.set(server.entry.service, (floors.get(server.entry.service) ?? 0) + 1);
            }
        }
        return floors;
    }
}

/** Whether something runs there that may never be taken away. */
export function isPinned(server: session.ServerSession): boolean {
    return [...server.runs.values()].some(run => run.step.longRunning && run.step.maxUnavailable === 0);
}

function decay(arrivals: Arrivals, now: number): void {
    arrivals.rate *= Math.exp(-Math.max(0, now - arrivals.at) / arrivalSpan);
    arrivals.at = now;
}

function measureTask(step: jobState.Step): number {
    return step.filler ? 0 : step.demand.cpu / 1000 * (step.estimate / 1000);
}

/** Core-seconds of a job by its caller's estimates; long-running tasks count as none. */
function measureWork(job: jobState.Job): number {
    return job.steps.reduce(
        (sum, step) => sum + (step.longRunning ? 0 : step.taskCount * measureTask(step)),
        0,
    );
}
