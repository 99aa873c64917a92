/**
 * Turns candidates into planned runs: chooses servers, requests tickets where the queue's route requires them, and
 * records the intents. Starts are sent elsewhere, once the intents are stored.
 */
import * as jobState from "@catkinwharf/job-state";
import * as scheduling from "@catkinwharf/scheduling";
import type * as context from "./context.js";
import type * as jobRegistry from "./job-registry.js";
import type * as loadMeter from "./load-meter.js";
import * as lookAheads from "./look-ahead.js";
import * as runManager from "./run-manager.js";
import type * as session from "./server-session.js";
import type * as ticketCache from "./ticket-cache.js";

/** Time in ms for which a task that starts alone waits for a server on which nothing else is starting. */
const quietServerWait = 1000;

/** A run whose intent has yet to be stored. */
export interface PlannedRun {
    readonly server: session.ServerSession;
    readonly run: session.ActiveRun;
}

/** A server on which only one step's tasks might start during a pass. */
export interface KeptServer {
    readonly server: string;
    readonly stepKey: string;
}

/** What became of the steps with ready tasks in one pass. */
export interface PassCounts {
    /** Steps of which no task was placed, as no server had room or was allowed. */
    unplaced: number;
    /** Steps that wait for the limit on starts. */
    untried: number;
    /** Steps of which no task may start before others of their organisation have ended. */
    overQuota: number;
    /** Steps of which no task may start before other runs have ended, as the coordinator has no memory for more. */
    overRunLimit: number;
}

/** What bounds the runs that a coordinator has under way, and how many there are. */
export interface RunCapacity {
    readonly limits: scheduling.RunLimits;
    /** Number of runs of all jobs that are under way. */
    readonly countUnderWay: () => number;
}

const unlimitedRuns: RunCapacity = { limits: scheduling.noRunLimits, countUnderWay: () => 0 };

/** Share of the tasks of a step that end within their expected duration, where they may start on a reserved server. */
const backfillQuantile = 0.8;
/** The same for the runs that a reservation waits for. */
const endQuantile = 0.5;

/** What a pass over the candidates of a service knows. */
interface Pass {
    /** Servers that accept tasks. */
    readonly open: readonly session.ServerSession[];
    readonly byId: ReadonlyMap<string, session.ServerSession>;
    readonly lookAhead: lookAheads.LookAhead;
    readonly quota: scheduling.QuotaUsage;
    readonly runs: scheduling.RunBudget;
    /** Unix time in ms. */
    readonly wall: number;
    /** Open servers without those that are reserved for other steps. */
    loads: readonly scheduling.ServerLoad[];
    /** Server that is reserved for the pass. */
    reserved: scheduling.ServerLoad | undefined;
    /** Steps that no server has room for. */
    readonly shortages: scheduling.Shortages;
    /** Steps that waiting doesn't help. */
    readonly hopeless: scheduling.Shortages;
}

/** What a candidate may get if it fits nowhere. */
interface Waiting {
    /** Ms since the occurrence was due. */
    readonly age: number;
    readonly isLarge: boolean;
    /** It may get a reservation that lasts, see `scheduling.Reservations`. */
    readonly mayLookAhead: boolean;
    /** It may get a server reserved for the pass. */
    readonly mayReserve: boolean;
}

export class Placer {
    /** Of the pass that began last, over all services. */
    counts: PassCounts = { unplaced: 0, untried: 0, overQuota: 0, overRunLimit: 0 };
    /** Tasks that started on a server that another step had reserved. */
    backfilledTasks = 0;
    /** By service. */
    readonly #lookAheads = new Map<string, lookAheads.LookAhead>();
    /** Server that the last pass over a service kept for one step, by service. */
    readonly #keptServers = new Map<string, KeptServer>();

    constructor(
        private readonly shared: context.CoordinatorContext,
        private readonly runs: runManager.RunManager,
        private readonly tickets: ticketCache.TicketCache,
        private readonly runTimes = new scheduling.RunTimePrediction(),
        private readonly runCapacity = unlimitedRuns,
        private readonly reservationPolicy = scheduling.defaultReservationPolicy,
    ) {}

    /**
     * Places the candidates that fit, in the given order, and records the intents. Those that fit nowhere, for whatever
     * reason and however long, don't keep later ones from being tried. Later ones would take each bit of room before there is
     * enough for those that only have to wait for other tasks to end. So the first few of them whose tasks need a large part
     * of a server get reservations, see `scheduling.Reservations`; without such, the first one gets a server reserved for the
     * pass.
     *
     * @param quota what each organisation has running; updated
     * @param limit number of tasks that may be placed; a gang isn't divided and may exceed it
     * @param waiting all candidates of the service, where only some of them are placed now; the others keep their
     * reservations, and those before the ones that are placed bind them
     */
    place(
        candidates: readonly jobRegistry.Candidate[],
        servers: readonly session.ServerSession[],
        quota: scheduling.QuotaUsage,
        limit = Number.POSITIVE_INFINITY,
        waiting = candidates,
    ): PlannedRun[] {
        const pass = this.#beginPass(candidates, waiting, servers, quota);
        const planned: PlannedRun[] = [];
        for (const [i, candidate] of candidates.entries()) {
            const left = limit - planned.length;
            if (left <= 0) {
                this.counts.untried += candidates.length - i;
                break;
            }
            const { active: { job }, ready } = candidate;
            const allowed = quota.countAllowed(job.organisation, job.steps[ready.step]!, ready.tasks.size);
            if (allowed === 0) {
                this.counts.overQuota += 1;
                this.#reserveQuota(pass, candidate);
                continue;
            }
            const bounded = this.#boundRuns(pass.runs, candidate, allowed);
            if (bounded === 0) {
                this.counts.overRunLimit += 1;
                continue;
            }
            const placements = this.#placeCandidate(pass, candidate, Math.min(left, bounded));
            if (placements.length === 0) {
                this.counts.unplaced += 1;
            }
            else {
                this.#planRuns(pass, candidate, placements).forEach(run => planned.push(run));
            }
        }
        return planned;
    }

    /** For the coordinator's report of its load. */
    describe(): Pick<
        loadMeter.WorkState,
        "unplacedSteps" | "untriedSteps" | "stepsOverQuota" | "stepsOverRunLimit" | "backfilledTasks"
    > {
        const { unplaced, untried, overQuota, overRunLimit } = this.counts;
        return {
            unplacedSteps: unplaced,
            untriedSteps: untried,
            stepsOverQuota: overQuota,
            stepsOverRunLimit: overRunLimit,
            backfilledTasks: this.backfilledTasks,
        };
    }

    /** Describes the servers for an explanation; their loads are copies, so that placing there changes nothing. */
    describeOutlooks(servers: readonly session.ServerSession[]): scheduling.ServerOutlook[] {
        const now = this.shared.clock.monotonic();
        return servers.map(server => {
            const outlook = lookAheads.describeOutlook(server, run => this.#predictEnd(run, now));
            return { ...outlook, load: scheduling.copyLoad(outlook.load) };
        });
    }

    /** Number of the step's tasks that the limit on runs lets start now, at most `wanted`. */
    countAllowedRuns(candidate: Pick<jobRegistry.Candidate, "active" | "ready">, wanted: number): number {
        return this.#boundRuns(this.#beginRunBudget(), candidate, wanted);
    }

    /** The server that the last pass over the service kept for one step. */
    findKeptServer(service: string): KeptServer | undefined {
        return this.#keptServers.get(service);
    }

    /** Time in ms within which a task of the step is expected to end, for starting it on a reserved server. */
    predictDuration({ job }: Pick<jobRegistry.ActiveJob, "job">, step: number): number {
        return this.runTimes.predictRemaining(job.queue, step, job.steps[step]!.estimate, 0, backfillQuantile);
    }

    /** Begins a pass over the candidates of a service. */
    #beginPass(
        candidates: readonly jobRegistry.Candidate[],
        waiting: readonly jobRegistry.Candidate[],
        servers: readonly session.ServerSession[],
        quota: scheduling.QuotaUsage,
    ): Pass {
        const open = servers.filter(server => server.load.acceptsTasks);
        const service = waiting[0]?.route.service ?? "";
        this.#keptServers.delete(service);
        const lookAhead = this.#findLookAhead(service);
        const now = this.shared.clock.monotonic();
        lookAhead.beginPass(waiting, open, run => this.#predictEnd(run, now), now);
        lookAhead.bindBefore(candidates[0], waiting);
        return {
            open,
            byId: new Map(open.map(server => [server.entry.id, server])),
            lookAhead,
            quota,
            runs: this.#beginRunBudget(),
            wall: this.shared.clock.wall(),
            loads: open.map(server => server.load).filter(load => load.reservation === undefined),
            reserved: undefined,
            shortages: new scheduling.Shortages(scheduling.hasRoom),
            hopeless: new scheduling.Shortages(scheduling.willHaveRoom),
        };
    }

    #beginRunBudget(): scheduling.RunBudget {
        return new scheduling.RunBudget(this.runCapacity.limits, this.runCapacity.countUnderWay());
    }

    /** Number of the candidate's tasks that may start by the limit on runs, at most `wanted`. */
    #boundRuns(
        budget: scheduling.RunBudget,
        { active, ready }: Pick<jobRegistry.Candidate, "active" | "ready">,
        wanted: number,
    ): number {
        const { gang } = active.job.steps[ready.step]!;
        return budget.countAllowed(jobState.countRuns(active.progress), wanted, gang);
    }

    #findLookAhead(service: string): lookAheads.LookAhead {
        let lookAhead = this.#lookAheads.get(service);
        if (lookAhead === undefined) {
            lookAhead = new lookAheads.LookAhead(this.reservationPolicy);
            this.#lookAheads.set(service, lookAhead);
        }
        return lookAhead;
    }

    /** Keeps a part of the quota for a step that its quota holds back, if waiting helps the step. */
    #reserveQuota({ quota, hopeless, loads, lookAhead }: Pass, { active, ready }: jobRegistry.Candidate): void {
        const { organisation } = active.job;
        const step = active.job.steps[ready.step]!;
        if (quota.mayReserve(organisation!, step, ready.tasks.size) && !hopeless.includes(step)) {
            const request = createRequest(active, ready, 0);
            if (scheduling.chooseReservation(request, loads) === undefined) {
                hopeless.recordUnplaced(step, loads);
            }
            else {
                quota.reserve(organisation!, step, ready.tasks.size);
            }
        }
        lookAhead.drop(active, ready);
    }

    /** Places as many of the candidate's tasks as fit, at most `count`; if none does, it may get a reservation. */
    #placeCandidate(pass: Pass, candidate: jobRegistry.Candidate, count: number): readonly scheduling.Placement[] {
        const { lookAhead: { owners, reservations }, shortages, open, byId } = pass;
        const { active, route, ready } = candidate;
        const step = active.job.steps[ready.step]!;
        const waiting = describeWaiting(pass, candidate);
        const isShort = shortages.includes(step);
        const expectDuration = () => this.predictDuration(active, ready.step);
        const mayUseReserved = owners.has(active) || reservations.mayBackfill(step, expectDuration);
        if (isShort && !waiting.mayReserve && !waiting.mayLookAhead && !mayUseReserved) {
            return [];
        }
        const needsTickets = route.advice !== undefined;
        const permitted = needsTickets
            ? this.#listPermitted(candidate, runManager.formatStepKey(active.job.id, ready), open)
                .filter(load => load !== pass.reserved)
            : mayUseReserved
            ? [...pass.loads, ...reservations.reservedLoads]
            : pass.loads;
        const request = {
            ...createRequest(active, ready, step.gang ? ready.tasks.size : count),
            expectedDuration: mayUseReserved ? expectDuration() : undefined,
        };
        const tried = !isShort || needsTickets ? permitted : reservations.reservedLoads;
        const placements = isShort && !mayUseReserved
            ? []
            : scheduling.placeStep(request, ready.alone ? this.#listQuiet(active, tried, byId) : tried);
        if (placements.length === 0) {
            shortages.recordUnplaced(step, pass.loads);
            this.#reserveServers(pass, candidate, request, waiting, permitted);
        }
        return placements;
    }

    /**
     * Reserves servers for a candidate that fits nowhere, as far as it may have some.
     *
     * @param permitted servers that were tried
     */
    #reserveServers(
        pass: Pass,
        candidate: jobRegistry.Candidate,
        request: scheduling.PlacementRequest,
        { age, isLarge, mayLookAhead, mayReserve }: Waiting,
        permitted: readonly scheduling.ServerLoad[],
    ): void {
        const { lookAhead, open, hopeless } = pass;
        const { reservations } = lookAhead;
        const { step, stepKey } = request;
        if (mayLookAhead && reservations.mayUpdate(stepKey, age)) {
            const needsTickets = candidate.route.advice !== undefined;
            this.#updateReservation(
                candidate,
                request,
                lookAhead,
                needsTickets ? permitted : open.map(one => one.load),
            );
        }
        if (isLarge && reservations.bind(stepKey)) {
            pass.loads = pass.loads.filter(load => load.reservation === undefined);
        }
        if (mayReserve) {
            hopeless.recordUnplaced(step, pass.loads);
            pass.reserved = scheduling.chooseReservation(request, permitted);
            if (pass.reserved !== undefined) {
                this.#keptServers.set(candidate.route.service, { server: pass.reserved.id, stepKey });
            }
            pass.loads = pass.loads.filter(load => load !== pass.reserved);
        }
    }

    /** Plans the runs of the placed tasks, which count in the usage of the candidate's organisation from now on. */
    #planRuns(
        { lookAhead, quota, runs, byId }: Pass,
        candidate: jobRegistry.Candidate,
        placements: readonly scheduling.Placement[],
    ): PlannedRun[] {
        const { active, route, ready } = candidate;
        const step = active.job.steps[ready.step]!;
        const stepKey = runManager.formatStepKey(active.job.id, ready);
        this.backfilledTasks +=
            placements.filter(({ server: { reservation } }) =>
                reservation !== undefined && reservation.stepKey !== stepKey
            ).length;
        lookAhead.drop(active, ready); // Its other tasks wait anew.
        quota.add(active.job.organisation, step.demand, placements.length);
        runs.add(placements.length);
        this.#logPlaced(candidate, placements);
        const gangRun = step.gang ? this.#nextGangRun(active, ready) : undefined;
        return placements.map(({ task, server: load }) => {
            const server = byId.get(load.id)!;
            const runNumber = gangRun ?? this.#nextRun(active, ready.occurrence, task);
            const ticket = route.advice === undefined ? undefined : this.tickets.find(stepKey, server);
            return { server, run: this.runs.plan(active, ready, task, runNumber, server, ticket) };
        });
    }

    #predictEnd({ entry, position, step, plannedAt }: session.ActiveRun, now: number): scheduling.PredictedEnd {
        const age = Math.max(0, now - plannedAt);
        const remaining = this.runTimes.predictRemaining(
            entry.job?.queue ?? "",
            position.step,
            step.estimate,
            age,
            endQuantile,
        );
        return { remaining, step };
    }

    #updateReservation(
        { active, ready }: jobRegistry.Candidate,
        request: scheduling.PlacementRequest,
        lookAhead: lookAheads.LookAhead,
        permitted: readonly scheduling.ServerLoad[],
    ): void {
        const change = lookAhead.update(active, request, permitted);
        if (change !== undefined) {
            this.shared.log.info("step-reserved", {
                job: active.job.id,
                step: ready.step,
                occurrence: ready.occurrence,
                servers: change.servers,
                wait: Math.round(change.wait),
                movedFrom: change.movedFrom,
                age: this.shared.clock.wall() - active.job.submittedAt,
            });
        }
    }

    /**
     * Servers for tasks that start alone: for a while after the crash only those on which nothing else is starting,
     * later all. Updates their number of starting runs.
     */
    #listQuiet(
        active: jobRegistry.ActiveJob,
        loads: readonly scheduling.ServerLoad[],
        byId: ReadonlyMap<string, session.ServerSession>,
    ): readonly scheduling.ServerLoad[] {
        const now = this.shared.clock.monotonic();
        for (const load of loads) {
            load.startingRunCount = byId.get(load.id)!.countStartingRuns(now);
        }
        return active.crashedAt !== undefined && now - active.crashedAt < quietServerWait
            ? loads.filter(load => load.startingRunCount === 0)
            : loads;
    }

    #logPlaced(candidate: jobRegistry.Candidate, placements: readonly scheduling.Placement[]): void {
        const { active, ready, rank } = candidate;
        this.shared.log.info("step-placed", {
            job: active.job.id,
            step: ready.step,
            occurrence: ready.occurrence,
            tasks: placements.length,
            of: ready.tasks.size,
            servers: [...new Set(placements.map(placement => placement.server.id))],
            slack: Math.round(rank.slack),
            age: this.shared.clock.wall() - active.job.submittedAt,
        });
    }

    /**
     * Servers with a valid ticket for the step; requests more tickets while fewer of them have room than tasks are
     * ready.
     */
    #listPermitted(
        candidate: jobRegistry.Candidate,
        stepKey: string,
        open: readonly session.ServerSession[],
    ): scheduling.ServerLoad[] {
        const step = candidate.active.job.steps[candidate.ready.step]!;
        const permitted = this.tickets.listPermitted(stepKey, open);
        const serversWithRoom = permitted.filter(server => scheduling.fits(server.load, step, stepKey)).length;
        if (serversWithRoom < candidate.ready.tasks.size) {
            this.tickets.request(candidate, stepKey, open);
        }
        return permitted.map(server => server.load);
    }

    #nextRun(active: jobRegistry.ActiveJob, occurrence: number, task: number): number {
        return (active.progress.occurrences.get(occurrence)?.histories.get(task)?.lastRun ?? 0) + 1;
    }

    #nextGangRun(active: jobRegistry.ActiveJob, ready: scheduling.ReadyStep): number {
        let run = 1;
        for (const task of ready.tasks) {
            run = Math.max(run, this.#nextRun(active, ready.occurrence, task));
        }
        return run;
    }
}

/** @param count number of tasks that are requested, the first ones that are ready */
function createRequest(
    active: jobRegistry.ActiveJob,
    ready: scheduling.ReadyStep,
    count: number,
): scheduling.PlacementRequest {
    return {
        stepKey: runManager.formatStepKey(active.job.id, ready),
        step: active.job.steps[ready.step]!,
        tasks: ready.tasks.take(count),
        avoided: active.avoided,
        alone: ready.alone,
    };
}

function describeWaiting(
    { lookAhead, loads, reserved, hopeless, wall }: Pass,
    candidate: jobRegistry.Candidate,
): Waiting {
    const { active, ready } = candidate;
    const { reservations } = lookAhead;
    const step = active.job.steps[ready.step]!;
    // One that starts alone may wait for a quiet server and not for room.
    const mayWait = loads.length > 1 && !ready.alone;
    const isLarge = reservations.isLarge(step, ready.tasks.size);
    const age = wall - jobState.findDueTime(active.job, ready.occurrence);
    return {
        age,
        isLarge,
        mayLookAhead: mayWait && isLarge && reservations.isOpen(age),
        // A gang would need several servers.
        mayReserve: mayWait && !isLarge && reserved === undefined && reservations.size === 0 && !step.gang
            && !hopeless.includes(step),
    };
}
