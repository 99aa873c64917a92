/**
 * Plays losses of racks under short tasks: the servers of one rack after the other fall dark and are back in a later boot.
 * Some tasks may crash each server that starts them.
 */
import * as platform from "@catkinwharf/platform";
import * as randomFaults from "./random-faults.js";
import type * as simulatedServer from "./simulated-server.js";
import * as simulation from "./simulation.js";

export interface RackLossCourse {
    readonly seed: number;
    /** Number of servers that fall dark each time. */
    readonly lostServers: number;
    /** Time in ms from the darkness of one server to that of the next one. */
    readonly interval: number;
    /** The coordinator is killed after each beginning of a darkness. */
    readonly killsCoordinator: boolean;
    /** Whether registrations name racks; the lost servers are those of one. */
    readonly namesRacks?: boolean;
    /** Another rack follows at once, from this time in ms after the first. */
    readonly secondRackAfter?: number;
    /** See `SimulationOptions`. */
    readonly keepsConnections?: boolean;
    /** Number of jobs with one task that crashes its servers. */
    readonly deadlyJobs?: number;
    /** How such a task crashes its server. */
    readonly crash?: Crash;
    /** No rack is lost. */
    readonly calm?: boolean;
}

export const Crash = {
    /** Its start is confirmed. */
    confirmed: "confirmed",
    /** Nothing is heard of the server from the start on. */
    silent: "silent",
    /** Its machine comes back with another server. */
    replaced: "replaced",
} as const;
export type Crash = (typeof Crash)[keyof typeof Crash];

export interface RackLossOutcome {
    /** Jobs that haven't ended as they should. */
    readonly wrongEnds: readonly string[];
    /** Number of servers that crashed under each task that crashes its servers. */
    readonly crashes: readonly number[];
    /** Times in ms from the submission of each such job until it counts as failed. */
    readonly timesToFailure: readonly number[];
    readonly doubleRuns: number;
    /** Ms from the submission of each other job to its end. */
    readonly ages: readonly number[];
}

const machineCount = 12;
/** Times in ms. */
const workStart = 2000;
const firstLoss = 5000;
const lossInterval = 6500;
const lossCount = 4;
const downTime = 3500;
const killDelay = 900;
const claimDelay = { min: 700, max: 1500 };
const registrationDelay = { min: 100, max: 1500 };
const jobInterval = 40;
const taskDuration = { min: 150, max: 900 };
const crashDelay = { min: 1, max: 120 };
const callTime = { min: 1, max: 15 };
const workEnd = firstLoss + lossCount * lossInterval;
const end = workEnd + 20_000;
const taskCpu = 8000;

export async function playRackLosses(course: RackLossCourse): Promise<RackLossOutcome> {
    const play = new RackLossPlay(course);
    try {
        return await play.run();
    }
    finally {
        play.world.close();
    }
}

class RackLossPlay {
    readonly world: simulation.Simulation;
    readonly #random: () => number;
    readonly #rackCount: number;
    readonly #crashes = new Map<string, number>();
    #jobCount = 0;

    constructor(private readonly course: RackLossCourse) {
        this.#random = randomFaults.createRandom(course.seed);
        this.#rackCount = machineCount / course.lostServers;
        this.world = new simulation.Simulation({
            random: this.#random,
            machineCount,
            ...course.namesRacks === false ? {} : { rackCount: this.#rackCount },
            keepsConnections: course.keepsConnections === true,
        });
        this.world.decideFate = () => ({ carriedOutAfter: this.#choose(callTime), answered: true });
        this.world.onStarted = (task, server) => this.#crashUnder(task, server);
    }

    async run(): Promise<RackLossOutcome> {
        const { world, course } = this;
        world.startCoordinator();
        this.#scheduleWork();
        for (let i = 0; i < lossCount && course.calm !== true; i++) {
            const at = firstLoss + i * lossInterval + this.#random() * 500;
            world.time.schedule(() => this.#loseRack(i % this.#rackCount), at);
            if (course.secondRackAfter !== undefined) {
                world.time.schedule(() => this.#loseRack((i + 1) % this.#rackCount), at + course.secondRackAfter);
            }
        }
        for (let i = 0; i < lossCount && course.killsCoordinator; i++) {
            world.time.schedule(() => this.#killCoordinator(), firstLoss + i * lossInterval + killDelay);
        }
        await world.time.runUntil(end);
        const settled = world.log.filter(({ event }) => event === "job-settled");
        const listAges = (status: string) =>
            settled.flatMap(({ fields }) => fields["status"] === status ? Number(fields["age"]) : []);
        return {
            wrongEnds: world.listWrongEnds(),
            crashes: [...this.#crashes.values()],
            timesToFailure: listAges("failed"),
            doubleRuns: world.singleRunRule.violations.length,
            ages: listAges("completed"),
        };
    }

    #scheduleWork(): void {
        const { deadlyJobs = 0 } = this.course;
        const submit = (id: string) =>
            this.world.submitOrdinary(id, 1 + Math.floor(this.#random() * 3), this.#choose(taskDuration), {
                demand: { cpu: taskCpu, memory: 100, accelerators: 0 },
            });
        for (let at = workStart; at < workEnd; at += 2 * jobInterval * this.#random()) {
            this.#jobCount += 1;
            const id = this.#jobCount.toString(16).padStart(16, "0");
            this.world.time.schedule(() => submit(id), at);
        }
        for (let i = 0; i < deadlyJobs; i++) {
            const id = `d${i.toString(16).padStart(15, "0")}`;
            const task = `${id}.0.0.0`;
            this.#crashes.set(task, 0);
            this.world.jobEndRule.addHopeless(task);
            this.world.time.schedule(() => submit(id), workStart + this.#random() * (workEnd - workStart));
        }
    }

    #loseRack(rack: number): void {
        const lost = this.world.machines.filter((_, i) => i % this.#rackCount === rack);
        lost.forEach((machine, i) => this.world.time.schedule(() => this.#darken(machine), i * this.course.interval));
    }

    #darken({ server }: simulation.Simulation["machines"][number]): void {
        if (server !== undefined && !server.down) {
            this.world.restartSilently(server, { down: downTime, registration: this.#choose(registrationDelay) });
        }
    }

    #killCoordinator(): void {
        this.world.kill();
        this.world.time.schedule(() => this.world.startCoordinator(), this.#choose(claimDelay));
    }

    #crashUnder(task: string, server: simulatedServer.SimulatedServer): void {
        const crashes = this.#crashes.get(task);
        if (crashes === undefined) {
            return;
        }
        this.#crashes.set(task, crashes + 1);
        const machine = this.world.findMachine(server);
        const { crash = Crash.confirmed } = this.course;
        if (crash === Crash.silent) {
            this.#darken(machine); // Before it can respond.
            return;
        }
        this.world.time.schedule(() => {
            if (machine.server !== server || server.down) {
                return;
            }
            if (crash === Crash.confirmed) {
                this.#darken(machine);
                return;
            }
            this.world.endServer(machine);
            machine.state = platform.machineCalls.MachineState.down;
            this.world.time.schedule(() => this.world.startServer(machine), downTime);
        }, this.#choose(crashDelay));
    }

    #choose({ min, max }: { readonly min: number; readonly max: number; }): number {
        return min + this.#random() * (max - min);
    }
}
