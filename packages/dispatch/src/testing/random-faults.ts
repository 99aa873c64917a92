/** A seeded course of disturbances: servers, calls and coordinators fail, and machines are maintained meanwhile. */
import * as platform from "@catkinwharf/platform";
import type * as scheduling from "@catkinwharf/scheduling";
import * as simulation from "./simulation.js";

/** Numbers from 0 to 1 by a seed (mulberry32). */
export function createRandom(seed: number): () => number {
    let state = seed;
    return () => {
        state = (state + 0x6d2b79f5) | 0;
        let mixed = Math.imul(state ^ (state >>> 15), state | 1);
        mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
        return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
    };
}

/** Trouble on the way to some servers. */
interface CallTrouble {
    readonly kind: "cut" | "lost requests" | "lost answers" | "late orders" | "later orders" | "later calls";
    readonly targets: ReadonlySet<string>;
    readonly until: number;
}

export interface FaultOptions {
    readonly seed: number;
    /** Servers and calls are disturbed, too, not only coordinators. */
    readonly disturbServers: boolean;
    /** Servers restart silently and are cut off, their clocks begin anywhere, and ordinary tasks run, too. */
    readonly restartServers?: boolean;
    /** Orders are carried out up to 12 s late, too. */
    readonly delayOrders?: boolean;
    /** Calls to servers that are about to restart, of all kinds, are carried out up to 12 s late, also by later boots. */
    readonly delaysFormerCalls?: boolean;
    /** See `SimulationOptions`; without it, a call of any age reaches the boot that is up. */
    readonly keepsConnections?: boolean;
    /** See `SimulationOptions`. */
    readonly runLimits?: scheduling.RunLimits;
    /** Called once jobs can be submitted, with the numbers of the course. */
    readonly prepare?: (world: simulation.Simulation, random: () => number) => void;
}

/** In ms: when the waves begin, when the last disturbance does, and the end. */
const waveStart = 9000;
const lastFault = 40_000;
const end = 50_000;
const troubleKinds = ["cut", "lost requests", "lost answers", "late orders"] as const;
/** Long-running jobs, which together need about as much as the servers have. */
const jobCount = 5;
/** Share of the calls with trouble of a kind that it affects. */
const affectedShare = 0.6;
/** Share of the answers that are lost at any time. */
const lostAnswerShare = 0.01;
/** Share of the runs that fail by themselves. */
const failingShare = 0.1;
/** Number of entries of restarts in the list of faults, and the longest time in ms between two faults beside them. */
const restartFaults = 8;
const restartPause = 2500;
/** Machines with room for ordinary tasks. */
const additionalMachines = 4;
/** Time in ms between two ordinary jobs. */
const ordinaryJobInterval = 200;
/** Share of the ordinary tasks that run for longer than the longest lease. */
const longShare = 0.3;
/** Upper limit in ms of the reading at which a server's clock begins. */
const clockRange = 9_000_000;
/** Share of the calls to a server that is down which its next boot carries out. */
const heldUpShare = 0.6;
/** Time in ms before a restart in which calls are delayed. */
const delayBeforeRestart = 1500;

/** Readings in ms at which the clocks of servers begin, of a sequence of their own. */
function createClockStarts(seed: number): () => number {
    const random = createRandom(seed + clockRange);
    return () => Math.floor(random() * clockRange);
}

export class FaultyRun {
    readonly world: simulation.Simulation;
    readonly #random: () => number;
    #troubles: CallTrouble[] = [];
    #handingOver = false;

    constructor(private readonly options: FaultOptions) {
        this.#random = createRandom(options.seed);
        this.world = new simulation.Simulation({
            random: this.#random,
            machineCount: this.#chooseInteger(7, 11) + (options.restartServers === true ? additionalMachines : 0),
            chooseFailure: () => this.#random() < failingShare ? this.#choose(500, 20_000) : undefined,
            ...options.restartServers === true ? { chooseClockStart: createClockStarts(options.seed) } : {},
            keepsConnections: options.keepsConnections === true,
            ...options.runLimits === undefined ? {} : { runLimits: options.runLimits },
        });
        this.world.decideFate = call => this.#decideFate(call);
    }

    /** Plays the whole course, and returns what broke the rule. */
    async play(): Promise<string[]> {
        const { world } = this;
        try {
            world.startCoordinator();
            await world.time.runUntil(1000);
            for (let i = 1; i <= jobCount; i++) {
                const cpu = this.#chooseInteger(8000, 24_000);
                world.submit(String(i).padStart(16, "0"), this.#chooseInteger(4, 9), 1, cpu);
            }
            if (this.options.restartServers === true) {
                this.#scheduleOrdinaryJobs();
            }
            this.options.prepare?.(world, this.#random);
            await world.time.runUntil(waveStart);
            this.#requestWaves();
            const longestPause = this.options.restartServers === true ? restartPause : 6000;
            while (world.time.now < lastFault) {
                await world.time.runUntil(world.time.now + this.#choose(500, longestPause));
                this.#disturb();
            }
            await world.time.runUntil(end);
            return world.rule.violations.map(violation => this.#describe(violation));
        }
        finally {
            world.close();
        }
    }

    #scheduleOrdinaryJobs(): void {
        for (let at = 0, number = 1; at < lastFault; at += ordinaryJobInterval, number++) {
            this.world.time.schedule(() => {
                const duration = this.#random() < longShare ? this.#choose(11_000, 25_000) : this.#choose(200, 3000);
                const taskCount = this.#chooseInteger(1, 4);
                this.world.submitOrdinary(`b${String(number).padStart(15, "0")}`, taskCount, duration);
            }, at);
        }
    }

    #requestWaves(): void {
        const ids = this.world.machines.map(({ id }) => id);
        const half = Math.ceil(ids.length / 2);
        this.world.requestWave(1, ids.slice(0, half), this.#choose(15_000, 30_000), 2);
        this.world.requestWave(2, ids.slice(half), this.#choose(15_000, 30_000), 2);
    }

    #disturb(): void {
        const coordinatorFaults = [() => this.#killCoordinator(), () => this.#resign(), () => this.#cutFromStore()];
        const serverFaults = [
            () => this.#crashServer(),
            () => this.#rebootServer(),
            () => this.#freezeServer(),
            () => this.#drainServer(),
            () => this.#disturbCalls(),
            () => this.#disturbCalls(),
        ];
        const restarts = Array.from({ length: restartFaults }, () => () => this.#restartAndCutOff());
        const faults = [
            ...coordinatorFaults,
            ...this.options.disturbServers ? serverFaults : [],
            ...this.options.restartServers === true ? restarts : [],
        ];
        faults[this.#chooseInteger(0, faults.length)]!();
    }

    #killCoordinator(): void {
        this.#handOver(this.#choose(900, 3100), () => this.world.kill());
    }

    #resign(): void {
        this.#handOver(this.#choose(50, 400), () => void this.world.current!.coordinator.resign());
    }

    /** The coordinator goes on without the store until another one is there. */
    #cutFromStore(): void {
        this.#handOver(this.#choose(1500, 4500), () => this.world.current!.reachesStore = false);
    }

    #handOver(delay: number, leave: () => void): void {
        if (!this.#handingOver) {
            this.#handingOver = true;
            this.#noteDisturbance(0);
            leave();
            this.world.time.schedule(() => {
                this.#handingOver = false;
                this.world.startCoordinator();
            }, delay);
        }
    }

    #crashServer(): void {
        const machine = this.#chooseMachine();
        if (machine !== undefined) {
            this.#noteDisturbance(0);
            this.world.endServer(machine);
            machine.state = platform.machineCalls.MachineState.down;
            this.world.time.schedule(() => this.world.startServer(machine), this.#choose(1000, 9000));
        }
    }

    #rebootServer(): void {
        const server = this.#chooseMachine()?.server;
        if (server !== undefined) {
            this.#noteDisturbance(0);
            this.world.rebootServer(server);
        }
    }

    /** Servers restart under their IDs without notice; soon after, they are cut off and run on. */
    #restartAndCutOff(): void {
        const targets = new Set<string>();
        const down = this.#choose(1, 1500);
        const lead = this.options.delaysFormerCalls === true ? delayBeforeRestart : 0;
        for (let i = this.#chooseInteger(1, 4); i > 0; i--) {
            const machine = this.#chooseMachine();
            const server = machine?.server;
            if (server !== undefined) {
                targets.add(server.registration.id);
                const times = { down, registration: this.#choose(100, 3000) };
                if (lead === 0) {
                    this.world.restartSilently(server, times);
                }
                else {
                    this.world.time.schedule(() => {
                        if (machine?.server === server && !server.down) {
                            this.world.restartSilently(server, times);
                        }
                    }, lead);
                }
            }
        }
        const duration = this.#choose(3000, 14_000);
        const delay = lead + down + this.#choose(100, 3500);
        this.#noteDisturbance(delay + duration);
        if (lead > 0) {
            this.#troubles.unshift({ kind: "later calls", targets, until: this.world.time.now + lead + down });
        }
        this.world.time.schedule(
            () => this.#troubles.unshift({ kind: "cut", targets, until: this.world.time.now + duration }),
            delay,
        );
    }

    #freezeServer(): void {
        const server = this.#chooseMachine()?.server;
        if (server !== undefined) {
            const duration = this.#choose(500, 8000);
            this.#noteDisturbance(duration);
            server.frozen = true;
            this.world.time.schedule(() => server.thaw(), duration);
        }
    }

    #drainServer(): void {
        const machine = this.#chooseMachine();
        const server = machine?.server;
        if (machine !== undefined && server !== undefined) {
            const duration = this.#choose(2000, 10_000);
            this.#noteDisturbance(duration);
            server.draining = true;
            this.world.register(server);
            this.world.time.schedule(() => {
                if (machine.server === server) {
                    this.world.endServer(machine);
                    machine.state = platform.machineCalls.MachineState.down;
                    this.world.time.schedule(() => this.world.startServer(machine), 2000);
                }
            }, duration);
        }
    }

    #disturbCalls(): void {
        const duration = this.#choose(1000, 6000);
        this.#noteDisturbance(duration);
        const targets = this.world.machines.flatMap(({ server }) =>
            server !== undefined && this.#random() < 0.4 ? [server.registration.id] : []
        );
        const kinds = this.options.delayOrders === true ? [...troubleKinds, "later orders"] as const : troubleKinds;
        const kind = kinds[this.#chooseInteger(0, kinds.length)]!;
        this.#troubles = this.#troubles.filter(({ until }) => until > this.world.time.now);
        this.#troubles.push({ kind, targets: new Set(targets), until: this.world.time.now + duration });
    }

    #decideFate({ target, kind }: simulation.CallDescription): simulation.Fate {
        const { now } = this.world.time;
        const trouble = this.#troubles.find(({ targets, until }) => until > now && targets.has(target));
        const isOrder = kind === "start" || kind === "stop";
        const fates: Readonly<Record<CallTrouble["kind"], () => simulation.Fate | undefined>> = {
            "cut": () => ({ carriedOutAfter: undefined, answered: false }),
            "lost requests": () => ({ carriedOutAfter: undefined, answered: false }),
            "lost answers": () => ({ carriedOutAfter: 2, answered: false }),
            "late orders": () => isOrder ? { carriedOutAfter: this.#choose(800, 4000), answered: false } : undefined,
            "later orders": () =>
                isOrder ? { carriedOutAfter: this.#choose(2000, 12_000), answered: false } : undefined,
            "later calls": () => ({
                carriedOutAfter: this.#choose(2000, 12_000),
                answered: false,
                outlastsConnection: true,
            }),
        };
        const affected = trouble !== undefined && (trouble.kind === "cut" || this.#random() < affectedShare);
        const fate = affected ? fates[trouble.kind]() : this.#decideHeldUp(target);
        return fate ?? { carriedOutAfter: this.#choose(1, 20), answered: this.#random() >= lostAnswerShare };
    }

    /** A call to a server that is down may reach its next boot. */
    #decideHeldUp(target: string): simulation.Fate | undefined {
        const isDown = this.world.machines.some(({ server }) =>
            server?.down === true && server.registration.id === target
        );
        return isDown && this.#random() < heldUpShare
            ? { carriedOutAfter: this.#choose(1, 1500), answered: this.#random() < 0.7 }
            : undefined;
    }

    /** A machine whose server is up and not draining. */
    #chooseMachine(): simulation.Simulation["machines"][number] | undefined {
        const machine = this.world.machines[this.#chooseInteger(0, this.world.machines.length)]!;
        const { server } = machine;
        return server === undefined || server.draining || server.frozen || server.down ? undefined : machine;
    }

    #noteDisturbance(duration: number): void {
        this.world.disturbedUntil = Math.max(this.world.disturbedUntil, this.world.time.now + duration);
    }

    #describe({ task, order, at, away }: simulation.Simulation["rule"]["violations"][number]): string {
        const lines = this.world.log.filter(({ event, fields, at: loggedAt }) =>
            (event === "long-running-stopped" || event === "unknown-run-stopped") && loggedAt <= at
            && String(fields["task"]).startsWith(`${task}/`)
        );
        const last = lines.at(-1);
        const cause = order === "stop" ? `${last?.event}, ${String(last?.fields["cause"])}` : order;
        const since = order === "stop" ? `, ${String(last?.fields["since"])} ms after the decision` : "";
        return `seed ${this.options.seed}: ${task} ended at ${at} by ${cause}${since}; away: ${away.join()}`;
    }

    #choose(min: number, max: number): number {
        return min + this.#random() * (max - min);
    }

    /** From `min` to `max`, without `max`. */
    #chooseInteger(min: number, max: number): number {
        return Math.floor(this.#choose(min, max));
    }
}
