/**
 * Jobs that aren't settled, by the service whose servers run them, with what of them may start.
 */
import * as jobState from "@catkinwharf/job-state";
import type * as platform from "@catkinwharf/platform";
import * as scheduling from "@catkinwharf/scheduling";

export interface ActiveJob {
    readonly entry: jobState.JobEntry;
    readonly job: jobState.Job;
    readonly progress: jobState.Progress;
    route: platform.operatorRecords.Route;
    /** Longest chain of work in ms, as far as its tasks' times are known. */
    chain: number;
    /** From the beginning of each step to the end of the job, in ms. */
    remaining: readonly number[];
    /** Longest time in ms that a task of each step was seen to take. */
    readonly seenTimes: Map<number, number>;
    /** Servers on which one of its runs failed. */
    readonly avoided: Set<string>;
    /** What may start; `undefined` after a change. */
    readiness: scheduling.Readiness | undefined;
}

/** A step with startable tasks, and its place in the order. */
export interface Candidate {
    readonly active: ActiveJob;
    readonly ready: scheduling.ReadyStep;
    readonly rank: scheduling.Rank;
}

export class JobBoard {
    readonly active = new Map<string, ActiveJob>();
    /** Routes by name, with those that were removed since: their jobs go on. */
    readonly #routes = new Map<string, platform.operatorRecords.Route>();

    applyConfiguration(configuration: platform.operatorRecords.Configuration): void {
        for (const route of configuration.routes) {
            this.#routes.set(route.name, route);
        }
        for (const active of this.active.values()) {
            active.route = this.#routes.get(active.job.queue) ?? active.route;
        }
    }

    /** Takes in a job, new or changed; `undefined` when there is nothing to do for it. */
    consider(entry: jobState.JobEntry, now: number): ActiveJob | undefined {
        const known = this.active.get(entry.id);
        if (known !== undefined) {
            return known;
        }
        const { job } = entry;
        const route = job === undefined ? undefined : this.#routes.get(job.queue);
        if (job === undefined || route === undefined) {
            return undefined;
        }
        entry.progress ??= jobState.createProgress(now);
        if (jobState.isSettled(entry.progress.status) && !jobState.hasRuns(entry.progress)) {
            return undefined;
        }
        const estimates = scheduling.expectStepTimes(job, new Map());
        const active: ActiveJob = {
            entry,
            job,
            progress: entry.progress,
            route,
            chain: scheduling.measureChain(job, estimates),
            remaining: scheduling.measureRemaining(job, estimates),
            seenTimes: new Map(),
            avoided: new Set(),
            readiness: undefined,
        };
        this.active.set(entry.id, active);
        return active;
    }

    /** A task of the step took `time` ms from its start to its end. */
    noteTime(active: ActiveJob, step: number, time: number): void {
        if (time > (active.seenTimes.get(step) ?? 0)) {
            active.seenTimes.set(step, time);
            const times = scheduling.expectStepTimes(active.job, active.seenTimes);
            active.chain = scheduling.measureChain(active.job, times);
            active.remaining = scheduling.measureRemaining(active.job, times);
        }
    }

    remove(id: string): void {
        this.active.delete(id);
    }

    /** Candidates by service, each list in the order in which they should start. */
    listCandidates(wall: number): Map<string, Candidate[]> {
        const byService = new Map<string, Candidate[]>();
        for (const active of this.active.values()) {
            if (active.entry.cancelledAt !== undefined) {
                continue;
            }
            const { readiness } = active;
            if (readiness === undefined || (readiness.nextDue !== undefined && readiness.nextDue <= wall)) {
                active.readiness = scheduling.listReady(active.job, active.progress, wall);
            }
            for (const ready of active.readiness!.steps) {
                const list = byService.get(active.route.service) ?? [];
                list.push({ active, ready, rank: this.#rank(active, ready, wall) });
                byService.set(active.route.service, list);
            }
        }
        for (const list of byService.values()) {
            list.sort((a, b) => scheduling.compareRanks(a.rank, b.rank));
        }
        return byService;
    }

    #rank(active: ActiveJob, ready: scheduling.ReadyStep, wall: number): scheduling.Rank {
        const left = {
            due: jobState.findDueTime(active.job, ready.occurrence),
            objective: scheduling.findObjective(active.job, ready.occurrence, active.chain, active.route),
            chain: active.remaining[ready.step]!,
            longRunning: active.job.steps[ready.step]!.longRunning,
            begun: active.progress.begun,
        };
        return scheduling.rank(left, active.route, wall);
    }
}
