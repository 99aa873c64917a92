/**
 * Jobs that strain a coordinator, for a course of disturbances: with very many tasks, times or members of a gang, and some that are
 * cancelled before the store carries their submissions out late. Appends to the ledger are carried out late as well.
 */
import * as jobState from "@catkinwharf/job-state";
import * as jobTesting from "@catkinwharf/job-state/testing";
import * as scheduling from "@catkinwharf/scheduling";
import type * as simulation from "./simulation.js";

/** Limits that the course reaches. */
export const runLimits: scheduling.RunLimits = { runs: 400, gang: 60 };

/** In ms: when the last of the jobs is submitted, and between two of a kind. */
const lastSubmission = 40_000;
const wideInterval = 1700;
const lateInterval = 300;
/** Longest time in ms by which a submission is stored after its job was cancelled. */
const maxLateness = 12_000;
/** Share of the appends that are carried out late, and by how much, in ms. */
const lateAppendShare = 0.02;
const minDelay = 1000;
const maxDelay = 6000;
const mostTasks = 1_000_000;
/** Time in ms between two looks at the runs under way. */
const sampleInterval = 50;

/** Of one step with very many tasks, of short or lasting ones, of a gang, and of very many times. */
const draws: readonly ((random: () => number) => Partial<jobState.Job>)[] = [
    random => ({ steps: [createStep(random, { taskCount: drawCount(random, mostTasks) })] }),
    random => ({ steps: [createStep(random, { taskCount: drawCount(random, mostTasks), longRunning: true })] }),
    random => ({ steps: [createStep(random, { taskCount: drawCount(random, 2 * runLimits.gang), gang: true })] }),
    random => ({
        steps: [createStep(random, { taskCount: 3 }), createStep(random, { taskCount: 10_000, dependsOn: [0] })],
        repetition: { count: drawCount(random, mostTasks), firstAt: 0, interval: Math.floor(random() * 100) },
    }),
];

function drawCount(random: () => number, most: number): number {
    return Math.ceil(most ** random());
}

function createStep(random: () => number, overrides: Partial<jobState.Step>): jobState.Step {
    const cpu = random() < 0.5 ? 0 : Math.ceil(random() * 4000);
    return jobTesting.createStep({ demand: { cpu, memory: 0, accelerators: 0 }, estimate: 300, ...overrides });
}

export class WideAndLateJobs {
    /** What broke a rule: starts of cancelled jobs, and more runs under way than the limit. */
    readonly violations: string[] = [];
    readonly #cancelled = new Set<string>();
    /** Tasks of wide jobs that were started. */
    startedTasks = 0;

    constructor(private readonly world: simulation.Simulation, private readonly random: () => number) {
        world.onStarted = task => this.#recordStart(task);
        world.holdsAppend = (_, carryOut) => this.#holdsAppend(carryOut);
        this.#submitWide();
        this.#cancelLate(1);
        this.#sample();
    }

    #recordStart(task: string): void {
        this.startedTasks += task.startsWith("e") ? 1 : 0;
        if (this.#cancelled.has(task.slice(0, task.indexOf(".")))) {
            this.violations.push(`${task} starts at ${this.world.time.now}, though it was cancelled`);
        }
    }

    #holdsAppend(carryOut: () => void): boolean {
        if (this.world.time.now >= lastSubmission || this.random() >= lateAppendShare) {
            return false;
        }
        this.world.time.schedule(carryOut, minDelay + this.random() * (maxDelay - minDelay));
        return true;
    }

    #submitWide(number = 1): void {
        if (this.world.time.now >= lastSubmission) {
            return;
        }
        const { steps = [], ...drawn } = draws[number % draws.length]!(this.random);
        const duration = steps.some(({ longRunning }) => longRunning) ? undefined : 100 + this.random() * 500;
        this.world.submitJob({ id: `e${String(number).padStart(15, "0")}`, steps, ...drawn }, duration);
        this.world.time.schedule(() => this.#submitWide(number + 1), wideInterval);
    }

    #cancelLate(number: number): void {
        if (this.world.time.now >= lastSubmission) {
            return;
        }
        const id = `f${String(number).padStart(15, "0")}`;
        this.#cancelled.add(id);
        this.world.cancelInAdvance(id);
        this.world.time.schedule(
            () => this.world.submitJob({ id, steps: [jobTesting.createStep({ taskCount: 2 })] }, 300),
            this.random() * maxLateness,
        );
        this.world.time.schedule(() => this.#cancelLate(number + 1), lateInterval);
    }

    #sample(): void {
        const sessions = this.world.current?.coordinator?.fleet.sessions.values() ?? [];
        const runs = [...sessions].reduce((sum, { runs: { size } }) => sum + size, 0);
        if (runs > runLimits.runs) {
            this.violations.push(`${runs} runs under way at ${this.world.time.now}`);
        }
        this.world.time.schedule(() => this.#sample(), sampleInterval);
    }
}
