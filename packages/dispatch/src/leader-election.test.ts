/** When a process claims leadership. */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as leaderElection from "./leader-election.js";

const suite = uvu.suite("leadership");
const seen: leaderElection.Observation = {
    leadership: {
        epoch: 3,
        node: "a",
        processStart: 1,
        resigned: false,
        ordersSettled: false,
        tenure: 0,
    },
    silence: 0,
    jitter: 0,
    latency: 0,
    answer: undefined,
};

suite("a process claims when the coordinator has been silent for the takeover timeout, not before", () => {
    assert.is(leaderElection.shouldClaim({ ...seen, silence: 1400 }, "b", 1), false);
    assert.ok(leaderElection.shouldClaim({ ...seen, silence: 1500 }, "b", 1));
    assert.is(leaderElection.shouldClaim({ ...seen, silence: 1500, jitter: 100 }, "b", 1), false);
});

suite("a silent coordinator that doesn't answer probes is replaced sooner", () => {
    const denied = { ...seen, answer: false };
    assert.is(leaderElection.shouldClaim({ ...denied, silence: 650 }, "b", 1), false);
    assert.ok(leaderElection.shouldClaim({ ...denied, silence: 700 }, "b", 1));
    assert.is(leaderElection.shouldClaim({ ...denied, silence: 1500, latency: 240 }, "b", 1), false);
});

suite("a silent coordinator that answers probes is replaced too, but later", () => {
    const affirmed = { ...seen, answer: true };
    assert.is(leaderElection.shouldClaim({ ...affirmed, silence: 2500 }, "b", 1), false);
    assert.ok(leaderElection.shouldClaim({ ...affirmed, silence: 3500 }, "b", 1));
});

suite("a slow store extends the takeover timeout", () => {
    assert.is(leaderElection.shouldClaim({ ...seen, silence: 2000, latency: 240 }, "b", 1), false);
    assert.ok(leaderElection.shouldClaim({ ...seen, silence: 2500, latency: 240 }, "b", 1));
});

suite("a coordinator that resigned, or is a previous incarnation of this process, is replaced at once", () => {
    assert.ok(leaderElection.shouldClaim({ ...seen, leadership: { ...seen.leadership!, resigned: true } }, "b", 1));
    assert.ok(leaderElection.shouldClaim(seen, "a", 2));
    assert.is(leaderElection.shouldClaim(seen, "a", 1), false);
    assert.ok(leaderElection.shouldClaim({ ...seen, leadership: undefined }, "b", 1));
});

suite.run();
