/**
 * Coordinators, one after the other, with backend servers, machines and a store in memory, in virtual time. The servers
 * judge whether too many long-running tasks of a step are away at once, whether organisations keep to their quotas, whether
 * tasks run twice, and whether jobs end as they should.
 */
import type * as eventLog from "@catkinwharf/event-log";
import * as httpCalls from "@catkinwharf/http-calls";
import * as jobState from "@catkinwharf/job-state";
import * as jobTesting from "@catkinwharf/job-state/testing";
import * as platform from "@catkinwharf/platform";
import * as platformTesting from "@catkinwharf/platform/testing";
import * as scheduling from "@catkinwharf/scheduling";
import * as neverthrow from "neverthrow";
import * as coordinator from "../coordinator.js";
import * as earlierOrders from "../earlier-orders.js";
import type * as leaderElection from "../leader-election.js";
import * as serverFence from "../server-fence.js";
import * as availabilityRule from "./availability-rule.js";
import * as connections from "./connections.js";
import * as contextTesting from "./context.js";
import * as jobEndRule from "./job-end-rule.js";
import * as memoryStore from "./memory-store.js";
import * as processor from "./processor.js";
import * as quotaRule from "./quota-rule.js";
import * as simulatedServer from "./simulated-server.js";
import * as singleRunRule from "./single-run-rule.js";
import * as virtualTime from "./virtual-time.js";

export const service = "quotes";
const standbyPool = "standby";
/** The servers' addresses differ in their ports. */
const firstPort = 10_000;
const machinesAddress = contextTesting.settings.machinesAddress!;
/** Time in ms from an order for a machine until its new server is up. */
const moveTime = 1500;
export const maintenanceTime = 2000;
/** Time in ms after a disturbance in which a lapsed lease may follow from it. */
const disturbancePeriod = 3000;
/** Time in ms after which a connection that can't be opened is given up. */
const connectTimeout = 600;
/** Time in ms after which a call that is carried out counts as late. */
const lateAfter = 1000;

/** What becomes of one call. */
export interface Fate {
    /** Time in ms after which it is carried out; `undefined` if it never is. */
    readonly carriedOutAfter: number | undefined;
    readonly answered: boolean;
    /** Time in ms for which the response is on its way; that of an ordinary one if there is none. */
    readonly answeredAfter?: number;
    /** The server has received the call before it carries it out: the end of its connection changes nothing. */
    readonly outlastsConnection?: boolean;
    /** The server responds that it is unhealthy, and does nothing. */
    readonly refusedAsUnhealthy?: boolean;
    /** Resolves when the connection is refused or breaks; a call without a response fails then. */
    readonly failure?: Promise<httpCalls.CallError>;
}

export interface CallDescription {
    readonly epoch: number;
    /** ID of the server, or of the machine. */
    readonly target: string;
    readonly kind: platformTesting.ServerOrder["kind"] | platformTesting.MachineOrder["kind"];
    readonly task: string;
}

export interface SimulationOptions {
    readonly random: () => number;
    readonly machineCount: number;
    readonly chooseFailure?: () => number | undefined;
    /** Share of a core that the coordinator gets; its work takes no time if there is none. */
    readonly processorShare?: number;
    readonly storeLimits?: platform.settings.StoreLimits;
    /** What bounds the runs that a coordinator has under way; nothing unless given. */
    readonly runLimits?: scheduling.RunLimits;
    /** Reading in ms at which a server's clock begins in each boot; 0 if there is none. */
    readonly chooseClockStart?: () => number;
    /**
     * Whether processes keep connections to servers: a call on a used one reaches no later boot, and a new one can't be opened to
     * a server that is down or cut off. Else every call gets a new one, which is always there.
     */
    readonly keepsConnections?: boolean;
    /** Number of racks, over which the machines are spread; no rack is known if there is none. */
    readonly rackCount?: number;
}

/** Times in ms of a server's restart. */
export interface RestartTimes {
    /** For which it is down: no call gets an answer. */
    readonly down: number;
    /** From the start of the new boot until its entry is there. */
    readonly registration: number;
}

/**
 * Costs in ms of a core: of sending a call, of handling the response to one, and of handling a timer or a response of
 * the store.
 */
const processorCost = { call: 0.4, response: 0.4, timer: 0.05 };

interface SimulatedMachine {
    readonly id: string;
    readonly rack: string;
    pool: string;
    state: platform.machineCalls.MachineState;
    server: simulatedServer.SimulatedServer | undefined;
    readonly maintained: Set<number>;
}

export interface LogLine {
    readonly at: number;
    readonly epoch: number;
    readonly event: string;
    readonly fields: eventLog.Fields;
}

type Delivery = (
    fate: Fate,
    respond: (response: platform.HttpResponse) => void,
    reset: () => void,
) => void;

interface CallConnection {
    /** Whether the server is up, or was when the connection was opened. */
    readonly isOpen: boolean;
    /** Whether the connection has carried a response before; `undefined` if connections aren't simulated. */
    readonly isUsed: boolean | undefined;
}

/** A coordinator's process. */
interface Process {
    readonly coordinator: coordinator.Coordinator;
    readonly epoch: number;
    /** Killed: none of its calls is carried out. */
    dead: boolean;
    reachesStore: boolean;
}

const ordinaryFate: Fate = { carriedOutAfter: 2, answered: true };

export class Simulation {
    readonly time = new virtualTime.VirtualTime();
    readonly rule = new availabilityRule.AvailabilityRule(() => this.time.now);
    readonly quotaRule = new quotaRule.QuotaRule(() => this.time.now);
    readonly singleRunRule = new singleRunRule.SingleRunRule(() => this.time.now);
    readonly jobEndRule = new jobEndRule.JobEndRule(initialConfiguration.routes[0]!.maxAttempts);
    readonly log: LogLine[] = [];
    /** Restart delays in ms that coordinators have reported for their metrics. */
    readonly restartDelays: number[] = [];
    readonly machines: SimulatedMachine[] = [];
    /** Decides on each call; a test replaces it to disturb some. */
    decideFate: (call: CallDescription) => Fate = () => ordinaryFate;
    disturbedUntil = Number.NEGATIVE_INFINITY;
    current: Process | undefined;
    #lastEpoch = 0;
    readonly #topics = new memoryStore.MemoryLog();
    readonly #jobs: jobState.Job[] = [];
    readonly #cancellations: jobState.KeyedRecord[] = [];
    #configuration = initialConfiguration;
    readonly #waves = new Map<number, platform.operatorRecords.Wave>();
    #serverCount = 0;
    readonly #host: simulatedServer.ServerHost;
    readonly #processor: processor.Processor | undefined;
    /** Durations in ms of the ordinary tasks, by job. */
    readonly #durations = new Map<string, number>();
    /** Number of tasks that servers have done. */
    doneTasks = 0;
    /** Called when a server has started a task; a test replaces it to crash some. */
    onStarted: (task: string, server: simulatedServer.SimulatedServer) => void = () => undefined;

    constructor(private readonly options: SimulationOptions) {
        this.#host = {
            time: this.time,
            rule: this.rule,
            singleRunRule: this.singleRunRule,
            random: options.random,
            isDisturbed: () => this.time.now - this.disturbedUntil < disturbancePeriod,
            chooseFailure: options.chooseFailure ?? (() => undefined),
            findDuration: task => this.#durations.get(task.slice(0, task.indexOf("."))),
            onStarted: (task, server) => {
                this.quotaRule.recordStart(task);
                this.onStarted(task, server);
            },
            onEnded: task => this.quotaRule.recordEnd(task),
            onFailed: task => this.jobEndRule.recordFailure(task),
            onDone: () => this.doneTasks += 1,
            chooseClockStart: options.chooseClockStart ?? (() => 0),
        };
        const { processorShare } = options;
        this.#processor = processorShare === undefined
            ? undefined
            : new processor.Processor(this.time, processorShare);
        this.time.install(callback => this.#work(processorCost.timer, callback));
        for (let i = 0; i < options.machineCount; i++) {
            const machine: SimulatedMachine = {
                id: `m${i}`,
                rack: options.rackCount === undefined ? "" : `r${i % options.rackCount}`,
                pool: service,
                state: platform.machineCalls.MachineState.up,
                server: undefined,
                maintained: new Set(),
            };
            this.machines.push(machine);
            this.startServer(machine);
        }
    }

    /** Does work of the coordinator, when its processor has time for it. */
    #work(cost: number, callback: () => void): void {
        if (this.#processor === undefined) {
            callback();
        }
        else {
            this.#processor.run(cost, callback);
        }
    }

    close(): void {
        this.current?.coordinator.stop();
        this.time.uninstall();
    }

    /** Decides which appends the store doesn't answer, see `MemoryLog`. */
    set holdsAppend(holds: memoryStore.MemoryLog["holdsAppend"]) {
        this.#topics.holdsAppend = holds;
    }

    /** Appends that were stored, and their bytes. */
    get stored(): Readonly<memoryStore.MemoryLog["stored"]> {
        return this.#topics.stored;
    }

    /** Server that runs this task now. */
    findServer(task: string): simulatedServer.SimulatedServer | undefined {
        return this.machines.find(({ server }) => server?.running.has(task) === true)?.server;
    }

    findMachine(server: simulatedServer.SimulatedServer): SimulatedMachine {
        return this.machines.find(machine => machine.server === server)!;
    }

    submit(id: string, taskCount: number, maxUnavailable: number, cpu: number): void {
        const step = jobTesting.createStep({
            taskCount,
            demand: { cpu, memory: 100, accelerators: 0 },
            longRunning: true,
            maxUnavailable,
        });
        const job = jobTesting.createJob({ id, steps: [step], submittedAt: this.time.clock.wall() });
        this.#jobs.push(job);
        this.rule.addStep(`${id}.0.0`, taskCount, maxUnavailable);
        this.#applyJob(job);
    }

    /** Submits a job of one step whose tasks take `duration` ms each. */
    submitOrdinary(
        id: string,
        taskCount: number,
        duration: number,
        overrides: Partial<jobState.Step> = {},
        organisation?: string,
    ): void {
        const step = jobTesting.createStep({ taskCount, estimate: duration, ...overrides });
        const job = jobTesting.createJob({ id, steps: [step], organisation, submittedAt: this.time.clock.wall() });
        this.#durations.set(id, duration);
        this.#jobs.push(job);
        this.#applyJob(job);
    }

    /** Submits a job of any steps and times, whose tasks take `duration` ms each, or last if there is none. */
    submitJob(job: Partial<jobState.Job> & Pick<jobState.Job, "id" | "steps">, duration?: number): void {
        const submitted = jobTesting.createJob({ submittedAt: this.time.clock.wall(), ...job });
        if (duration !== undefined) {
            this.#durations.set(job.id, duration);
        }
        job.steps.forEach(({ longRunning, taskCount }, i) => {
            if (longRunning) {
                this.rule.addStep(`${job.id}.0.${i}`, taskCount, taskCount);
            }
        });
        this.#jobs.push(submitted);
        this.#applyJob(submitted);
    }

    /** Cancels a job that isn't stored, as its caller would. */
    cancelInAdvance(id: string): void {
        const { queue, organisation } = jobTesting.createJob({ id });
        const cancelledAt = this.time.clock.wall();
        const record = jobState.encodeAdvanceCancellation({ id, queue, organisation, cancelledAt });
        this.#cancellations.push(record);
        this.#currentJobs?.applySubmission(record.key, record.value);
    }

    /** What callers are told at the end of each ordinary job, by ID; those that must not be cancelled. */
    listWrongEnds(): string[] {
        const statuses = new Map<string, string>();
        for (const { record } of this.#topics.listNewest(jobState.ledgerTopic)) {
            const decoded = jobState.decodeLedger(record!.key, record!.value);
            if (decoded?.kind === "progress") {
                statuses.set(decoded.id, decoded.progress.status);
            }
        }
        return this.jobEndRule.judge([...this.#durations.keys()], statuses);
    }

    /** Publishes a configuration with these organisations. */
    configure(organisations: readonly platform.operatorRecords.Organisation[]): void {
        this.#configuration = { ...this.#configuration, version: this.#configuration.version + 1, organisations };
        this.quotaRule.setLimits(organisations);
        this.current?.coordinator.applyConfiguration(this.#configuration);
    }

    /** Cancels a job, as its caller would. */
    cancel(id: string): void {
        const { key, value } = jobState.encodeCancellation(id, this.time.clock.wall());
        this.#cancellations.push({ key, value });
        this.#currentJobs?.applySubmission(key, value);
        const entry = this.#currentJobs?.entries.get(id);
        if (entry !== undefined) {
            this.current?.coordinator.applyJob(entry);
        }
    }

    #applyJob(job: jobState.Job): void {
        this.quotaRule.addJob(job);
        const jobs = this.#currentJobs;
        const { key, value } = jobState.encodeJob(job);
        jobs?.applySubmission(key, value);
        const entry = jobs?.entries.get(job.id);
        if (entry !== undefined) {
            this.current?.coordinator.applyJob(entry);
        }
    }

    #currentJobs: jobState.JobTable | undefined;

    requestWave(number: number, machines: readonly string[], duration: number, maxOut: number): void {
        const wave = { number, machines, duration, maxOut };
        this.#waves.set(number, wave);
        this.current?.coordinator.applyWave(wave);
    }

    /**
     * Starts the next coordinator, which fences the one before.
     *
     * @param pause time in ms for which its process is paused between its claim and the creation of the coordinator
     */
    startCoordinator(pause = 0): void {
        this.#lastEpoch += 1;
        const epoch = this.#lastEpoch;
        const claim = {
            epoch: epoch * serverFence.tokensPerEpoch,
            sequence: 0,
            claimedAt: this.time.clock.monotonic(),
        };
        this.#topics.append(jobState.ledgerTopic, [], { producer: { name: jobState.ledgerProducer, ...claim } });
        const { clock } = this.time;
        const jobs = new jobState.JobTable();
        for (const job of this.#jobs) {
            const { key, value } = jobState.encodeJob(job);
            jobs.applySubmission(key, value);
        }
        this.#cancellations.forEach(({ key, value }) => jobs.applySubmission(key, value));
        this.#topics.listNewest(jobState.submissionsTopic).forEach(({ record }) =>
            jobs.applySubmission(record!.key, record!.value)
        );
        const records = this.#topics.listNewest(jobState.ledgerTopic).flatMap(({ record }) =>
            jobState.decodeLedger(record!.key, record!.value) ?? []
        );
        const last = records.find(record => record.kind === "leadership")?.leadership;
        const waveProgress = new Map<number, jobState.WaveProgress>();
        const earlierOrderTimes = new Map<string, number>();
        const serverBoots = new Map<string, jobState.ServerBoot>();
        for (const record of records) {
            if (record.kind === "progress") {
                jobs.applyProgress(record.id, record.progress);
            }
            else if (record.kind === "part") {
                jobs.applyPart(record.id, record.key, record.part);
            }
            else if (record.kind === "wave") {
                waveProgress.set(record.number, record.wave);
            }
            else if (record.kind === "server" && record.boot !== undefined) {
                serverBoots.set(record.id, record.boot);
            }
            else if (record.kind === "machine") {
                const order = { epoch: record.epoch, tenure: record.tenure, readAt: clock.monotonic() };
                earlierOrderTimes.set(record.id, earlierOrders.findLatestOrderTime(order, last, clock.monotonic()));
            }
        }
        const process: { -readonly [Key in keyof Process]?: Process[Key]; } = {
            epoch,
            dead: false,
            reachesStore: true,
        };
        const create = () =>
            this.#createCoordinator(process as Process, claim, jobs, {
                waveProgress,
                earlierOrderTimes,
                serverBoots,
            });
        if (pause === 0) {
            create();
        }
        else {
            this.time.schedule(create, pause);
        }
    }

    #createCoordinator(
        process: { -readonly [Key in keyof Process]: Process[Key]; },
        claim: leaderElection.Claim,
        jobs: jobState.JobTable,
        ledger: Pick<coordinator.CoordinatorOptions, "waveProgress" | "serverBoots" | "earlierOrderTimes">,
    ): void {
        const { epoch } = process;
        const { clock } = this.time;
        const calls = this.#createCalls(process);
        process.coordinator = new coordinator.Coordinator({
            settings: {
                ...contextTesting.settings,
                storeLimits: this.options.storeLimits ?? contextTesting.settings.storeLimits,
                bounds: { ...contextTesting.settings.bounds, maxLease: simulatedServer.maxLease },
            },
            claim,
            processStart: epoch,
            runLimits: this.options.runLimits ?? scheduling.noRunLimits,
            store: new memoryStore.MemoryStore(
                this.#topics,
                this.time,
                () => process.dead !== true && process.reachesStore === true,
            ),
            calls,
            serverCalls: calls,
            jobs,
            log: this.#createLog(epoch),
            clock,
            configuration: () => this.#configuration,
            waves: this.#waves,
            ...ledger,
            onStepDown: () => undefined,
            observeDuration: () => undefined,
            observeOrganisations: () => undefined,
            observeRestart: delay => void this.restartDelays.push(delay),
        });
        this.#currentJobs = jobs;
        this.current = process;
        void process.coordinator.start();
    }

    /** Ends the coordinator's process without notice. */
    kill(): void {
        this.current!.dead = true;
        this.current!.coordinator.stop();
    }

    startServer(machine: SimulatedMachine): void {
        this.#serverCount += 1;
        const id = `s${this.#serverCount}`;
        machine.state = platform.machineCalls.MachineState.up;
        machine.server = new simulatedServer.SimulatedServer(this.#host, {
            id,
            service: machine.pool,
            address: `127.0.0.1:${firstPort + this.#serverCount}`,
            availabilityZone: "a",
            remaining: undefined,
            cpu: 64_000,
            memory: 100_000,
            accelerators: 0,
            labels: [],
            rack: machine.rack,
        });
        this.register(machine.server);
    }

    /** The server crashes and starts again under its ID. */
    rebootServer(server: simulatedServer.SimulatedServer): void {
        server.reboot();
        this.register(server);
    }

    /**
     * The server crashes, and starts again under its ID, without anybody being told: polls under way stay without an answer,
     * and a call on its way reaches the boot that is up by then.
     */
    restartSilently(server: simulatedServer.SimulatedServer, { down, registration }: RestartTimes): void {
        const machine = this.findMachine(server);
        server.crash();
        machine.state = platform.machineCalls.MachineState.down;
        this.time.schedule(() => {
            if (machine.server === server && server.down) {
                server.reboot();
                machine.state = platform.machineCalls.MachineState.up;
                this.time.schedule(() => this.#registerIfPresent(server), registration);
            }
        }, down);
    }

    #registerIfPresent(server: simulatedServer.SimulatedServer): void {
        if (!server.ended && !server.down) {
            this.register(server);
        }
    }

    register(server: simulatedServer.SimulatedServer): void {
        const { draining, bootedAt, registration } = server;
        this.#topics.append(platform.storeCalls.serversTopic, [
            platformTesting.createRegistration({ ...registration, draining, bootedAt }),
        ]);
    }

    /** Removes the server's entry, as the platform does if reports of the server don't reach its store. */
    unregister({ registration }: simulatedServer.SimulatedServer): void {
        this.#topics.append(platform.storeCalls.serversTopic, [{ key: registration.id, value: new Uint8Array() }]);
    }

    /** The server ends, by an order or by itself; its entry is removed. */
    endServer(machine: SimulatedMachine, order?: "move" | "maintenance"): void {
        const { server } = machine;
        if (server !== undefined) {
            machine.server = undefined;
            server.end(order);
            const removal = { key: server.registration.id, value: new Uint8Array() };
            this.#topics.append(platform.storeCalls.serversTopic, [removal]);
        }
    }

    /** Puts the machine on standby. */
    switchOff(machine: SimulatedMachine): void {
        this.endServer(machine);
        machine.pool = standbyPool;
    }

    #createLog(epoch: number): eventLog.EventLog {
        const add = (event: string, fields: eventLog.Fields) =>
            void this.log.push({ at: Math.round(this.time.now), epoch, event, fields });
        return { counts: new Map(), info: add, warn: add };
    }

    #createCalls(process: Process): httpCalls.HttpClient {
        const calls = new httpCalls.HttpClient();
        const pool = new connections.Connections();
        calls.send = (address, call, timeout, abort) => {
            const isMachineCall = address === machinesAddress;
            const findServer = () =>
                this.machines.find(machine => machine.server?.registration.address === address)?.server;
            const description = isMachineCall ? describeMachineCall(call) : describeServerCall(findServer(), call);
            const connection = this.options.keepsConnections === true && !isMachineCall
                ? pool.take(address, findServer())
                : undefined;
            const deliver: Delivery = ({ carriedOutAfter, outlastsConnection }, respond, reset) => {
                if (isMachineCall) {
                    respond(this.#handleMachineCall(platformTesting.decodeMachineCall(call)));
                    return;
                }
                if (abort?.signal.aborted === true && outlastsConnection !== true) {
                    return; // Its connection was closed before it arrived.
                }
                const server = findServer();
                const late = carriedOutAfter! > lateAfter;
                if (connection?.isResetBy(server) === true) {
                    reset();
                }
                else if (connection === undefined || connection.leadsTo(server)) {
                    server?.receive(platformTesting.decodeServerCall(call), late, response => {
                        connection?.release(server);
                        respond(response);
                    });
                }
            };
            const isOpen = connection === undefined || connection.isUsed || findServer()?.down === false;
            const isUsed = connection?.isUsed;
            return this.#send(process, { ...description, epoch: process.epoch }, { timeout, isOpen, isUsed }, deliver);
        };
        calls.closeConnections = () => undefined;
        return calls;
    }

    #send(
        process: Process,
        description: CallDescription,
        { timeout, isOpen, isUsed }: CallConnection & { readonly timeout: number; },
        deliver: Delivery,
    ): ReturnType<httpCalls.HttpClient["send"]> {
        return new Promise(resolve => {
            const fate = this.decideFate(description);
            // While the server is down, a connection may be opened to its next boot.
            const isUnsent = isUsed === false
                && (fate.carriedOutAfter === undefined || !isOpen && fate.carriedOutAfter > connectTimeout);
            const error: httpCalls.CallError = isUnsent
                ? { ...timedOut, fault: httpCalls.CallFault.unsent }
                : { ...timedOut, onUsedConnection: isUsed === true };
            // A response that arrived earlier is handled earlier.
            this.time.schedule(
                () => this.#work(processorCost.timer, () => resolve(neverthrow.err(error))),
                isUnsent ? Math.min(timeout, connectTimeout) : timeout,
            );
            void fate.failure?.then(error => resolve(neverthrow.err(error)));
            if (process.dead || isUnsent || fate.carriedOutAfter === undefined) {
                return;
            }
            const respond = (response: platform.HttpResponse) => {
                if (fate.answered && !process.dead) {
                    this.time.schedule(
                        () => this.#work(processorCost.response, () => resolve(neverthrow.ok(response))),
                        fate.answeredAfter ?? ordinaryFate.carriedOutAfter!,
                    );
                }
            };
            const reset = () =>
                this.time.schedule(
                    () => this.#work(processorCost.response, () => resolve(neverthrow.err(connectionReset))),
                    ordinaryFate.carriedOutAfter!,
                );
            const { carriedOutAfter, refusedAsUnhealthy } = fate;
            this.#work(processorCost.call, () =>
                this.time.schedule(
                    () => refusedAsUnhealthy === true ? respond(unhealthy) : deliver(fate, respond, reset),
                    carriedOutAfter,
                ));
        });
    }

    #handleMachineCall(order: platformTesting.MachineOrder): platform.HttpResponse {
        const { up, moving, maintenance } = platform.machineCalls.MachineState;
        if (order.kind === "list") {
            return platformTesting.createMachineList(this.machines.map(({ id, pool, state, server }) => ({
                id,
                pool,
                state,
                server: server?.down === false ? server.registration.id : "",
                cpu: 64_000,
                memory: 100_000,
            })));
        }
        const machine = this.machines.find(({ id }) => id === order.machine)!;
        const done = order.kind === "move" ? machine.pool === order.pool : machine.maintained.has(order.wave);
        if (done) {
            return platformTesting.createDoneResponse();
        }
        if (machine.state !== up || machine.server?.draining === true) {
            return platformTesting.createMachineRefusal(platform.machineCalls.MachineRefusal.busy);
        }
        this.endServer(machine, order.kind);
        machine.state = order.kind === "move" ? moving : maintenance;
        machine.pool = order.kind === "move" ? order.pool : machine.pool;
        machine.maintained.add(order.wave);
        this.time.schedule(() => {
            if (machine.pool === standbyPool) {
                machine.state = up;
            }
            else {
                this.startServer(machine);
            }
        }, order.kind === "move" ? moveTime : maintenanceTime);
        return platformTesting.createDoneResponse();
    }
}

const unhealthy: platform.HttpResponse = { status: 503, body: new Uint8Array() };

const timedOut: httpCalls.CallError = {
    layer: "http-calls",
    fault: httpCalls.CallFault.unanswered,
    timedOut: true,
    onUsedConnection: false,
    reason: "timed out",
};

const connectionReset: httpCalls.CallError = {
    layer: "http-calls",
    fault: httpCalls.CallFault.unanswered,
    timedOut: false,
    onUsedConnection: true,
    reason: "connection reset",
};

const initialConfiguration: platform.operatorRecords.Configuration = {
    version: 1,
    routes: [{
        name: "quotes",
        host: "",
        pathPrefix: "/",
        service,
        priority: 0,
        maxAttempts: 3,
        slackFactor: 1,
        latencyAllowance: 0,
        timeout: 1000,
        advice: undefined,
        isPublic: false,
    }],
    services: [
        { name: service, healthPath: "", rejectsOverload: false, standby: false },
        { name: standbyPool, healthPath: "", rejectsOverload: false, standby: true },
    ],
    organisations: [],
    maxBodyBytes: 1,
};

function describeServerCall(
    server: simulatedServer.SimulatedServer | undefined,
    call: platform.Call,
): Omit<CallDescription, "epoch"> {
    const { kind, task } = platformTesting.decodeServerCall(call);
    return { target: server?.registration.id ?? "", kind, task };
}

function describeMachineCall(call: platform.Call): Omit<CallDescription, "epoch"> {
    const { kind, machine } = platformTesting.decodeMachineCall(call);
    return { target: machine, kind, task: "" };
}
