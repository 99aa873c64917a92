/**
 * Simulates the planner with each policy over seeded demand, reboot times and faults, and measures its decisions.
 */
import * as fleetState from "@catkinwharf/fleet-state";
import * as planner from "@catkinwharf/planner";
import type * as schema from "@catkinwharf/schema";
import * as decisionDemand from "./decision-demand.js";
import * as decisionRandom from "./decision-random.js";
import * as decisionScenarios from "./decision-scenarios.js";
import * as simulatedFleet from "./simulated-fleet.js";

/** Results of one run. */
export interface DecisionResult {
    readonly deployment: string;
    readonly scenario: decisionScenarios.ScenarioName;
    readonly policy: planner.PolicyName;
    readonly seed: number;
    /** Mean number of idle instances held in reserve, in the spare pool and in pools above their plan. */
    readonly bufferInstances: number;
    /** Time in ms from the announcement to the end of the stop; undefined without a stop or if it did not finish. */
    readonly rollOutMs: number | undefined;
    /** Lower bound of the roll-out time in ms that the availability budgets and the reboot times allow. */
    readonly lowerBoundMs: number | undefined;
    /** Number of moves of instances between pools. */
    readonly moves: number;
    /** Drains that took a pool below its required instances, by the faults that the planner could know of. */
    readonly breaches: number;
    /** Further drains that did so because of faults that the planner could not know of yet. */
    readonly unseenBreaches: number;
    /** Pool-seconds below the required instances that would not have occurred without the drains for the stop. */
    readonly shortSeconds: number;
}

const stepMs = 1000;
/** Simulated time in ms before the wave or the measured bursts start. */
const warmUpMs = 60_000;
const delays: simulatedFleet.Delays = { membershipMs: 5000, detectionMs: 5000, verdictMs: 1000, releaseMs: 2000 };
const stop = "stop";
const millisecondsPerSecond = 1000;

/** Names to run; all if a list is absent. */
export interface DecisionSelection {
    readonly scenarios?: readonly string[];
    readonly policies?: readonly string[];
}

/** Runs the selected scenarios and policies for one deployment and seed. */
export function runDecisionBench(
    seed: number,
    deployment: schema.settings.Deployment,
    selection: DecisionSelection = {},
): DecisionResult[] {
    const names = select(decisionScenarios.scenarios, selection.scenarios);
    const policies = select(planner.policies, selection.policies);
    return names.flatMap(scenario => policies.map(policy => new DecisionRun(seed, deployment, scenario, policy).run()));
}

function select<Table extends object>(table: Table, wanted: readonly string[] | undefined): (keyof Table)[] {
    return Object.keys(table).filter(name => wanted?.includes(name) ?? true) as (keyof Table)[];
}

class DecisionRun {
    readonly #seed: number;
    readonly #scenarioName: decisionScenarios.ScenarioName;
    readonly #scenario: decisionScenarios.Scenario;
    readonly #policy: planner.PolicyName;
    readonly #fleet: simulatedFleet.SimulatedFleet;
    readonly #demand: decisionDemand.DecisionDemand;
    readonly #random: decisionRandom.Random;
    #returnedCount = 0;
    #idleSeconds = 0;
    #elapsedSeconds = 0;
    #breaches = 0;
    #unseenBreaches = 0;
    #shortSeconds = 0;

    constructor(
        seed: number,
        deployment: schema.settings.Deployment,
        scenario: decisionScenarios.ScenarioName,
        policy: planner.PolicyName,
    ) {
        this.#seed = seed;
        this.#scenarioName = scenario;
        this.#scenario = decisionScenarios.scenarios[scenario];
        this.#policy = policy;
        this.#random = new decisionRandom.Random(seed);
        this.#fleet = new simulatedFleet.SimulatedFleet(deployment, planner.policies[policy], delays, this.#random);
        this.#demand = new decisionDemand.DecisionDemand(
            deployment,
            this.#scenario.demand,
            new decisionRandom.Random(seed + 1),
        );
    }

    run(): DecisionResult {
        this.#runFor(warmUpMs);
        const rollOutMs = this.#scenario.hasWave ? this.#runWave() : undefined;
        if (!this.#scenario.hasWave) {
            this.#runFor(this.#fleet.deployment.rebootMs * decisionScenarios.burstRunRebootTimes);
        }
        return {
            deployment: this.#fleet.deployment.name,
            scenario: this.#scenarioName,
            policy: this.#policy,
            seed: this.#seed,
            bufferInstances: this.#idleSeconds / this.#elapsedSeconds,
            rollOutMs,
            lowerBoundMs: rollOutMs === undefined ? undefined : this.#computeLowerBound(),
            moves: this.#fleet.moves,
            breaches: this.#breaches,
            unseenBreaches: this.#unseenBreaches,
            shortSeconds: this.#shortSeconds,
        };
    }

    #runFor(durationMs: number): void {
        const endsAt = this.#fleet.now + durationMs;
        while (this.#fleet.now < endsAt) {
            this.#step();
        }
    }

    #runWave(): number | undefined {
        const fleet = this.#fleet;
        const startedAt = fleet.now;
        fleet.announceStop(stop);
        fleet.schedule(this.#scenario.listEvents(fleet, new decisionRandom.Random(this.#seed + 2)));
        const endsAt = startedAt + fleet.deployment.rebootMs * decisionScenarios.maxWaveRebootTimes;
        while (fleet.now < endsAt) {
            this.#step();
            const state = fleet.state.stops.get(stop);
            if (state !== undefined && fleetState.isFinished(state)) {
                return fleet.now - startedAt;
            }
        }
        return undefined;
    }

    #step(): void {
        const fleet = this.#fleet;
        for (const sample of this.#demand.sample(fleet.now)) {
            fleet.demand.record(sample);
        }
        const drafts = fleet.step(stepMs).decisions;
        this.#scheduleFailuresAfterReboot(drafts);
        this.#countBreaches(drafts);
        this.#recordSample();
    }

    /** Instances that fail after their reboot do so for twice the reboot time. */
    #scheduleFailuresAfterReboot(drafts: readonly planner.DecisionDraft[]): void {
        for (const draft of drafts) {
            if (draft.kind === "instance-returned" && this.#scenario.failsAfterReboot(this.#returnedCount++)) {
                const { now, deployment } = this.#fleet;
                const recoversAt = now + 2 * deployment.rebootMs;
                this.#fleet.schedule([
                    { at: now, instance: draft.instance, change: simulatedFleet.MemberChange.failing },
                    { at: recoversAt, instance: draft.instance, change: simulatedFleet.MemberChange.recovered },
                ]);
            }
        }
    }

    #countBreaches(drafts: readonly planner.DecisionDraft[]): void {
        const drainsByPool = new Map<string, number>();
        for (const draft of drafts) {
            const pool = draft.kind === "drain-started" ? this.#findServingPool(draft.instance) : undefined;
            if (pool === undefined) {
                continue;
            }
            const count = (drainsByPool.get(pool) ?? 0) + 1;
            drainsByPool.set(pool, count);
            const required = this.#computeRequiredInstances(pool);
            if (this.#fleet.countPresumedServing(pool) - count < required) {
                this.#breaches++;
            }
            else if (this.#fleet.countServing(pool) - count < required) {
                this.#unseenBreaches++;
            }
        }
    }

    /** Finds the pool of an instance; undefined unless the instance actually serves. */
    #findServingPool(instance: string): string | undefined {
        const member = this.#fleet.members.get(instance);
        const serves = member?.live === true && !member.failing;
        return serves ? this.#fleet.state.instances.get(instance)?.pool : undefined;
    }

    /** Number of instances that the availability budget of the pool's profile requires, as the schema defines it. */
    #computeRequiredInstances(pool: string): number {
        const service = this.#fleet.deployment.services.find(candidate => candidate.name === pool);
        const profile = this.#fleet.deployment.profiles.find(candidate => candidate.name === service?.profile);
        if (service === undefined || profile === undefined) {
            return 0;
        }
        const allowed = Math.max(1, Math.floor(profile.availability.maxUnavailableShare * service.workers + 1e-9));
        return Math.max(profile.availability.minimumInstances, service.workers - allowed);
    }

    #recordSample(): void {
        const { deployment, state } = this.#fleet;
        this.#elapsedSeconds += stepMs / millisecondsPerSecond;
        let idle = this.#fleet.countServing(deployment.sparePool);
        for (const { name, workers } of deployment.services) {
            const serving = this.#fleet.countServing(name);
            idle += Math.max(0, serving - workers);
            const drainingForStop = fleetState.instancesOfPool(state, name).filter(instance =>
                instance.drain?.purpose.kind === "stop"
            );
            const required = this.#computeRequiredInstances(name);
            if (serving < required && serving + drainingForStop.length >= required) {
                this.#shortSeconds += stepMs / millisecondsPerSecond;
            }
        }
        this.#idleSeconds += idle * (stepMs / millisecondsPerSecond);
    }

    /** Maximum over the pools of the time that their reboots take, with as many in parallel as the budget allows. */
    #computeLowerBound(): number {
        const bounds = this.#fleet.deployment.services.map(service => {
            const lengths = fleetState.instancesOfPool(this.#fleet.state, service.name)
                .map(instance => this.#fleet.rebootDurations.get(instance.instance.name))
                .filter(length => length !== undefined);
            return computeMakespanBound(
                lengths,
                Math.max(1, service.workers - this.#computeRequiredInstances(service.name)),
            );
        });
        return Math.max(...bounds);
    }
}

/**
 * Computes a lower bound of the makespan of jobs on `width` machines: the maximum of the total length divided by
 * `width` and, for each k, the sum of the k + 1 shortest among the k x width + 1 longest jobs, since some machine runs
 * at least k + 1 of these.
 */
export function computeMakespanBound(lengths: readonly number[], width: number): number {
    const descending = [...lengths].sort((left, right) => right - left);
    let bound = sum(descending) / width;
    for (let rounds = 0; rounds * width < descending.length; rounds++) {
        const longest = descending.slice(0, rounds * width + 1);
        bound = Math.max(bound, sum(longest.slice(-(rounds + 1))));
    }
    return bound;
}

function sum(numbers: readonly number[]): number {
    return numbers.reduce((total, number) => total + number, 0);
}
