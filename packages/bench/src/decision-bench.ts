/**
 * Runs the planner's decisions over seeded demand, reboot times and faults, for each policy, and measures them.
 */
import * as fleetState from "@catkinwharf/fleet-state";
import * as planner from "@catkinwharf/planner";
import type * as schema from "@catkinwharf/schema";
import * as decisionDemand from "./decision-demand.js";
import * as decisionFleet from "./decision-fleet.js";
import * as decisionRandom from "./decision-random.js";
import * as decisionScenarios from "./decision-scenarios.js";

/** Measures of one run. */
export interface DecisionResult {
    readonly deployment: string;
    readonly scenario: decisionScenarios.ScenarioName;
    readonly policy: planner.PolicyName;
    readonly seed: number;
    /** Idle instances held in reserve, averaged over the run: the spare pool, and pools above their plan. */
    readonly bufferInstances: number;
    /** From the announcement to the last return, in ms; undefined without a wave or when it did not finish. */
    readonly rollOutMs: number | undefined;
    /** Least time in which the budgets and the reboots allow the wave, in ms. */
    readonly lowerBoundMs: number | undefined;
    /** Instances that changed pools. */
    readonly moves: number;
    /** Drains that took a pool below its promise, by what could be known then. */
    readonly breaches: number;
    /** Further drains that did so by what was true, but not yet seen. */
    readonly unseenBreaches: number;
    /** Pool-seconds below the promise that were not so but for the instances out for the stop. */
    readonly shortSeconds: number;
}

const stepMs = 1000;
const startMs = 60_000;
const lags: decisionFleet.Lags = { membershipMs: 5000, detectionMs: 5000, verdictMs: 1000, releaseMs: 2000 };
const stop = "stop";
const millisecondsPerSecond = 1000;

/** What a bench runs: everything where a list is absent. */
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
    readonly #fleet: decisionFleet.DecisionFleet;
    readonly #demand: decisionDemand.DecisionDemand;
    readonly #random: decisionRandom.Random;
    #rebooted = 0;
    #idleSeconds = 0;
    #seconds = 0;
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
        this.#fleet = new decisionFleet.DecisionFleet(deployment, planner.policies[policy], lags, this.#random);
        this.#demand = new decisionDemand.DecisionDemand(
            deployment,
            this.#scenario.demand,
            new decisionRandom.Random(seed + 1),
        );
    }

    run(): DecisionResult {
        this.#pass(startMs);
        const rollOutMs = this.#scenario.hasWave ? this.#runWave() : undefined;
        if (!this.#scenario.hasWave) {
            this.#pass(this.#fleet.deployment.rebootMs * decisionScenarios.burstRunReboots);
        }
        return {
            deployment: this.#fleet.deployment.name,
            scenario: this.#scenarioName,
            policy: this.#policy,
            seed: this.#seed,
            bufferInstances: this.#idleSeconds / this.#seconds,
            rollOutMs,
            lowerBoundMs: rollOutMs === undefined ? undefined : this.#measureLowerBound(),
            moves: this.#fleet.moves,
            breaches: this.#breaches,
            unseenBreaches: this.#unseenBreaches,
            shortSeconds: this.#shortSeconds,
        };
    }

    #pass(lengthMs: number): void {
        const endsAt = this.#fleet.now + lengthMs;
        while (this.#fleet.now < endsAt) {
            this.#step();
        }
    }

    #runWave(): number | undefined {
        const fleet = this.#fleet;
        const startedAt = fleet.now;
        fleet.announce(stop);
        fleet.schedule(this.#scenario.listEvents(fleet, new decisionRandom.Random(this.#seed + 2)));
        const endsAt = startedAt + fleet.deployment.rebootMs * decisionScenarios.maxWaveReboots;
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
        this.#spoilReturns(drafts);
        this.#countBreaches(drafts);
        this.#measure();
    }

    /** Instances that come back bad fail for two reboots' time. */
    #spoilReturns(drafts: readonly planner.DecisionDraft[]): void {
        for (const draft of drafts) {
            if (draft.kind === "instance-returned" && this.#scenario.failsAfterReboot(this.#rebooted++)) {
                const { now, deployment } = this.#fleet;
                const soundAt = now + 2 * deployment.rebootMs;
                this.#fleet.schedule([
                    { at: now, instance: draft.instance, change: decisionFleet.MemberChange.failing },
                    { at: soundAt, instance: draft.instance, change: decisionFleet.MemberChange.sound },
                ]);
            }
        }
    }

    #countBreaches(drafts: readonly planner.DecisionDraft[]): void {
        const taken = new Map<string, number>();
        for (const draft of drafts) {
            const pool = draft.kind === "drain-started" ? this.#findServingPool(draft.instance) : undefined;
            if (pool === undefined) {
                continue;
            }
            const count = (taken.get(pool) ?? 0) + 1;
            taken.set(pool, count);
            const promised = this.#countPromised(pool);
            if (this.#fleet.countKnownServing(pool) - count < promised) {
                this.#breaches++;
            }
            else if (this.#fleet.countServing(pool) - count < promised) {
                this.#unseenBreaches++;
            }
        }
    }

    /** Pool of an instance that serves. */
    #findServingPool(instance: string): string | undefined {
        const member = this.#fleet.members.get(instance);
        const serves = member?.live === true && !member.failing;
        return serves ? this.#fleet.state.instances.get(instance)?.pool : undefined;
    }

    /** Instances that the pool's profile promises, by the schema's definition. */
    #countPromised(pool: string): number {
        const service = this.#fleet.deployment.services.find(one => one.name === pool);
        const profile = this.#fleet.deployment.profiles.find(one => one.name === service?.profile);
        if (service === undefined || profile === undefined) {
            return 0;
        }
        const allowed = Math.max(1, Math.floor(profile.availability.maxUnavailableShare * service.workers + 1e-9));
        return Math.max(profile.availability.minimumInstances, service.workers - allowed);
    }

    #measure(): void {
        const { deployment, state } = this.#fleet;
        this.#seconds += stepMs / millisecondsPerSecond;
        let idle = this.#fleet.countServing(deployment.sparePool);
        for (const { name, workers } of deployment.services) {
            const serving = this.#fleet.countServing(name);
            idle += Math.max(0, serving - workers);
            const out = fleetState.instancesOfPool(state, name).filter(one => one.drain?.purpose.kind === "stop");
            const promised = this.#countPromised(name);
            if (serving < promised && serving + out.length >= promised) {
                this.#shortSeconds += stepMs / millisecondsPerSecond;
            }
        }
        this.#idleSeconds += idle * (stepMs / millisecondsPerSecond);
    }

    /** The greatest among the pools' bounds for their reboots, as wide as the budget allows. */
    #measureLowerBound(): number {
        const bounds = this.#fleet.deployment.services.map(service => {
            const lengths = fleetState.instancesOfPool(this.#fleet.state, service.name)
                .map(one => this.#fleet.rebootLengths.get(one.instance.name))
                .filter(length => length !== undefined);
            return boundMakespan(lengths, Math.max(1, service.workers - this.#countPromised(service.name)));
        });
        return Math.max(...bounds);
    }
}

/**
 * Lower bound for the time that jobs of these lengths take, `width` of them at once: the area, and for each k the
 * k + 1 shortest among the k x width + 1 longest, since some k + 1 of those follow each other.
 */
export function boundMakespan(lengths: readonly number[], width: number): number {
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
