/**
 * The coordinator: takes over the runs of its predecessor, then starts ready tasks as servers have room.
 */
import type * as eventLog from "@catkinwharf/event-log";
import type * as httpCalls from "@catkinwharf/http-calls";
import * as jobState from "@catkinwharf/job-state";
import * as platform from "@catkinwharf/platform";
import * as scheduling from "@catkinwharf/scheduling";
import * as storeClient from "@catkinwharf/store";
import * as timers from "node:timers/promises";
import * as availability from "./availability.js";
import type * as clocks from "./clocks.js";
import * as context from "./context.js";
import * as crashCounter from "./crash-counter.js";
import * as demand from "./demand.js";
import * as dutyCycle from "./duty-cycle.js";
import * as fillerPace from "./filler-pace.js";
import * as fleet from "./fleet.js";
import * as jobRegistry from "./job-registry.js";
import * as jobSweeper from "./job-sweeper.js";
import * as leaderElection from "./leader-election.js";
import * as ledgerWriter from "./ledger-writer.js";
import * as loadMeter from "./load-meter.js";
import * as machineManager from "./machine-manager.js";
import * as organisationMonitor from "./organisation-monitor.js";
import * as outcomes from "./outcomes.js";
import * as placementExplainer from "./placement-explainer.js";
import * as placer from "./placer.js";
import * as queueMeter from "./queue-meter.js";
import * as quotaMeter from "./quota-meter.js";
import * as rateHold from "./rate-hold.js";
import * as relocation from "./relocation.js";
import * as restartMeter from "./restart-meter.js";
import * as runManager from "./run-manager.js";
import * as session from "./server-session.js";
import * as startableTasks from "./startable-tasks.js";
import * as ticketCache from "./ticket-cache.js";
import * as waitingTasks from "./waiting-tasks.js";
import * as workCensus from "./work-census.js";

/** Time in ms between an event and the placement pass that handles it; one pass handles all events of that time. */
const passDelay = 3;
/** Largest share of the process's time that placement passes may take. */
const maxPassShare = 0.33;
/**
 * Time in ms between two ticks, which handle what changes with time alone, and between two attempts of a new
 * coordinator to load the servers.
 */
const tickInterval = 100;
/** Longest time in ms that a new coordinator waits for the servers' first responses before it starts tasks. */
const firstAnswersTimeout = 300;
/** Time in ms between two checks whether they have responded. */
const firstAnswersPollInterval = 10;
/** Longest time in ms that a resigning coordinator waits for responses to its orders for machines. */
const machineOrderAnswerTimeout = 500;
/** Time in ms between two sweeps for settled jobs that can be removed. */
const sweepInterval = 5000;
/** Time in ms between two reads of the servers' topic, so that one read returns several records. */
const serverReadPause = 150;

export interface CoordinatorOptions {
    readonly settings: platform.settings.ProcessSettings;
    readonly claim: leaderElection.Claim;
    /** Unix time in ms; tells this process from an earlier one of the same node. */
    readonly processStart: number;
    /** What this process has memory for. */
    readonly runLimits: scheduling.RunLimits;
    readonly store: storeClient.StoreClient;
    readonly calls: httpCalls.HttpClient;
    /** For calls to backend servers. */
    readonly serverCalls: httpCalls.HttpClient;
    readonly jobs: jobState.JobTable;
    readonly log: eventLog.EventLog;
    readonly clock: clocks.Clocks;
    readonly configuration: () => platform.operatorRecords.Configuration | undefined;
    /** Maintenance waves that the operator requested, by wave number: machines to maintain, a few at a time. */
    readonly waves: ReadonlyMap<number, platform.operatorRecords.Wave>;
    /** Progress of the waves under earlier coordinators, by wave number. */
    readonly waveProgress: ReadonlyMap<number, jobState.WaveProgress>;
    /**
     * For each machine, the latest time at which an earlier coordinator can have ordered it, on the monotonic clock.
     */
    readonly earlierOrderTimes: ReadonlyMap<string, number>;
    /** Boots of the backend servers in the ledger, by server ID. */
    readonly serverBoots: ReadonlyMap<string, jobState.ServerBoot>;
    readonly onStepDown: (reason: string) => void;
    /** Receives the times in ms that the coordinator's activities take, for metrics. */
    readonly observeDuration: (activity: loadMeter.Activity, duration: number) => void;
    /** Receives the times in ms from a server's last list to the next start of each task that it lost, for metrics. */
    readonly observeRestart: (delay: number) => void;
    /** Receives what each organisation has waiting and running in each service, for metrics. */
    readonly observeOrganisations: (states: readonly organisationMonitor.OrganisationState[]) => void;
}

export class Coordinator {
    readonly registry = new jobRegistry.JobRegistry();
    readonly fleet: fleet.Fleet;
    readonly #shared: context.CoordinatorContext;
    readonly #runManager: runManager.RunManager;
    readonly #serverFollower: storeClient.TopicFollower;
    readonly #machineManager: machineManager.MachineManager;
    readonly #crashes: crashCounter.CrashCounter;
    readonly #demand: demand.DemandMeter;
    readonly #tickets: ticketCache.TicketCache;
    readonly #sweeper: jobSweeper.JobSweeper;
    readonly #placer: placer.Placer;
    readonly #explainer: placementExplainer.PlacementExplainer;
    readonly #load: loadMeter.LoadMeter;
    readonly #queues: queueMeter.QueueMeter;
    readonly #restarts: restartMeter.RestartMeter;
    readonly #organisations: organisationMonitor.OrganisationMonitor;
    readonly #waitingTasks: waitingTasks.WaitingTasks;
    readonly #passCycle = new dutyCycle.DutyCycle(maxPassShare);
    readonly #startLimit = new scheduling.StartLimit();
    readonly #startDelay = new scheduling.StartDelayEstimate();
    /** Starts that got a response since `#startDelay` was updated. */
    #startedTasks = 0;
    /** Whether tasks have waited for the limit on starts since then. */
    #startsLimited = false;
    #timer: NodeJS.Timeout | undefined;
    #passScheduled = false;
    #stopped = false;
    /** Whether the takeover is complete: from then on tasks are started, and new jobs count as arrivals. */
    #takeoverDone = false;
    #lastHeartbeatAt = 0;
    #lastSweepAt = 0;

    constructor(private readonly options: CoordinatorOptions) {
        const { clock, store, claim } = options;
        const stepDown = (reason: string) => this.#stepDown(reason);
        this.#load = new loadMeter.LoadMeter(options.log, options.observeDuration, clock.monotonic());
        this.#queues = new queueMeter.QueueMeter(options.log, clock.monotonic());
        this.#restarts = new restartMeter.RestartMeter(options.observeRestart);
        this.#shared = {
            node: options.settings.node,
            claim,
            epoch: claim.epoch,
            termStartedAt: clock.monotonic(),
            settings: options.settings,
            clock,
            log: options.log,
            calls: options.calls,
            serverCalls: options.serverCalls,
            writer: new ledgerWriter.LedgerWriter({
                store,
                storeLimits: options.settings.storeLimits,
                claim,
                now: () => clock.monotonic(),
                log: options.log,
                onRefused: outcome => stepDown(`the store refused an append of this epoch to the ledger: ${outcome}`),
                onStatusStored: entry => outcomes.recordStored(this.#queues, entry, clock.wall()),
                onUnstorable: entry => this.#failUnstorable(entry),
            }),
            jobs: options.jobs,
            configuration: options.configuration,
            stepDown,
            mayExtendLeases: () =>
                clock.monotonic() - this.#shared.writer.heldAt < context.computeLeaseDuration(options.settings),
            lateness: () => this.#load.lateness,
            schedulePass: () => this.#schedulePass(),
        };
        const recordHealth = outcomes.createHealthRecorder(clock);
        this.#runManager = new runManager.RunManager({
            shared: this.#shared,
            registry: this.registry,
            onEnd: (server, run, how) => {
                recordHealth(server, run, how);
                this.#restarts.recordEnd(server, run, how);
                this.#queues.recordRunEnd(run.entry.job!.queue, how);
            },
            onStartAnswered: duration => {
                this.#load.record(loadMeter.Activity.start, duration);
                this.#startLimit.recordDuration(duration);
                this.#startedTasks += 1;
            },
            canSpare: run => availability.canSpare(run, [...this.fleet.sessions.values()], clock.monotonic()),
            describeStep: run => availability.describeStep(run, [...this.fleet.sessions.values()], clock.monotonic()),
            onPlanned: run => {
                this.#restarts.recordPlanned(run);
                this.#queues.recordPlannedRun(run.entry.job!.queue, run.runNumber);
            },
            onBegun: entry => outcomes.recordBegun(this.#queues, entry, clock.wall()),
            onSettled: active => this.#queues.recordSettled(active.job.queue, outcomes.judgeSettlement(active)),
        });
        this.fleet = new fleet.Fleet(this.#shared, {
            onLists: (server, lists, sent) => {
                this.#runManager.applyLists(server, lists, sent);
                fillerPace.paceFillers(this.#shared, server);
            },
            onRebooted: (server, sentAt) => this.#runManager.endEarlierBoot(server, sentAt),
            onCrash: crash => this.#crashes.count(crash),
            onRunsLost: (server, runs, how) => this.#runManager.endRuns(server, runs, how),
        }, options.serverBoots);
        this.#crashes = new crashCounter.CrashCounter({
            shared: this.#shared,
            registry: this.registry,
            fleet: () => this.fleet,
            fail: active => this.#runManager.fail(active),
        });
        this.#tickets = new ticketCache.TicketCache(this.#shared);
        this.#sweeper = new jobSweeper.JobSweeper(this.#shared, store);
        this.#placer = new placer.Placer(this.#shared, this.#runManager, this.#tickets, this.registry.runTimes, {
            limits: options.runLimits,
            countUnderWay: () => workCensus.countRuns(this.fleet.sessions.values()),
        });
        this.#explainer = new placementExplainer.PlacementExplainer({
            registry: this.registry,
            sessions: this.fleet.sessions,
            placer: this.#placer,
            tickets: this.#tickets,
            clock,
            configuration: options.configuration,
        });
        this.#demand = new demand.DemandMeter(this.registry, this.fleet);
        this.#machineManager = new machineManager.MachineManager({
            shared: this.#shared,
            fleet: this.fleet,
            store,
            listDemands: () => this.#demand.list(options.configuration(), clock.monotonic(), clock.wall()),
            earlierOrderTimes: options.earlierOrderTimes,
            demandKnownSince: () => this.#demand.demandKnownSince,
            isEveryServerKnown: () => !this.#isAwaitingServers(),
            relocateTask: server => this.#relocateTask(server),
            isPinned: server => relocation.isPinned(server),
        });
        this.#organisations = new organisationMonitor.OrganisationMonitor({
            registry: this.registry,
            sessions: this.fleet.sessions,
            configuration: options.configuration,
            hasSpareMachines: () => this.#machineManager.hasSurplus,
            clock,
            log: options.log,
            observe: states => options.observeOrganisations(states),
        });
        this.#waitingTasks = new waitingTasks.WaitingTasks({
            registry: this.registry,
            sessions: this.fleet.sessions,
            tickets: this.#tickets,
            placer: this.#placer,
            configuration: options.configuration,
            clock,
            log: options.log,
            maxLease: options.settings.bounds.maxLease,
        });
        this.#serverFollower = new storeClient.TopicFollower(
            store,
            {
                topic: platform.storeCalls.serversTopic,
                handlers: {
                    apply: record => this.fleet.applyRecord(record),
                    reset: () => this.fleet.markAllUnlisted(),
                },
                wait: 1000, // In ms.
                pause: () => serverReadPause,
            },
            options.log,
            () => clock.wall(),
        );
    }

    /** Takes over: loads the servers, inherits earlier coordinators' runs, and waits for the servers to respond. */
    async start(): Promise<void> {
        this.#timer = setInterval(() => this.#tick(), tickInterval);
        const configuration = this.options.configuration();
        if (configuration !== undefined) {
            this.applyConfiguration(configuration);
        }
        for (const [number, wave] of this.options.waves) {
            this.#machineManager.waves.apply(wave);
            const progress = this.options.waveProgress.get(number);
            if (progress !== undefined) {
                this.#machineManager.waves.restore(number, progress);
            }
        }
        while (!this.#stopped && !await this.#serverFollower.catchUp()) {
            await timers.setTimeout(tickInterval);
        }
        this.#inheritAllRuns();
        const inheritedRuns = workCensus.countInheritedRuns(this.fleet.sessions.values());
        this.fleet.start();
        this.#machineManager.prepare();
        this.#serverFollower.start();
        const { clock } = this.#shared;
        const deadline = clock.monotonic() + firstAnswersTimeout;
        while (!this.#stopped && clock.monotonic() < deadline && this.#isAwaitingServers()) {
            await timers.setTimeout(firstAnswersPollInterval);
        }
        this.#takeoverDone = true;
        this.#demand.restoreArrivals(this.options.jobs.listJobs(), clock.monotonic(), clock.wall());
        const knowsDemand = [...this.registry.active.values()].some(active => active.route !== undefined);
        // Jobs found at the takeover make the demand known from now on.
        this.#demand.demandKnownSince = knowsDemand ? clock.monotonic() : undefined;
        this.#shared.log.info("coordinating", {
            epoch: this.options.claim.epoch,
            capacity: this.options.settings.capacity,
            jobs: this.registry.active.size,
            servers: this.fleet.sessions.size,
            runs: workCensus.countRuns(this.fleet.sessions.values()),
            inheritedRuns,
            jobsWithoutRoute: workCensus.countJobsWithoutRoute(this.registry.active.values()),
            took: clock.monotonic() - this.#shared.termStartedAt,
        });
        this.#schedulePass();
    }

    /** Explains placements; `undefined` while this coordinator starts no tasks. */
    get explainer(): placementExplainer.PlacementExplainer | undefined {
        return this.#takeoverDone && !this.#stopped ? this.#explainer : undefined;
    }

    stop(): void {
        this.#stopped = true;
        clearInterval(this.#timer);
        this.#serverFollower.stop();
        this.#machineManager.stop();
        this.#sweeper.stop();
        this.#runManager.end();
        this.fleet.stop();
        this.#shared.writer.stop();
    }

    /** Resigns, so that another process can claim leadership at once. */
    async resign(): Promise<void> {
        const ordersSettled = await this.#machineManager.close(machineOrderAnswerTimeout);
        clearInterval(this.#timer); // A later heartbeat would revoke the resignation.
        this.#shared.writer.add(this.#encodeLeadership(true, ordersSettled));
        await this.#shared.writer.flush();
        this.#stepDown("resigned");
    }

    applyConfiguration(configuration: platform.operatorRecords.Configuration): void {
        this.registry.applyConfiguration(configuration);
        this.#demand.applyConfiguration(configuration);
        this.options.jobs.entries.forEach(entry => this.applyJob(entry));
    }

    applyWave(wave: platform.operatorRecords.Wave): void {
        this.#machineManager.waves.apply(wave);
    }

    /** Handles a job that was submitted or cancelled, or whose queue may have got a route by a new configuration. */
    applyJob(entry: jobState.JobEntry): void {
        const wasActive = this.registry.active.has(entry.id);
        const active = this.registry.track(entry, this.#shared.clock.wall());
        if (active === undefined) {
            return;
        }
        if (!wasActive && this.#takeoverDone) { // Those found at the takeover are counted at its end.
            this.#demand.recordArrival(active, this.#shared.clock.monotonic());
            this.#queues.recordArrival(active.job.queue, this.#shared.clock.wall() - active.job.submittedAt);
        }
        if (!wasActive && active.route === undefined) {
            this.#shared.log.warn("route-unknown", {
                job: entry.id,
                queue: active.job.queue,
                configuration: this.options.configuration()?.version,
            });
        }
        if (entry.cancelledAt !== undefined) {
            this.#cancel(active);
        }
        else {
            this.#runManager.failIfExhausted(active);
        }
        this.#schedulePass();
    }

    /** Counts jobs that entry processes couldn't store as demand; they aren't started. */
    recordUnstored(unstored: readonly jobState.Job[]): void {
        if (!this.#takeoverDone) {
            return;
        }
        for (const job of unstored) {
            if (this.options.jobs.entries.get(job.id)?.job === undefined) {
                this.#demand.recordUnstored(this.registry.describe(job), this.#shared.clock.monotonic());
            }
        }
    }

    #cancel(active: jobRegistry.ActiveJob): void {
        this.#runManager.finishIfSettled(active);
        this.#stopRunsOf(active, runManager.StopCause.cancelled);
    }

    /** Fails a job whose runs can't be recorded: a successor would start its tasks a second time. */
    #failUnstorable(entry: jobState.JobEntry): void {
        const active = this.registry.active.get(entry.id);
        if (active === undefined) {
            return;
        }
        this.#shared.log.warn("progress-unstorable", {
            job: entry.id,
            queue: active.job.queue,
            tasks: jobState.countTasks(active.job),
        });
        this.#runManager.fail(active);
        this.#stopRunsOf(active, runManager.StopCause.settled);
    }

    #stopRunsOf(active: jobRegistry.ActiveJob, cause: runManager.StopCause): void {
        for (const server of this.fleet.sessions.values()) {
            for (const run of [...server.runs.values()]) {
                if (run.entry === active.entry) {
                    void this.#runManager.stop(server, run, cause);
                }
            }
        }
    }

    #inheritAllRuns(): void {
        for (const active of this.registry.active.values()) {
            this.#runManager.completeStoredEnds(active);
            for (const [occurrenceNumber, occurrence] of active.progress.occurrences) {
                for (const [taskIndex, history] of occurrence.histories) {
                    history.runs.forEach(run => this.#inheritRun(active, occurrenceNumber, taskIndex, run));
                }
            }
            if (active.entry.cancelledAt !== undefined) {
                this.#cancel(active);
            }
        }
    }

    #inheritRun(active: jobRegistry.ActiveJob, occurrenceNumber: number, taskIndex: number, run: jobState.Run): void {
        const id = session.parseServerId(run.server);
        const server = this.fleet.sessions.get(id) ?? this.fleet.createUnlistedSession(id);
        this.#runManager.inherit(active, occurrenceNumber, taskIndex, run, server);
    }

    #isAwaitingServers(): boolean {
        for (const server of this.fleet.sessions.values()) {
            if (!server.unlisted && server.clock.sample === undefined) {
                return true;
            }
        }
        return this.fleet.sessions.size === 0;
    }

    #schedulePass(): void {
        if (!this.#passScheduled && this.#takeoverDone && !this.#stopped) {
            this.#passScheduled = true;
            const rest = this.#passCycle.computeRest(this.#shared.clock.monotonic());
            setTimeout(() => {
                this.#passScheduled = false;
                this.#runPass();
            }, Math.max(passDelay, rest));
        }
    }

    #tick(): void {
        const now = this.#shared.clock.monotonic();
        this.#load.recordTimer(now, tickInterval);
        this.#startsLimited ||= this.#startLimit.holdsBack;
        this.#startLimit.update();
        this.#load.report(now, () => this.#describeWork());
        this.#queues.report(
            now,
            () => workCensus.describeQueues(this.registry.active.values(), this.#shared.clock.wall()),
        );
        this.#organisations.report();
        this.#restarts.update();
        if (now - this.#lastHeartbeatAt >= leaderElection.heartbeatInterval) {
            this.#lastHeartbeatAt = now;
            this.#updateStartDelay(now);
            this.#shared.writer.add(this.#encodeLeadership(false, false));
        }
        if (this.#takeoverDone) {
            this.#machineManager.tick();
            this.#waitingTasks.report();
        }
        for (const active of [...this.registry.active.values()]) {
            if (jobState.isSettled(active.progress.status)) {
                this.#stopRunsOf(active, runManager.StopCause.settled);
                this.#runManager.finishIfSettled(active);
            }
        }
        if (now - this.#lastSweepAt >= sweepInterval) {
            this.#lastSweepAt = now;
            void this.#sweeper.sweep();
            this.fleet.sweepBoots();
            this.registry.sweep(this.#shared.clock.wall());
            // A step key begins with the job's ID, see formatStepKey.
            this.#tickets.evict(stepKey => !this.registry.active.has(stepKey.slice(0, stepKey.indexOf("."))));
        }
        this.#stopStalled();
        this.#relocateFromDraining();
        this.fleet.confirmLoneStarts();
        this.#crashes.update();
        this.#schedulePass();
    }

    /** Estimates anew, for the next heartbeat, how long ready tasks wait for this coordinator. */
    #updateStartDelay(now: number): void {
        const waiting = this.#startsLimited
            ? startableTasks.countStartableTasks(
                this.registry.active.values(),
                this.fleet.listByService(),
                this.#measureQuotaUsage(),
            )
            : 0;
        this.#startDelay.update(this.#startedTasks, waiting, this.#startsLimited, now);
        this.#startedTasks = 0;
        this.#startsLimited = false;
    }

    #measureQuotaUsage(): scheduling.QuotaUsage {
        return quotaMeter.measureQuotaUsage(this.options.configuration(), this.fleet.sessions.values());
    }

    /** Stops runs without progress, so that their tasks start on other servers. */
    #stopStalled(): void {
        for (const server of this.fleet.sessions.values()) {
            for (const run of server.listStalled()) {
                this.#shared.log.info("run-stalled", {
                    task: run.name,
                    server: server.entry.id,
                    percent: run.percent,
                    // Ms without progress up to the server's last response.
                    since: Math.round(server.lastAnswerAt - run.percentChangedAt),
                });
                server.health.recordOutcome(false, server.lastAnswerAt);
                this.registry.active.get(run.entry.id)?.avoided.add(server.entry.id);
                void this.#runManager.stop(server, run, runManager.StopCause.stalled);
            }
        }
    }

    /**
     * Encodes a leadership record, which serves as a heartbeat, or as the resignation if `resigned`.
     *
     * @param ordersSettled whether all orders for machines got a response before the resignation
     */
    #encodeLeadership(resigned: boolean, ordersSettled: boolean): platform.storeCalls.KeyedRecord {
        const waits = this.#organisations.estimateWaits();
        return jobState.encodeLeadership({
            epoch: this.options.claim.epoch,
            node: this.options.settings.node,
            processStart: this.options.processStart,
            resigned,
            ordersSettled,
            tenure: this.#shared.clock.monotonic() - this.#shared.termStartedAt,
            lateness: Math.round(this.#load.lateness),
            startDelay: Math.round(this.#startDelay.current),
            ...(waits === undefined ? {} : { waits }),
        });
    }

    /** Starts the ready tasks of each service by rank, as far as its servers have room. */
    #runPass(): void {
        if (this.#stopped) {
            return;
        }
        const startedAt = this.#shared.clock.monotonic();
        this.#passCycle.begin(startedAt);
        this.fleet.refreshLoads();
        this.#machineManager.markServersOrderedAway();
        const servers = this.fleet.listByService();
        const planned: placer.PlannedRun[] = [];
        const room = this.#startLimit.computeRoom(this.#runManager.startsUnderWay);
        // When the room doesn't suffice for all services, it goes to the one with the most important candidate.
        const quota = this.#measureQuotaUsage();
        const shares = quotaMeter.measureShares(this.options.configuration(), this.fleet.sessions.values(), quota);
        const byRank = [...this.registry.listCandidates(this.#shared.clock.wall(), shares)]
            .sort(([, a], [, b]) => scheduling.compareRanks(a[0]!.rank, b[0]!.rank));
        this.#tickets.startPass();
        this.#placer.counts = { unplaced: 0, untried: 0, overQuota: 0, overRunLimit: 0 };
        for (const [service, candidates] of byRank) {
            const pool = servers.get(service) ?? [];
            const left = scheduling.computeServiceRoom(room, planned.length);
            planned.push(
                ...rateHold.placeByRate(
                    candidates,
                    pool,
                    quota,
                    (part, placedCount) => this.#placer.place(part, pool, quota, left - placedCount, candidates),
                ),
            );
        }
        if (planned.length >= room) {
            this.#startLimit.recordReached();
        }
        const endedAt = this.#shared.clock.monotonic();
        this.#load.record(loadMeter.Activity.pass, endedAt - startedAt);
        this.#passCycle.end(endedAt);
        if (planned.length > 0) {
            void this.#startPlanned(planned);
        }
    }

    #describeWork(): loadMeter.WorkState {
        const servers = [...this.fleet.sessions.values()];
        return {
            activeJobs: this.registry.active.size,
            readyTasks: workCensus.countReadyTasks(this.registry.active.values()),
            ...this.#placer.describe(),
            startDelay: Math.round(this.#startDelay.current),
            runs: workCensus.countRuns(this.fleet.sessions.values()),
            reachableServers: servers.filter(server => server.reachable).length,
        };
    }

    async #startPlanned(planned: readonly placer.PlannedRun[]): Promise<void> {
        const plannedAt = this.#shared.clock.monotonic();
        if (!await this.#shared.writer.flush()) {
            return;
        }
        this.#load.record(loadMeter.Activity.intent, this.#shared.clock.monotonic() - plannedAt);
        for (const { server, run } of planned) {
            void this.#runManager.start(server, run);
        }
    }

    /** Moves long-running tasks off draining servers; other tasks continue there. */
    #relocateFromDraining(): void {
        for (const server of this.fleet.sessions.values()) {
            if (server.entry.draining && server.reachable && server.load.longRunningRunCount > 0) {
                this.#relocateTask(server);
            }
        }
    }

    /**
     * Stops one long-running task, so that it starts elsewhere; while its run is being stopped it counts as
     * unavailable.
     */
    #relocateTask(server: session.ServerSession): void {
        const servers = [...this.fleet.sessions.values()];
        const run = relocation.chooseRelocation(server, servers, this.#shared.clock.monotonic());
        if (run !== undefined) {
            this.#shared.log.info("task-relocated", { step: run.stepKey, server: server.entry.id });
            void this.#runManager.stop(server, run, runManager.StopCause.relocated);
        }
    }

    #stepDown(reason: string): void {
        if (!this.#stopped) {
            this.stop();
            this.#shared.log.warn("stepped-down", { epoch: this.options.claim.epoch, reason });
            this.options.onStepDown(reason);
        }
    }
}
