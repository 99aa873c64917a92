/**
 * Jobs that aren't settled or still have runs, and the steps of them that may start.
 */
import * as jobState from "@catkinwharf/job-state";
import type * as platform from "@catkinwharf/platform";
import * as scheduling from "@catkinwharf/scheduling";

export interface ActiveJob {
    readonly entry: jobState.JobEntry;
    readonly job: jobState.Job;
    readonly progress: jobState.Progress;
    /**
     * Route of the job's queue: the service whose servers run its tasks, and the queue's limits. While it isn't known,
     * no task starts, but the runs under way continue and their ends count.
     */
    route: jobState.RouteTerms | undefined;
    /** Expected time in ms of the longest chain of dependent steps. */
    criticalPath: number;
    /** Expected time in ms from the beginning of each step to the end of the job. */
    remainingPaths: readonly number[];
    /** Number of steps in the longest chain from the beginning of each step to the end of the job. */
    readonly remainingSteps: readonly number[];
    /** Longest observed duration in ms of a task, by step. */
    readonly observedDurations: Map<number, number>;
    /** Servers on which one of its runs failed or stalled. */
    readonly avoided: Set<string>;
    /** On the monotonic clock: when a crash was last noticed that one of its tasks may have caused. */
    crashedAt: number | undefined;
    /** Steps that may start; `undefined` when they have to be determined anew. */
    readiness: scheduling.Readiness | undefined;
}

/** What the demand of a queue is measured from. */
export type ArrivingJob = Pick<ActiveJob, "job" | "route" | "criticalPath">;

/** A step with startable tasks, and its rank among the candidates. */
export interface Candidate {
    readonly active: ActiveJob;
    readonly route: jobState.RouteTerms;
    readonly ready: scheduling.ReadyStep;
    readonly rank: scheduling.Rank;
}

const noShares: ReadonlyMap<string, number> = new Map();

export class JobRegistry {
    readonly active = new Map<string, ActiveJob>();
    readonly runTimes = new scheduling.RunTimePrediction();
    /**
     * Newest known route by queue, from configurations and submitted jobs. Includes removed ones, whose jobs continue.
     */
    readonly #routes = new Map<string, jobState.RouteTerms>();
    readonly #delay = new scheduling.DelayEstimate();
    readonly #committedRates = new scheduling.CommittedRates();
    #listed: ReadonlyMap<string, readonly Candidate[]> = new Map();

    applyConfiguration(configuration: platform.operatorRecords.Configuration): void {
        const { version } = configuration;
        this.#committedRates.setWeights(new Map(configuration.organisations.map(({ name, weight }) => [name, weight])));
        for (const route of configuration.routes) {
            if (version >= (this.#routes.get(route.name)?.version ?? version)) {
                this.#routes.set(route.name, { ...route, version });
            }
        }
        for (const active of this.active.values()) {
            active.route = this.#routes.get(active.job.queue);
        }
    }

    /** Takes the route in a job's record if no newer one of the queue is known. */
    #learnRoute({ queue, route }: jobState.Job): void {
        if (route === undefined || route.version <= (this.#routes.get(queue)?.version ?? Number.NEGATIVE_INFINITY)) {
            return;
        }
        this.#routes.set(queue, route);
        for (const active of this.active.values()) {
            if (active.job.queue === queue) {
                active.route = route;
            }
        }
    }

    /**
     * Returns the job, added if it is new. `undefined` while its submission hasn't been read, or if it is settled and
     * has no runs, which the short form of its submission shows by itself.
     *
     * @param wall Unix time in ms
     */
    track(entry: jobState.JobEntry, wall: number): ActiveJob | undefined {
        const known = this.active.get(entry.id);
        if (known !== undefined) {
            return known;
        }
        const { job } = entry;
        if (job === undefined) {
            return undefined;
        }
        this.#committedRates.add(job); // Settled ones count, too: they were submitted.
        if (entry.finalStatus !== undefined) {
            return undefined;
        }
        this.#learnRoute(job);
        entry.progress ??= jobState.createProgress(wall);
        if (jobState.isOver(entry.progress)) {
            return undefined;
        }
        const active = this.#createActive(entry, job, entry.progress);
        this.active.set(entry.id, active);
        return active;
    }

    #createActive(entry: jobState.JobEntry, job: jobState.Job, progress: jobState.Progress): ActiveJob {
        const estimates = scheduling.estimateStepTimes(job, new Map());
        return {
            entry,
            job,
            progress,
            route: this.#routes.get(job.queue),
            criticalPath: scheduling.computeCriticalPath(job, estimates),
            remainingPaths: scheduling.computeRemainingPaths(job, estimates),
            remainingSteps: scheduling.computeRemainingPaths(job, job.steps.map(() => 1)),
            observedDurations: new Map(),
            avoided: new Set(),
            crashedAt: undefined,
            readiness: undefined,
        };
    }

    /** Describes a job as if it were submitted now, without tracking it. */
    preview(job: jobState.Job, wall: number): ActiveJob {
        const progress = jobState.createProgress(wall);
        const entry = {
            id: job.id,
            job,
            cancelledAt: undefined,
            progress,
            storedStatus: undefined,
            storedParts: new Set<string>(),
        };
        const active = this.#createActive(entry, job, progress);
        active.route ??= job.route;
        return active;
    }

    /**
     * Records that a task of the step ended `time` ms after it was placed, and updates the job's expected times. The
     * coordinator's own delay isn't part of a task's duration: the objective doesn't allow for it.
     */
    recordTaskTime(active: ActiveJob, step: number, time: number): void {
        const { estimate } = active.job.steps[step]!;
        this.#delay.record(Math.min(time - estimate, estimate)); // A longer one is put down to a slow server.
        this.runTimes.record(active.job.queue, step, estimate, time);
        const duration = time - this.#delay.current;
        if (duration > (active.observedDurations.get(step) ?? 0)) {
            active.observedDurations.set(step, duration);
            const times = scheduling.estimateStepTimes(active.job, active.observedDurations);
            active.criticalPath = scheduling.computeCriticalPath(active.job, times);
            active.remainingPaths = scheduling.computeRemainingPaths(active.job, times);
        }
    }

    /** Ms by which the coordinator and the way to the servers prolong each task: from its placement to the noticed end. */
    get taskDelay(): number {
        return this.#delay.current;
    }

    /** Describes a job that isn't tracked, with the newest known route of its queue. */
    describe(job: jobState.Job): ArrivingJob {
        return {
            job,
            route: this.#routes.get(job.queue) ?? job.route,
            criticalPath: scheduling.computeCriticalPath(job, scheduling.estimateStepTimes(job, new Map())),
        };
    }

    /** Whether the job lies beyond its organisation's committed rate. */
    isBeyondRate(job: jobState.Job): boolean {
        return this.#committedRates.isBeyond(job);
    }

    /** Forgets what no decision needs any more; `wall` is Unix time in ms. */
    sweep(wall: number): void {
        this.#committedRates.forgetOld(wall);
    }

    remove(id: string): void {
        this.active.delete(id);
    }

    /**
     * Candidates of the last list of which nothing has been placed since, by service: for figures that needn't be exact,
     * as it takes tens of ms to list thousands anew.
     */
    listUnplaced(): Map<string, Candidate[]> {
        return new Map(
            [...this.#listed].map(([service, list]) => [
                service,
                list.filter(({ active }) => active.readiness !== undefined && this.active.has(active.entry.id)),
            ]),
        );
    }

    /**
     * Candidates by service, each list in the order in which they should start.
     *
     * @param shares share in the capacity by organisation, see `scheduling.computeShare`
     */
    listCandidates(wall: number, shares: ReadonlyMap<string, number> = noShares): Map<string, Candidate[]> {
        const byService = new Map<string, Candidate[]>();
        for (const active of this.active.values()) {
            const { readiness, route } = active;
            if (active.entry.cancelledAt !== undefined || route === undefined) {
                continue;
            }
            if (readiness === undefined || (readiness.nextDue !== undefined && readiness.nextDue <= wall)) {
                active.readiness = scheduling.listReady(active.job, active.progress, wall);
            }
            for (const ready of active.readiness!.steps) {
                const list = byService.get(route.service) ?? [];
                list.push({ active, route, ready, rank: this.rank(active, route, ready, wall, shares) });
                byService.set(route.service, list);
            }
        }
        for (const list of byService.values()) {
            list.sort((a, b) => scheduling.compareRanks(a.rank, b.rank));
        }
        this.#listed = byService;
        return byService;
    }

    /** Whether a job that is submitted now would lie beyond its organisation's committed rate. */
    wouldBeBeyondRate(job: jobState.Job): boolean {
        return this.#committedRates.wouldBeBeyond(job);
    }

    /** Ranks a ready step; for this its critical path begins with the step itself. */
    rank(
        active: ActiveJob,
        route: jobState.RouteTerms,
        ready: scheduling.ReadyStep,
        wall: number,
        shares: ReadonlyMap<string, number>,
        beyondRate = this.isBeyondRate(active.job),
    ): scheduling.Rank {
        const work = {
            due: jobState.findDueTime(active.job, ready.occurrence),
            objective: scheduling.computeObjective(active.job, ready.occurrence, active.criticalPath, route),
            criticalPath: active.remainingPaths[ready.step]!
                + active.remainingSteps[ready.step]! * this.#delay.current,
            longRunning: active.job.steps[ready.step]!.longRunning,
            readyTasks: ready.tasks.size,
            // A start that is under way counts, so that a job isn't passed over until its server confirms it.
            begun: active.progress.begun || jobState.hasRuns(active.progress),
            beyondRate,
            share: shares.get(active.job.organisation ?? "") ?? 0,
        };
        return scheduling.rank(work, route, wall);
    }
}
