/** Maintenance waves: in time, within the operator's limit, and with no more capacity out than needed. */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as scheduling from "./index.js";
import * as fixtures from "./testing/fixtures.js";

const suite = uvu.suite("waves");
const limits: scheduling.WaveLimits = { maxOut: 3, remainingTime: 60_000, maintenanceTime: 2000 };

suite("never more instances are out than the operator allows", () => {
    const instances = ["a", "b", "c", "d"].map(id => fixtures.createWaveInstance(id, { surplus: true }));
    assert.is(scheduling.planWave(instances, limits).maintain.length, 3);
    const out = [fixtures.createWaveInstance("x", { begun: true, out: true }), ...instances];
    assert.is(scheduling.planWave(out, limits).maintain.length, 2);
});

suite("while pools need their instances, only as many are out as the deadline requires", () => {
    // 60 s leave time for 19 instances one after the other, 12 s for one.
    const instances = ["a", "b", "c", "d"].map(id => fixtures.createWaveInstance(id));
    assert.is(scheduling.planWave(instances, limits).maintain.length, 1);
    assert.is(scheduling.planWave(instances, { ...limits, remainingTime: 12_000 }).maintain.length, 3);
});

suite("instances with long-running tasks are drained from the start, one at a time, fewest such tasks first", () => {
    const instances = [
        fixtures.createWaveInstance("a", { runs: 5, longRunningRuns: 2 }),
        fixtures.createWaveInstance("b", { runs: 9, longRunningRuns: 1 }),
        fixtures.createWaveInstance("c", { runs: 9 }),
    ];
    const plan = scheduling.planWave(instances, limits);
    assert.equal(plan.maintain, []);
    assert.equal(plan.toDrain, ["b", "c"]);
    const draining = instances.map(instance => ({ ...instance, beingDrained: instance.id === "b" }));
    assert.equal(scheduling.planWave(draining, limits).toDrain, ["c"]);
});

suite("an instance whose tasks may never be stopped isn't drained, and the wave isn't complete", () => {
    const plan = scheduling.planWave([fixtures.createWaveInstance("a", { runs: 1, pinned: true })], limits);
    assert.equal(plan, { maintain: [], toDrain: [], allBegun: false });
});

suite("a wave is complete when every instance's maintenance has begun", () => {
    assert.ok(scheduling.planWave([fixtures.createWaveInstance("a", { begun: true })], limits).allBegun);
});

suite.run();
