/** Tests the lower bound, the reproducibility by seed, and the targets of the chosen policy on a small deployment. */
import type * as schema from "@catkinwharf/schema";
import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as decisionBench from "./decision-bench.js";
import * as decisionReport from "./decision-report.js";

const seed = 7_012_026;
const suite = uvu.suite(`decision bench (seed ${seed})`);

const deployment: schema.settings.Deployment = {
    name: "small",
    region: "local",
    availabilityZones: ["a", "b", "c"].map(name => ({ name, entries: 1 })),
    latency: { betweenZonesMs: 0, toCallersMs: 0 },
    services: [7, 6].map((workers, index) => ({
        name: `s${index}`,
        workers,
        profile: "p",
        meanServiceMs: 20,
        idempotentShare: 1,
    })),
    profiles: [{
        name: "p",
        capacity: { slots: 8, connections: 64, memoryGigabytes: 64, accelerators: 0 },
        availability: { maxUnavailableShare: 0.34, minimumInstances: 1 },
        disruption: { drainTimeoutMs: 30_000, checkpoint: false },
        weights: { bufferCost: 1, rollOutTime: 3, moves: 1 },
    }],
    sparePool: "spare",
    spareInstances: 2,
    instancesPerRack: 4,
    worker: { cores: 16, memoryGigabytes: 64, slots: 8, connections: 64 },
    rebootMs: 300_000,
};

/** Makespan of list scheduling: each job, in the given order, runs on the machine that becomes free first. */
function computeMakespan(lengths: readonly number[], width: number): number {
    const machines = new Array<number>(width).fill(0);
    for (const length of lengths) {
        const nextFree = machines.indexOf(Math.min(...machines));
        machines[nextFree] = (machines[nextFree] as number) + length;
    }
    return Math.max(...machines);
}

suite("no list schedule is shorter than the lower bound", () => {
    const lengths = fastCheck.array(fastCheck.integer({ min: 1, max: 100 }), { minLength: 1, maxLength: 12 });
    fastCheck.assert(
        fastCheck.property(lengths, fastCheck.integer({ min: 1, max: 5 }), (jobs, width) => {
            assert.ok(decisionBench.computeMakespanBound(jobs, width) <= computeMakespan(jobs, width) + 1e-9);
        }),
        { seed, numRuns: 500 },
    );
    assert.is(decisionBench.computeMakespanBound([3, 3, 3], 2), 6);
});

suite("the same seed gives the same results, and the chosen policy meets the targets", () => {
    const selection = { policies: ["chosen"], scenarios: ["bursts", "wave", "wave-rack-lost"] };
    const results = decisionBench.runDecisionBench(seed, deployment, selection);
    assert.equal(decisionBench.runDecisionBench(seed, deployment, selection), results);
    assert.ok(results.every(result => result.breaches === 0));
    const [bursts, wave] = results;
    assert.is(bursts?.moves, 0);
    assert.ok((wave?.rollOutMs ?? Number.POSITIVE_INFINITY) <= 1.25 * (wave?.lowerBoundMs ?? 0));
    assert.is(decisionReport.formatDecisionTable(results).split("\n").length, 2 + results.length);
});

suite.run();
