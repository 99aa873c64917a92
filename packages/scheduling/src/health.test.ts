/** Shunning servers that fail everything, and telling runs that stand still. */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as scheduling from "./index.js";
import * as fixtures from "./testing/fixtures.js";

const suite = uvu.suite("health");

suite("a server that fails all is shunned after two ends, and forgiven in time", () => {
    const health = new scheduling.ServerHealth();
    health.note(false, 0);
    assert.is(health.measurePenalty(0), 0);
    health.note(false, 100);
    assert.ok(health.measurePenalty(100) > 0);
    assert.is(health.measurePenalty(10_000), 0);
});

suite("a failure among many good ends changes nothing", () => {
    const health = new scheduling.ServerHealth();
    for (let i = 0; i < 10; i++) {
        health.note(true, i);
    }
    health.note(false, 11);
    health.note(false, 12);
    assert.is(health.measurePenalty(13), 0);
});

suite("in a burst, a server that fails at once doesn't draw the tasks", () => {
    const bad = fixtures.createLoad("bad", { tasks: 1 });
    const good = fixtures.createLoad("good");
    const health = new scheduling.ServerHealth();
    health.note(false, 0);
    health.note(false, 0);
    bad.penalty = health.measurePenalty(0);
    const step = fixtures.createStep({ taskCount: 6 });
    const tasks = [0, 1, 2, 3, 4, 5];
    const placed = scheduling.placeStep({ stepKey: "k", step, tasks, avoided: new Set() }, [bad, good]);
    assert.equal(placed.map(one => one.server.id), ["good", "good", "good", "good", "bad", "bad"]);
});

suite("a run whose progress doesn't change over a while of lists is stalled", () => {
    const sample = { percent: 40, changedAt: 1000 };
    assert.is(scheduling.isStalled(sample, 1000 + scheduling.stallTime - 1), false);
    assert.ok(scheduling.isStalled(sample, 1000 + scheduling.stallTime));
    assert.is(scheduling.isStalled({ percent: 100, changedAt: 0 }, 60_000), false);
});

suite.run();
