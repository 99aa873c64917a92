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

suite("a task that is larger than the quota never runs, or runs beside others", () => {
    const large = fixtures.createStep({ demand: { cpu: 12_000, memory: 0, accelerators: 0 } });
    assert.is(createUsage(0).countAllowed("a", large, 4), 1);
    assert.is(createUsage(1).countAllowed("a", large, 4), 0);
});

suite("a part of a gang starts because the whole exceeds the quota", () => {
    const gang = fixtures.createStep({ ...step, gang: true });
    assert.is(createUsage(0).countAllowed("a", gang, 3), 3);
    assert.is(createUsage(1).countAllowed("a", gang, 3), 0);
    assert.is(createUsage(0).countAllowed("a", gang, 4), 0);
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
