/**
 * Plays the loss of some servers that run ordinary tasks, and measures when these tasks start again.
 *
 * Small jobs arrive all the time, so starts are under way at the loss, and more are sent until the coordinator notices it.
 */
import * as httpCalls from "@catkinwharf/http-calls";
import * as platform from "@catkinwharf/platform";
import * as randomFaults from "./random-faults.js";
import type * as simulatedServer from "./simulated-server.js";
import * as simulation from "./simulation.js";

export const Loss = {
    /** Connections are refused or reset at once, and the machine is listed as down. */
    seenCrash: "crash, connections refused",
    /** Calls get no answer, and the machine is listed as down. */
    silentCrash: "crash without notice",
    /** The server ends, and starts again under its ID after a short silence. */
    restart: "silent restart",
    /** The server runs on, but no call reaches it. */
    cut: "cut",
    /** A restart, and a cut from which the times count. */
    restartThenCut: "silent restart, then cut",
} as const;
export type Loss = (typeof Loss)[keyof typeof Loss];

export interface LossCourse {
    readonly loss: Loss;
    /** Whether the lost servers run nothing at the loss, or before the restart. */
    readonly idle: boolean;
    /** Time in ms, a whole number, from the end of the preparation to the loss. */
    readonly offset: number;
    readonly seed: number;
}

export interface LossOutcome {
    /** Times in ms from the loss to the next start of each task that the lost servers had confirmed. */
    readonly confirmed: readonly number[];
    /** The same for those whose start wasn't confirmed at the loss, or was sent after it. */
    readonly unconfirmed: readonly number[];
    /** Tasks that didn't start again until the end. */
    readonly idleTasks: readonly string[];
    /** Tasks that ran on two servers at the same time. */
    readonly doubleTasks: readonly string[];
}

/** A start that was sent to one of the lost servers. */
interface SentStart {
    readonly task: string;
    readonly sentAt: number;
    /** `undefined` if the server got no start, or its answer was lost. */
    readonly confirmedAt: number | undefined;
}

interface Outage {
    readonly from: number;
    readonly until: number;
}

const machineCount = 10;
/** Fewer that are busy, so that the rest has room for their tasks. */
const lostMachines = { busy: 2, idle: 4 };
/** Times in ms: when work begins to arrive, when the preparation is over, and from the loss to the end. */
const workStart = 1000;
const preparationEnd = 12_000;
const observation = 18_000;
/** Latest time in ms after the loss of servers without runs at which work begins to arrive. */
const latestIdleWork = 1000;
/** Time in ms from the choice of the servers to their loss; longer than any call takes. */
const choiceLead = 50;
/** Time in ms for which a restart takes, and from its end to a cut. */
const restartTime = 600;
const cutDelay = 2000;
/** Time in ms between two reports of a server to the platform; its entry is removed after three of them. */
const heartbeatInterval = 1500;
/** Durations in ms of tasks, and the times between two arrivals. */
const shortTask = { duration: 2000, interval: 70 };
const longTask = { duration: 30_000, interval: 4000 };
const initialLongTasks = 10;
/** Eight tasks fill a server, so that new ones also go to servers without any. */
const taskCpu = 8000;
/** Range in ms of the time after which a call is carried out; its response takes `responseTime`. */
const callTime = { min: 1, max: 20 };
const responseTime = 2;
/** Time in ms between two looks at what runs. */
const sampleInterval = 10;

export async function playLoss(course: LossCourse): Promise<LossOutcome> {
    const play = new LossPlay(course);
    try {
        return await play.run();
    }
    finally {
        play.world.close();
    }
}

class LossPlay {
    readonly world: simulation.Simulation;
    readonly #random: () => number;
    readonly #lossAt: number;
    /** When the time that is measured begins. */
    readonly #measuredFrom: number;
    #lost: simulation.Simulation["machines"] = [];
    readonly #lostIds = new Set<string>();
    #outages: readonly Outage[] = [];
    /** Resolves at the loss. */
    readonly #loss: Promise<void>;
    readonly #starts: SentStart[] = [];
    #jobCount = 0;
    /** Times of all starts that servers carried out, by task. */
    readonly #startTimes = new Map<string, Set<number>>();
    readonly #doubleTasks = new Set<string>();

    constructor(private readonly course: LossCourse) {
        this.#random = randomFaults.createRandom(course.seed);
        this.world = new simulation.Simulation({ random: this.#random, machineCount, keepsConnections: true });
        this.world.decideFate = call => this.#decideFate(call);
        this.#lossAt = preparationEnd + course.offset;
        this.#loss = new Promise(resolve => void this.world.time.schedule(resolve, this.#lossAt));
        this.#measuredFrom = this.#lossAt + (course.loss === Loss.restartThenCut ? restartTime + cutDelay : 0);
    }

    async run(): Promise<LossOutcome> {
        const { world, course } = this;
        world.startCoordinator();
        const workFrom = course.idle ? this.#lossAt + this.#random() * latestIdleWork : workStart;
        world.time.schedule(() => this.#beginWork(), workFrom);
        await world.time.runUntil(this.#lossAt - choiceLead);
        this.#chooseServers();
        let running: ReadonlySet<string> = new Set();
        world.time.schedule(() => running = this.#listRunning(), this.#measuredFrom - world.time.now);
        world.time.schedule(() => this.#lose(), choiceLead);
        await this.#observe(this.#measuredFrom + observation);
        return this.#summarize(running);
    }

    #beginWork(): void {
        for (let i = 0; i < initialLongTasks && !this.course.idle; i++) {
            this.#submit(longTask.duration);
        }
        this.#repeat(shortTask.interval, () => this.#submit(shortTask.duration));
        this.#repeat(longTask.interval, () => this.#submit(longTask.duration));
    }

    #submit(duration: number): void {
        this.#jobCount += 1;
        const id = this.#jobCount.toString(16).padStart(16, "0");
        this.world.submitOrdinary(id, 1, duration, { demand: { cpu: taskCpu, memory: 100, accelerators: 0 } });
    }

    /** Repeats it at random times with this mean between them, until what is left of the observation doesn't matter. */
    #repeat(interval: number, action: () => void): void {
        const repeat = () => {
            action();
            if (this.world.time.now < this.#measuredFrom + observation / 2) {
                this.world.time.schedule(repeat, 2 * interval * this.#random());
            }
        };
        repeat();
    }

    #chooseServers(): void {
        const { loss, idle } = this.course;
        const fitting = this.world.machines.filter(({ server }) =>
            server !== undefined && (server.running.size === 0) === idle
        );
        const count = idle ? lostMachines.idle : lostMachines.busy;
        while (this.#lost.length < count && fitting.length > 0) {
            const [machine] = fitting.splice(Math.floor(fitting.length * this.#random()), 1);
            this.#lost.push(machine!);
            this.#lostIds.add(machine!.server!.registration.id);
        }
        const restartEnd = this.#lossAt + restartTime;
        const lasting = { from: this.#lossAt, until: Number.POSITIVE_INFINITY };
        const restart = { from: this.#lossAt, until: restartEnd };
        const outages: Readonly<Record<Loss, readonly Outage[]>> = {
            [Loss.seenCrash]: [lasting],
            [Loss.silentCrash]: [lasting],
            [Loss.restart]: [restart],
            [Loss.cut]: [lasting],
            [Loss.restartThenCut]: [restart, { ...lasting, from: restartEnd + cutDelay }],
        };
        this.#outages = outages[loss];
    }

    #lose(): void {
        const losses: Readonly<Record<Loss, (machine: simulation.Simulation["machines"][number]) => void>> = {
            [Loss.seenCrash]: machine => this.#crash(machine),
            [Loss.silentCrash]: machine => this.#crash(machine),
            [Loss.restart]: ({ server }) => this.#restart(server!),
            [Loss.cut]: () => undefined,
            [Loss.restartThenCut]: ({ server }) => this.#restart(server!),
        };
        this.#lost.forEach(losses[this.course.loss]);
    }

    /** Tasks on the servers that are lost. */
    #listRunning(): ReadonlySet<string> {
        return new Set(this.#lost.flatMap(({ server }) => [...server?.running.keys() ?? []]));
    }

    #crash(machine: simulation.Simulation["machines"][number]): void {
        const server = machine.server!;
        machine.server = undefined;
        machine.state = platform.machineCalls.MachineState.down;
        server.end();
        this.world.time.schedule(() => this.world.unregister(server), 3 * heartbeatInterval);
    }

    /** The server's entry in the store changes with its next report. */
    #restart(server: simulatedServer.SimulatedServer): void {
        server.reboot();
        this.world.time.schedule(() => {
            server.reboot(); // The boot time is that of the end of the silence.
            this.world.time.schedule(() => this.world.register(server), heartbeatInterval * this.#random());
        }, restartTime);
    }

    #decideFate({ target, kind, task }: simulation.CallDescription): simulation.Fate {
        const { time } = this.world;
        const sentAt = time.now;
        const delay = callTime.min + this.#random() * (callTime.max - callTime.min);
        const isServerCall = kind !== "list";
        const isDisturbed = (until: number) => isServerCall && this.#isLost(target) && this.#isDisturbed(sentAt, until);
        if (kind === "start" && this.#isLost(target)) {
            const confirmedAt = sentAt + delay + responseTime;
            this.#starts.push({ task, sentAt, confirmedAt: isDisturbed(confirmedAt) ? undefined : confirmedAt });
        }
        return {
            carriedOutAfter: isDisturbed(sentAt + delay) ? undefined : delay,
            // A long poll that is under way at the loss gets no response.
            get answered() {
                return !isDisturbed(time.now);
            },
            ...(isServerCall && this.course.loss === Loss.seenCrash
                ? { failure: this.#awaitFailure(target, sentAt) }
                : {}),
        };
    }

    async #awaitFailure(target: string, sentAt: number): Promise<httpCalls.CallError> {
        await this.#loss;
        return this.#isLost(target)
            ? sentAt < this.#lossAt ? connectionReset : connectionRefused
            : await new Promise(() => undefined);
    }

    /** Whether the target is one of the lost servers; one that has crashed has no ID any more. */
    #isLost(target: string): boolean {
        return this.#lostIds.has(target) || (target === "" && this.#lostIds.size > 0);
    }

    /** Whether the lost servers were out of reach at any time from `from` to `to`. */
    #isDisturbed(from: number, to: number): boolean {
        return this.#outages.some(outage => outage.from <= to && outage.until > from);
    }

    async #observe(until: number): Promise<void> {
        const { world } = this;
        while (world.time.now < until) {
            await world.time.runUntil(Math.min(until, world.time.now + sampleInterval));
            const running = new Set<string>();
            for (const { server } of world.machines) {
                for (const [task, { startedAt }] of server?.running ?? []) {
                    if (running.has(task)) {
                        this.#doubleTasks.add(task);
                    }
                    running.add(task);
                    const times = this.#startTimes.get(task) ?? new Set();
                    this.#startTimes.set(task, times.add(startedAt));
                }
            }
        }
    }

    /** @param running tasks on the lost servers at the loss */
    #summarize(running: ReadonlySet<string>): LossOutcome {
        const from = this.#measuredFrom;
        const unconfirmed = new Set(
            this.#starts
                .filter(({ sentAt, confirmedAt }) => sentAt > from - choiceLead && confirmedAt === undefined)
                .map(({ task }) => task),
        );
        const confirmed = [...running].filter(task => !unconfirmed.has(task));
        const findDelay = (task: string) =>
            Math.min(...[...this.#startTimes.get(task) ?? []].filter(startedAt => startedAt > from)) - from;
        const measure = (tasks: Iterable<string>) => [...tasks].map(findDelay).filter(Number.isFinite);
        return {
            confirmed: measure(confirmed),
            unconfirmed: measure(unconfirmed),
            idleTasks: [...confirmed, ...unconfirmed].filter(task => !Number.isFinite(findDelay(task))),
            doubleTasks: [...this.#doubleTasks],
        };
    }
}

const connectionReset: httpCalls.CallError = {
    layer: "http-calls",
    fault: httpCalls.CallFault.unanswered,
    timedOut: false,
    onUsedConnection: true,
    reason: "connection reset",
};
const connectionRefused: httpCalls.CallError = {
    layer: "http-calls",
    fault: httpCalls.CallFault.unsent,
    timedOut: false,
    onUsedConnection: false,
    reason: "connection refused",
};
