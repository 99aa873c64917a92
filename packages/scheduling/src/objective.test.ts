/** The order of candidates in a burst. */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as scheduling from "./index.js";
import * as fixtures from "./testing/fixtures.js";

const suite = uvu.suite("objective");
const policy: scheduling.QueuePolicy = { priority: 0, slackFactor: 2, latencyTarget: 500 };

/** What is left of a job that was submitted at 0 and has to be complete at 1500. */
const left: scheduling.Remainder = { due: 0, objective: 1500, chain: 500, longRunning: false, begun: false };
const { Prospect } = scheduling;

suite("the chain is the longest path through the steps", () => {
    const job = fixtures.createJob({
        steps: [
            fixtures.createStep({ estimate: 100 }),
            fixtures.createStep({ estimate: 900 }),
            fixtures.createStep({ estimate: 50, dependsOn: [0, 1] }),
        ],
    });
    const times = [100, 900, 50];
    assert.is(scheduling.measureChain(job, times), 950);
    assert.equal(scheduling.measureRemaining(job, times), [150, 950, 50]);
    assert.is(scheduling.findObjective(job, 0, 950, policy), 2400);
});

suite("a step takes what its longest task was seen to take, else somewhat more than its estimate", () => {
    const job = fixtures.createJob({
        steps: [fixtures.createStep({ estimate: 400 }), fixtures.createStep({ estimate: 400, dependsOn: [0] })],
    });
    assert.equal(scheduling.expectStepTimes(job, new Map()), [480, 480]);
    assert.equal(scheduling.expectStepTimes(job, new Map([[0, 300]])), [300, 480]);
    assert.equal(scheduling.expectStepTimes(job, new Map([[0, 9000]])), [1200, 480]);
});

suite("a step that took longer than its estimate gives its job more time, so it isn't put last", () => {
    const job = fixtures.createJob({
        steps: [fixtures.createStep({ estimate: 400 }), fixtures.createStep({ estimate: 400, dependsOn: [0] })],
    });
    const rankLastStep = (seen: ReadonlyMap<number, number>) => {
        const times = scheduling.expectStepTimes(job, seen);
        const objective = scheduling.findObjective(job, 0, scheduling.measureChain(job, times), policy);
        const chain = scheduling.measureRemaining(job, times)[1]!;
        return scheduling.rank({ ...left, objective, chain, begun: true }, policy, 2200);
    };
    assert.is(rankLastStep(new Map()).prospect, Prospect.late);
    assert.is(rankLastStep(new Map([[0, 900]])).prospect, Prospect.inTime);
});

suite("a job begins only with some slack, and goes on when it is behind by little", () => {
    const judge = (changes: Partial<scheduling.Remainder>, now: number) =>
        scheduling.rank({ ...left, ...changes }, policy, now).prospect;
    assert.is(judge({}, 920), Prospect.inTime);
    assert.is(judge({}, 930), Prospect.late);
    assert.is(judge({ begun: true }, 1140), Prospect.inTime);
    assert.is(judge({ begun: true }, 1160), Prospect.late);
    assert.is(judge({ longRunning: true }, 9000), Prospect.inTime);
});

suite("late jobs that are still of use go before those that aren't", () => {
    const judge = (now: number) => scheduling.rank(left, policy, now).prospect;
    assert.is(judge(4000), Prospect.late);
    assert.is(judge(4001), Prospect.useless);
});

suite("long-running tasks go first, then jobs that can still meet their objective, begun ones before others", () => {
    const useless = scheduling.rank({ ...left, objective: 300 }, policy, 900);
    const late = scheduling.rank({ ...left, objective: 1000, begun: true }, policy, 900);
    const begun = scheduling.rank({ ...left, objective: 5000, begun: true }, policy, 900);
    const fresh = scheduling.rank({ ...left, objective: 2000 }, policy, 900);
    const freshLater = scheduling.rank({ ...left, objective: 3000 }, policy, 900);
    const longRunning = scheduling.rank({ ...left, objective: 0, longRunning: true }, policy, 900);
    const order = [useless, late, freshLater, fresh, begun, longRunning].sort(scheduling.compareRanks);
    assert.equal(order, [longRunning, begun, fresh, freshLater, late, useless]);
});

suite.run();
