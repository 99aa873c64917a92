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
    assert.is(scheduling.measureChain(job), 950);
    assert.equal(scheduling.measureRemaining(job), [150, 950, 50]);
    assert.is(scheduling.findObjective(job, 0, 950, policy), 2400);
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
