/** Detection of unhealthy backend servers and stalled runs. */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as scheduling from "./index.js";
import * as fixtures from "./testing/fixtures.js";

const suite = uvu.suite("health");

suite("a server is penalized after two failures, until these have decayed", () => {
    const health = new scheduling.ServerHealth();
    health.recordOutcome(false, 0);
    assert.is(health.computePenalty(0), 0);
    health.recordOutcome(false, 100);
    assert.ok(health.computePenalty(100) > 0);
    assert.is(health.computePenalty(10_000), 0);
});

suite("two failures among many successes have no effect", () => {
    const health = new scheduling.ServerHealth();
    for (let i = 0; i < 10; i++) {
        health.recordOutcome(true, i);
    }
    health.recordOutcome(false, 11);
    health.recordOutcome(false, 12);
    assert.is(health.computePenalty(13), 0);
});

suite("in a burst, a server that fails its runs at once gets tasks only when the healthy one is full", () => {
    // Each server has room for four tasks. Without the penalty, best fit would prefer "bad", since it isn't empty.
    const bad = fixtures.createLoad("bad", { runCount: 1 });
    const good = fixtures.createLoad("good");
    const health = new scheduling.ServerHealth();
    health.recordOutcome(false, 0);
    health.recordOutcome(false, 0);
    bad.penalty = health.computePenalty(0);
    const step = fixtures.createStep({ taskCount: 6 });
    const tasks = [0, 1, 2, 3, 4, 5];
    const placed = scheduling.placeStep({ stepKey: "k", step, tasks, avoided: new Set(), alone: false }, [bad, good]);
    assert.equal(placed.map(one => one.server.id), ["good", "good", "good", "good", "bad", "bad"]);
});

suite("a run is stalled when its progress hasn't changed for the stall timeout, unless it is at 100 percent", () => {
    const sample = { percent: 40, changedAt: 1000 };
    assert.is(scheduling.isStalled(sample, 1000 + scheduling.stallTimeout - 1), false);
    assert.ok(scheduling.isStalled(sample, 1000 + scheduling.stallTimeout));
    assert.is(scheduling.isStalled({ percent: 100, changedAt: 0 }, 60_000), false);
});

suite.run();
