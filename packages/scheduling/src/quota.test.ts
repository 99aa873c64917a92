/** Guards against organisations that occupy more than their quota, and against quotas that starve them. */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as scheduling from "./index.js";
import * as fixtures from "./testing/fixtures.js";

const suite = uvu.suite("quota");
const limit = { cpu: 10_000, memory: 0, accelerators: 0 };
const step = fixtures.createStep({ demand: { cpu: 3000, memory: 100, accelerators: 0 } });

function createUsage(runCount: number): scheduling.QuotaUsage {
    const usage = new scheduling.QuotaUsage(new Map([["a", limit]]));
    usage.add("a", step.demand, runCount);
    return usage;
}

suite("a burst occupies more than the quota of its organisation", () => {
    assert.is(createUsage(0).countAllowed("a", step, 32), 3);
    assert.is(createUsage(2).countAllowed("a", step, 32), 1);
    assert.is(createUsage(3).countAllowed("a", step, 32), 0);
});

suite("a quota that was lowered below what runs lets more start", () => {
    assert.is(createUsage(8).countAllowed("a", step, 1), 0);
});

suite("a task that is larger than the quota never runs, or runs beside half of it", () => {
    const large = fixtures.createStep({ demand: { cpu: 12_000, memory: 0, accelerators: 0 } });
    assert.is(createUsage(0).countAllowed("a", large, 4), 1);
    assert.is(createUsage(1).countAllowed("a", large, 4), 1);
    assert.is(createUsage(2).countAllowed("a", large, 4), 0);
});

suite("more than one task beyond the quota starts, or one beside more than half of it", () => {
    const usage = createUsage(1);
    const large = fixtures.createStep({ demand: { cpu: 8000, memory: 0, accelerators: 0 } });
    usage.add("a", large.demand, usage.countAllowed("a", large, 4));
    assert.is(usage.find("a").cpu, 11_000);
    assert.is(usage.countAllowed("a", large, 4), 0);
    assert.is(usage.countAllowed("a", step, 4), 0);
});

suite("a quota in memory or accelerators isn't kept, or one that is low in one of them counts as half used", () => {
    const limits = { cpu: 0, memory: 350, accelerators: 2 };
    const usage = new scheduling.QuotaUsage(new Map([["a", limits]]));
    const accelerated = fixtures.createStep({ demand: { cpu: 3000, memory: 100, accelerators: 1 } });
    assert.is(usage.countAllowed("a", step, 32), 3);
    assert.is(usage.countAllowed("a", accelerated, 32), 2);
    usage.add("a", accelerated.demand);
    assert.is(usage.countAllowed("a", fixtures.createStep({ demand: { ...step.demand, memory: 300 } }), 1), 0);
});

suite("a part of a gang starts, or a gang beyond the quota and one task, or one never starts that is within", () => {
    const gang = fixtures.createStep({ ...step, gang: true });
    assert.is(createUsage(0).countAllowed("a", gang, 3), 3);
    assert.is(createUsage(1).countAllowed("a", gang, 3), 3);
    assert.is(createUsage(2).countAllowed("a", gang, 2), 0);
    assert.is(createUsage(0).countAllowed("a", gang, 4), 4);
    assert.is(createUsage(1).countAllowed("a", gang, 4), 0);
    assert.is(createUsage(0).countAllowed("a", gang, 5), 0);
});

suite("small tasks take what a large one of their organisation waits for", () => {
    const usage = createUsage(2);
    const large = fixtures.createStep({ demand: { cpu: 8000, memory: 0, accelerators: 0 } });
    usage.reserve("a", large, 1);
    assert.is(usage.countAllowed("a", step, 1), 0);
    assert.is(usage.countAllowed("b", step, 1), 1);
    // Half of the quota remains for them, and nothing is kept for what never starts.
    const less = createUsage(0);
    less.reserve("a", large, 1);
    assert.is(less.countAllowed("a", step, 32), 1);
    const hopeless = createUsage(2);
    assert.not(hopeless.mayReserve("a", fixtures.createStep({ ...step, gang: true }), 5));
    hopeless.reserve("a", fixtures.createStep({ ...step, gang: true }), 5);
    assert.is(hopeless.countAllowed("a", step, 1), 1);
});

suite("half of the quota is kept for a step that can't start before long-running tasks have ended", () => {
    const large = fixtures.createStep({ demand: { cpu: 8000, memory: 0, accelerators: 0 } });
    const usage = createUsage(2);
    usage.addLongRunning("a", step.demand, 2);
    assert.is(usage.countAllowed("a", large, 1), 0);
    assert.not(usage.mayReserve("a", large, 1));
    usage.reserve("a", large, 1);
    assert.is(usage.countAllowed("a", step, 32), 1);
    const ending = createUsage(2);
    ending.addLongRunning("a", step.demand, 1);
    assert.ok(ending.mayReserve("a", large, 1));
});

suite("organisations without a quota, and jobs without an organisation, are held back", () => {
    const usage = createUsage(3);
    assert.is(usage.countAllowed("b", step, 32), 32);
    assert.is(usage.countAllowed(undefined, step, 32), 32);
    usage.add(undefined, step.demand);
    const unlimited = new scheduling.QuotaUsage(new Map([["a", { cpu: 0, memory: 0, accelerators: 0 }]]));
    unlimited.add("a", step.demand, 100);
    assert.is(unlimited.countAllowed("a", step, 32), 32);
});

suite.run();
