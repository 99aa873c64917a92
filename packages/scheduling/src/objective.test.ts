/** Objectives, and the order of candidates in a burst. */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as scheduling from "./index.js";
import * as fixtures from "./testing/fixtures.js";

const suite = uvu.suite("objective");
const policy: scheduling.QueuePolicy = { priority: 0, slackFactor: 2, latencyAllowance: 500 };

/** Remaining work of a job that was submitted at 0 and has to be complete by 1500. */
const work: scheduling.RemainingWork = {
    due: 0,
    objective: 1500,
    criticalPath: 500,
    longRunning: false,
    readyTasks: 1,
    begun: false,
    beyondRate: false,
    share: 0,
};
const { Timeliness } = scheduling;

suite("the critical path is the longest chain of dependent steps", () => {
    const job = fixtures.createJob({
        steps: [
            fixtures.createStep({ estimate: 100 }),
            fixtures.createStep({ estimate: 900 }),
            fixtures.createStep({ estimate: 50, dependsOn: [0, 1] }),
        ],
    });
    const times = [100, 900, 50];
    assert.is(scheduling.computeCriticalPath(job, times), 950);
    assert.equal(scheduling.computeRemainingPaths(job, times), [150, 950, 50]);
    assert.is(scheduling.computeObjective(job, 0, 950, policy), 2400);
});

suite("the expected time of a step is its longest observed task time, or else a multiple of its estimate", () => {
    const job = fixtures.createJob({
        steps: [fixtures.createStep({ estimate: 400 }), fixtures.createStep({ estimate: 400, dependsOn: [0] })],
    });
    assert.equal(scheduling.estimateStepTimes(job, new Map()), [480, 480]);
    assert.equal(scheduling.estimateStepTimes(job, new Map([[0, 300]])), [300, 480]);
    assert.equal(scheduling.estimateStepTimes(job, new Map([[0, 9000]])), [1200, 480]);
});

suite("a step that took longer than its estimate gives its job a later objective, so the job isn't late", () => {
    const job = fixtures.createJob({
        steps: [fixtures.createStep({ estimate: 400 }), fixtures.createStep({ estimate: 400, dependsOn: [0] })],
    });
    const rankLastStep = (observed: ReadonlyMap<number, number>) => {
        const times = scheduling.estimateStepTimes(job, observed);
        const objective = scheduling.computeObjective(job, 0, scheduling.computeCriticalPath(job, times), policy);
        const remainingPath = scheduling.computeRemainingPaths(job, times)[1]!;
        // The last step takes 480 ms, so at 2200 it would end at 2680: after the first objective, 2420, but before the
        // second, 3260.
        return scheduling.rank({ ...work, objective, criticalPath: remainingPath, begun: true }, policy, 2200);
    };
    assert.is(rankLastStep(new Map()).timeliness, Timeliness.late);
    assert.is(rankLastStep(new Map([[0, 900]])).timeliness, Timeliness.onTime);
});

suite("a job needs some slack to be on time before it begins, and may be slightly behind afterwards", () => {
    const classify = (overrides: Partial<scheduling.RemainingWork>, now: number) =>
        scheduling.rank({ ...work, ...overrides }, policy, now).timeliness;
    // On time until 1500 - 500 - 0.15 * 500 = 925 before it begins, and until 1500 - 500 + 0.3 * 500 = 1150 afterwards.
    assert.is(classify({}, 920), Timeliness.onTime);
    assert.is(classify({}, 930), Timeliness.late);
    assert.is(classify({ begun: true }, 1140), Timeliness.onTime);
    assert.is(classify({ begun: true }, 1160), Timeliness.late);
    assert.is(classify({ longRunning: true }, 9000), Timeliness.onTime);
});

suite("a late job has expired when it can't end within three times the time that its objective allows", () => {
    const classify = (now: number) => scheduling.rank(work, policy, now).timeliness;
    assert.is(classify(4000), Timeliness.late);
    assert.is(classify(4001), Timeliness.expired);
});

suite("long-running tasks go first, then on-time jobs, begun ones before others, then late and expired jobs", () => {
    const expired = scheduling.rank({ ...work, objective: 300 }, policy, 900);
    const late = scheduling.rank({ ...work, objective: 1000, begun: true }, policy, 900);
    const begun = scheduling.rank({ ...work, objective: 5000, begun: true }, policy, 900);
    const notBegun = scheduling.rank({ ...work, objective: 2000 }, policy, 900);
    const notBegunLater = scheduling.rank({ ...work, objective: 3000 }, policy, 900);
    const longRunning = scheduling.rank({ ...work, objective: 0, longRunning: true }, policy, 900);
    const order = [expired, late, notBegunLater, notBegun, begun, longRunning].sort(scheduling.compareRanks);
    assert.equal(order, [longRunning, begun, notBegun, notBegunLater, late, expired]);
});

suite(
    "a job beyond the committed rate goes after all of use within theirs, also a begun one, and before expired ones",
    () => {
        const expired = scheduling.rank({ ...work, objective: 300 }, policy, 900);
        const late = scheduling.rank({ ...work, objective: 1000 }, policy, 900);
        const notBegun = scheduling.rank({ ...work, objective: 2000 }, policy, 900);
        const begunBeyond = scheduling.rank({ ...work, objective: 2000, begun: true, beyondRate: true }, policy, 900);
        const urgentBeyond = scheduling.rank({ ...work, objective: 1600, beyondRate: true }, policy, 900);
        const lateBeyond = scheduling.rank({ ...work, objective: 1000, beyondRate: true }, policy, 900);
        const longRunning = scheduling.rank({ ...work, longRunning: true, beyondRate: true }, policy, 900);
        const order = [expired, lateBeyond, urgentBeyond, begunBeyond, late, notBegun, longRunning];
        assert.equal(order.sort(scheduling.compareRanks), [
            longRunning,
            notBegun,
            late,
            begunBeyond,
            urgentBeyond,
            lateBeyond,
            expired,
        ]);
    },
);

suite("an expired job isn't completed, as all tasks of a wide one that began before it go first", () => {
    const wide = scheduling.rank({ ...work, objective: 200, begun: true, readyTasks: 900_000 }, policy, 900);
    const narrow = scheduling.rank({ ...work, objective: 300 }, policy, 900);
    assert.is(wide.timeliness, Timeliness.expired);
    assert.equal([wide, narrow].sort(scheduling.compareRanks), [narrow, wide]);
});

suite.run();
