/**
 * The process that coordinates: takes over from the one before, then starts what is ready, as servers have room.
 */
import type * as eventLog from "@catkinwharf/event-log";
import type * as httpCalls from "@catkinwharf/http-calls";
import * as jobState from "@catkinwharf/job-state";
import * as platform from "@catkinwharf/platform";
import * as scheduling from "@catkinwharf/scheduling";
import * as storeClient from "@catkinwharf/store";
import * as timers from "node:timers/promises";
import * as adviceDesk from "./advice-desk.js";
import type * as clocks from "./clocks.js";
import * as context from "./context.js";
import * as demand from "./demand.js";
import * as fleet from "./fleet.js";
import * as jobBoard from "./job-board.js";
import * as jobSweeper from "./job-sweeper.js";
import * as keeper from "./keeper.js";
import * as leadership from "./leadership.js";
import * as ledgerWriter from "./ledger-writer.js";
import * as placer from "./placer.js";
import * as relocation from "./relocation.js";
import * as runs from "./runs.js";
import * as session from "./server-session.js";

/** Time in ms between an event and the pass that reacts to it; gathers the events of one moment. */
const passDelay = 3;
/** Time in ms between two looks at everything that time alone changes. */
const tickInterval = 100;
/** Time in ms that a new coordinator waits for the servers' first answers before it starts anything. */
const takeoverPatience = 300;
/** Time in ms between two looks whether they have answered. */
const takeoverLook = 10;
/** Time in ms for which a coordinator that resigns waits for answers to its orders for machines. */
const orderSettlement = 500;
/** Time in ms between two looks for jobs that can be forgotten. */
const sweepInterval = 5000;
/** Time in ms for which reads of the servers' topic gather records. */
const serverReadPause = 150;

export interface CoordinatorOptions {
    readonly settings: platform.settings.NodeSettings;
    readonly epoch: number;
    readonly processStart: number;
    readonly store: storeClient.StoreClient;
    readonly calls: httpCalls.HttpCalls;
    readonly jobs: jobState.JobTable;
    readonly log: eventLog.EventLog;
    readonly clock: clocks.Clocks;
    readonly configuration: () => platform.operatorRecords.Configuration | undefined;
    /** Waves that the operator has asked for, and how far earlier coordinators came with them. */
    readonly waves: ReadonlyMap<number, platform.operatorRecords.Wave>;
    readonly waveProgress: ReadonlyMap<number, jobState.WaveProgress>;
    /** On the steady clock: when earlier coordinators ordered machines, at the latest. */
    readonly machineOrders: ReadonlyMap<string, number>;
    readonly onStepDown: (reason: string) => void;
}

/** Ends that say something of the server; the others follow from orders or from other members of a gang. */
const tellingEnds: ReadonlyMap<jobState.RunEnd, boolean> = new Map([
    [jobState.RunEnd.done, true],
    [jobState.RunEnd.failed, false],
]);

function noteHealth(clock: clocks.Clocks): runs.RunsOptions["onEnd"] {
    return (server, run, how) => {
        const good = tellingEnds.get(how);
        if (good !== undefined && !run.step.longRunning) {
            server.health.note(good, clock.steady());
        }
    };
}

export class Coordinator {
    readonly board = new jobBoard.JobBoard();
    readonly fleet: fleet.Fleet;
    readonly #shared: context.CoordinatorContext;
    readonly #runs: runs.Runs;
    readonly #servers: storeClient.TopicFollower;
    readonly #keeper: keeper.Keeper;
    readonly #demand: demand.DemandMeter;
    readonly #advice: adviceDesk.AdviceDesk;
    readonly #sweeper: jobSweeper.JobSweeper;
    readonly #placer: placer.Placer;
    #timer: NodeJS.Timeout | undefined;
    #passScheduled = false;
    #stopped = false;
    #ready = false;
    #lastBeat = 0;
    #lastSweep = 0;

    constructor(private readonly options: CoordinatorOptions) {
        const { clock, store, epoch } = options;
        const stepDown = (reason: string) => this.#stepDown(reason);
        this.#shared = {
            node: options.settings.node,
            epoch,
            claimedAt: clock.steady(),
            settings: options.settings,
            clock,
            log: options.log,
            calls: options.calls,
            writer: new ledgerWriter.LedgerWriter(
                store,
                epoch,
                () => stepDown("the ledger refused this epoch"),
            ),
            jobs: options.jobs,
            configuration: options.configuration,
            stepDown,
            wake: () => this.#wake(),
        };
        this.#runs = new runs.Runs({ shared: this.#shared, board: this.board, onEnd: noteHealth(clock) });
        this.fleet = new fleet.Fleet(this.#shared, {
            onLists: (server, lists, sentAt) => {
                this.#runs.takeLists(server, lists, sentAt);
                this.#paceFillers(server);
            },
            onGone: (server, how) => this.#runs.endAll(server, how),
        });
        this.#advice = new adviceDesk.AdviceDesk(this.#shared);
        this.#sweeper = new jobSweeper.JobSweeper(this.#shared, store);
        this.#placer = new placer.Placer(this.#shared, this.#runs, this.#advice);
        this.#demand = new demand.DemandMeter(this.board, this.fleet);
        this.#keeper = new keeper.Keeper({
            shared: this.#shared,
            fleet: this.fleet,
            store,
            listDemands: () => this.#demand.list(options.configuration(), clock.steady(), clock.wall()),
            earlierOrders: options.machineOrders,
            knownSince: () => this.#demand.firstWorkAt,
            vacate: server => this.#vacate(server),
            isPinned: server => relocation.isPinned(server),
        });
        this.#servers = new storeClient.TopicFollower(
            store,
            {
                topic: platform.storeCalls.serversTopic,
                handlers: {
                    apply: record => this.fleet.applyRecord(record),
                    reset: () => this.fleet.markAllUnlisted(),
                },
                wait: 1000,
                pause: () => serverReadPause,
            },
            options.log,
            () => clock.wall(),
        );
    }

    /** Takes over: all jobs are known, the servers are asked, runs of earlier coordinators are taken in. */
    async start(): Promise<void> {
        this.#timer = setInterval(() => this.#tick(), tickInterval);
        const configuration = this.options.configuration();
        if (configuration !== undefined) {
            this.applyConfiguration(configuration);
        }
        for (const [number, wave] of this.options.waves) {
            this.#keeper.waves.apply(wave);
            const before = this.options.waveProgress.get(number);
            if (before !== undefined) {
                this.#keeper.waves.restore(number, before);
            }
        }
        while (!this.#stopped && !await this.#servers.catchUp()) {
            await timers.setTimeout(tickInterval);
        }
        this.#inheritRuns();
        this.fleet.begin();
        this.#servers.start();
        const { clock } = this.#shared;
        const patienceEnd = clock.steady() + takeoverPatience;
        while (!this.#stopped && clock.steady() < patienceEnd && this.#hasUnasked()) {
            await timers.setTimeout(takeoverLook);
        }
        this.#ready = true;
        this.#demand.firstWorkAt = this.board.active.size > 0 ? clock.steady() : undefined;
        this.#shared.log.info("coordinating", {
            epoch: this.options.epoch,
            jobs: this.board.active.size,
            servers: this.fleet.sessions.size,
            took: clock.steady() - this.#shared.claimedAt,
        });
        this.#wake();
    }

    stop(): void {
        this.#stopped = true;
        clearInterval(this.#timer);
        this.#servers.stop();
        this.#keeper.stop();
        this.fleet.stop();
        this.#shared.writer.stop();
    }

    /** Gives up coordination on purpose, so that another process claims it at once. */
    async resign(): Promise<void> {
        const ordersSettled = await this.#keeper.close(orderSettlement);
        clearInterval(this.#timer); // A later sign of life would take the resignation back.
        this.#shared.writer.add(this.#createBeat(true, ordersSettled));
        await this.#shared.writer.flush();
        this.#stepDown("resigned");
    }

    applyConfiguration(configuration: platform.operatorRecords.Configuration): void {
        this.board.applyConfiguration(configuration);
        for (const entry of this.options.jobs.entries.values()) {
            this.considerJob(entry);
        }
    }

    applyWave(wave: platform.operatorRecords.Wave): void {
        this.#keeper.waves.apply(wave);
    }

    /** A job was submitted or cancelled. */
    considerJob(entry: jobState.JobEntry): void {
        const known = this.board.active.has(entry.id);
        const active = this.board.consider(entry, this.#shared.clock.wall());
        if (active === undefined) {
            return;
        }
        if (!known && this.#ready) {
            this.#demand.noteArrival(active, this.#shared.clock.steady());
        }
        if (entry.cancelledAt !== undefined) {
            this.#cancel(active);
        }
        this.#wake();
    }

    #cancel(active: jobBoard.ActiveJob): void {
        this.#runs.settle(active);
        this.#stopRunsOf(active);
    }

    #stopRunsOf(active: jobBoard.ActiveJob): void {
        for (const server of this.fleet.sessions.values()) {
            for (const run of [...server.runs.values()]) {
                if (run.entry === active.entry) {
                    void this.#runs.stop(server, run);
                }
            }
        }
    }

    #inheritRuns(): void {
        for (const active of this.board.active.values()) {
            for (const [number, occurrence] of active.progress.occurrences) {
                for (const [task, history] of occurrence.histories) {
                    history.runs.forEach(run => this.#inheritRun(active, number, task, run));
                }
            }
            if (active.entry.cancelledAt !== undefined) {
                this.#cancel(active);
            }
        }
    }

    #inheritRun(active: jobBoard.ActiveJob, occurrence: number, task: number, run: jobState.Run): void {
        const id = session.parseBootServer(run.server);
        const server = this.fleet.sessions.get(id) ?? this.fleet.openUnlisted(id);
        this.#runs.inherit(active, occurrence, task, run, server);
    }

    #hasUnasked(): boolean {
        for (const server of this.fleet.sessions.values()) {
            if (!server.unlisted && server.clockSample === undefined) {
                return true;
            }
        }
        return this.fleet.sessions.size === 0;
    }

    #wake(): void {
        if (!this.#passScheduled && this.#ready && !this.#stopped) {
            this.#passScheduled = true;
            setTimeout(() => {
                this.#passScheduled = false;
                this.#pass();
            }, passDelay);
        }
    }

    #tick(): void {
        const now = this.#shared.clock.steady();
        if (now - this.#lastBeat >= leadership.beatInterval) {
            this.#lastBeat = now;
            this.#shared.writer.add(this.#createBeat(false, false));
        }
        if (this.#ready) {
            this.#keeper.tick();
        }
        for (const active of [...this.board.active.values()]) {
            if (jobState.isSettled(active.progress.status)) {
                this.#stopRunsOf(active);
                this.#runs.settle(active);
            }
        }
        if (now - this.#lastSweep >= sweepInterval) {
            this.#lastSweep = now;
            void this.#sweeper.sweep();
            this.#advice.forget(stepKey => !this.board.active.has(stepKey.slice(0, stepKey.indexOf("."))));
        }
        this.#stopStalled();
        this.#vacateDraining();
        this.#wake();
    }

    /** Stops runs that stand still, so that their tasks start elsewhere. */
    #stopStalled(): void {
        for (const server of this.fleet.sessions.values()) {
            for (const run of server.listStalled()) {
                this.#shared.log.info("run-stalled", {
                    task: run.name,
                    server: server.entry.id,
                    percent: run.percent,
                    since: Math.round(server.lastAnswer - run.percentChangedAt),
                });
                server.health.note(false, server.lastAnswer);
                this.board.active.get(run.entry.id)?.avoided.add(server.entry.id);
                void this.#runs.stop(server, run);
            }
        }
    }

    #createBeat(resigned: boolean, ordersSettled: boolean): platform.storeCalls.KeyedRecord {
        return jobState.encodeLeadership({
            epoch: this.options.epoch,
            node: this.options.settings.node,
            processStart: this.options.processStart,
            resigned,
            ordersSettled,
            tenure: this.#shared.clock.steady() - this.#shared.claimedAt,
        });
    }

    /** Starts what is ready, service by service, in order, as far as there is room. */
    #pass(): void {
        if (this.#stopped) {
            return;
        }
        this.fleet.refreshOpen();
        const servers = this.fleet.listByService();
        const planned: placer.PlannedRun[] = [];
        for (const [service, candidates] of this.board.listCandidates(this.#shared.clock.wall())) {
            planned.push(...this.#placer.place(candidates, servers.get(service) ?? []));
        }
        if (planned.length > 0) {
            void this.#send(planned);
        }
    }

    /** Slows fillers beside serving tasks whose tails near their targets, and lets them go again. */
    #paceFillers(server: session.ServerSession): void {
        const all = [...server.runs.values()].filter(run => run.phase === session.RunPhase.running);
        const fillers = all.filter(run => run.step.filler);
        if (fillers.length === 0) {
            return;
        }
        const serving = all
            .filter(run => run.step.tailTarget > 0)
            .map(run => ({ tail: run.usage, target: run.step.tailTarget }));
        for (const filler of fillers) {
            const pace = scheduling.decidePace(serving, filler.pace);
            if (pace !== filler.pace) {
                this.#shared.log.info("filler-paced", {
                    server: server.entry.id,
                    step: filler.stepKey,
                    from: filler.pace,
                    to: pace,
                    serving,
                });
                void this.#runs.pace(server, filler, pace);
            }
        }
    }

    async #send(planned: readonly placer.PlannedRun[]): Promise<void> {
        if (!await this.#shared.writer.flush()) {
            return;
        }
        for (const { server, run } of planned) {
            void this.#runs.start(server, run);
        }
    }

    /** Long-running tasks leave servers that will end soon, while others go on. */
    #vacateDraining(): void {
        for (const server of this.fleet.sessions.values()) {
            if (server.entry.draining && server.reachable && server.load.longRunningTasks > 0) {
                this.#vacate(server);
            }
        }
    }

    /** Stops one task that a server has to be rid of; the next look sees it as away. */
    #vacate(server: session.ServerSession): void {
        const run = relocation.chooseRelocation(server, [...this.fleet.sessions.values()]);
        if (run !== undefined) {
            this.#shared.log.info("task-relocated", { step: run.stepKey, server: server.entry.id });
            void this.#runs.stop(server, run);
        }
    }

    #stepDown(reason: string): void {
        if (!this.#stopped) {
            this.stop();
            this.#shared.log.warn("stepped-down", { epoch: this.options.epoch, reason });
            this.options.onStepDown(reason);
        }
    }
}
