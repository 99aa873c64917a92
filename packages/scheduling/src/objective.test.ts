/** The order of candidates in a burst. */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as scheduling from "./index.js";
import * as fixtures from "./testing/fixtures.js";

const suite = uvu.suite("objective");
const policy: scheduling.QueuePolicy = { priority: 0, slackFactor: 2, latencyTarget: 500 };

suite("the chain is the longest path through the steps", () => {
    const job = fixtures.createJob({
        steps: [
            fixtures.createStep({ estimate: 100 }),
            fixtures.createStep({ estimate: 900 }),
            fixtures.createStep({ estimate: 50, dependsOn: [0, 1] }),
        ],
    });
    const times = scheduling.expectStepTimes(job, new Map());
    assert.is(scheduling.measureChain(job, times), 950);
    assert.equal(scheduling.measureRemaining(job, times), [150, 950, 50]);
    assert.is(scheduling.findObjective(job, 0, 950, policy), 2400);
});

suite("a step that took longer than its estimate gives its job more time, so it isn't put last", () => {
    const job = fixtures.createJob({
        steps: [fixtures.createStep({ estimate: 400 }), fixtures.createStep({ estimate: 400, dependsOn: [0] })],
    });
    const rankLastStep = (seen: ReadonlyMap<number, number>) => {
        const times = scheduling.expectStepTimes(job, seen);
        const objective = scheduling.findObjective(job, 0, scheduling.measureChain(job, times), policy);
        return scheduling.rank(objective, scheduling.measureRemaining(job, times)[1]!, false, true, policy, 1800);
    };
    assert.is(rankLastStep(new Map()).hopeless, true);
    assert.equal(rankLastStep(new Map([[0, 900]])).slack, 500 + 2 * 1300 - 400 - 1800);
    assert.equal(scheduling.expectStepTimes(job, new Map([[0, 9000]])), [1200, 400]);
});

suite("long-running tasks go first, then jobs that can still meet their objective, begun ones before others", () => {
    const late = scheduling.rank(1000, 500, false, true, policy, 900);
    const begun = scheduling.rank(5000, 500, false, true, policy, 900);
    const fresh = scheduling.rank(2000, 500, false, false, policy, 900);
    const freshLater = scheduling.rank(3000, 500, false, false, policy, 900);
    const longRunning = scheduling.rank(0, 500, true, false, policy, 900);
    const order = [late, freshLater, fresh, begun, longRunning].sort(scheduling.compareRanks);
    assert.equal(order, [longRunning, begun, fresh, freshLater, late]);
});

suite.run();
