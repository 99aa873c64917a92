/** Properties of admission, run time estimates, retry budget, back-off, and the choice of servers and targets. */
import * as types from "@catkinwharf/types";
import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as placement from "./index.js";

const seed = 5_012_027;
const suite = uvu.suite(`placement (seed ${seed})`);

function check<Values extends [unknown, ...unknown[]]>(property: fastCheck.IProperty<Values>): void {
    fastCheck.assert(property, { seed, numRuns: 500 });
}

const basic: placement.AdmissionInput = {
    queued: 10,
    maxQueued: 10,
    slots: 2,
    deadline: 10_000,
    urgency: 3,
    expectedRunMs: 100,
    lastInQueue: { urgency: 3, deadline: 20_000, id: "last" },
};

suite("admission sheds only for a strictly more urgent request", () => {
    assert.equal(placement.decideAdmission(basic, 0), { kind: "refuse", reason: types.Reason.queueFull });
    assert.equal(placement.decideAdmission({ ...basic, urgency: 2 }, 0), { kind: "shed", id: "last" });
    assert.equal(placement.decideAdmission({ ...basic, queued: 9 }, 0), { kind: "admit" });
});

suite("admission refuses requests that can't finish in time, and counts only the requests ahead of them", () => {
    const late = { ...basic, queued: 9, deadline: 500 };
    assert.equal(placement.decideAdmission(late, 0), { kind: "refuse", reason: types.Reason.deadlineTooShort });
    assert.equal(placement.decideAdmission({ ...late, ahead: 8 }, 0), { kind: "admit" });
    assert.equal(placement.decideAdmission({ ...late, slots: 0 }, 0), {
        kind: "refuse",
        reason: types.Reason.noCapacity,
    });
});

suite("an estimate stays between the least and greatest observation", () => {
    check(fastCheck.property(
        fastCheck.array(fastCheck.integer({ min: 1, max: 100_000 }), { minLength: 1, maxLength: 200 }),
        runs => {
            const estimator = new placement.RunTimeEstimator();
            runs.forEach((runMs, index) => estimator.record("s", runMs, index));
            const estimate = estimator.estimate("s");
            assert.ok(estimate >= Math.min(...runs) - 1e-6 && estimate <= Math.max(...runs) + 1e-6);
        },
    ));
});

suite("an estimate recovers from a first run ten times off and is robust against single outliers", () => {
    for (const first of [10, 1000]) {
        const estimator = new placement.RunTimeEstimator();
        estimator.record("s", first, 0);
        for (let index = 1; index <= 200; index++) {
            estimator.record("s", index % 50 === 0 ? 100_000 : 90 + index % 21, index);
        }
        assert.ok(Math.abs(estimator.estimate("s") - 100) < 40, String(estimator.estimate("s")));
    }
});

suite("retries stay within the share of attempts, the minimum rate and the initial tokens", () => {
    const events = fastCheck.array(fastCheck.tuple(fastCheck.boolean(), fastCheck.nat(50)), { maxLength: 400 });
    check(fastCheck.property(events, steps => {
        const budget = new placement.RetryBudget(0.1, 1);
        let [now, attempts, retries] = [0, 0, 0];
        for (const [isAttempt, waitMs] of steps) {
            now += waitMs;
            if (isAttempt) {
                attempts++;
                budget.recordAttempt("s", now);
            }
            else {
                retries += budget.tryTake("s", now) ? 1 : 0;
            }
        }
        assert.ok(retries <= 1 + attempts * 0.1 + now / 1000 + 1e-6);
    }));
});

suite("each service has its own retry budget", () => {
    const budget = new placement.RetryBudget(0.5, 0);
    budget.recordAttempt("a", 0);
    budget.recordAttempt("a", 0);
    assert.not(budget.tryTake("b", 0));
    assert.ok(budget.tryTake("a", 0));
    assert.not(budget.tryTake("a", 0));
});

suite("back-off stays within its bounds", () => {
    check(fastCheck.property(fastCheck.integer({ min: 1, max: 50 }), fastCheck.nat(999), (attempt, thousandths) => {
        const delay = placement.computeBackoff(attempt, thousandths / 1000);
        assert.ok(delay >= 0 && delay < 1000);
    }));
});

const candidate = fastCheck.record({
    instance: fastCheck.constantFrom("a", "b", "c", "d"),
    slots: fastCheck.integer({ min: 1, max: 8 }),
    inFlight: fastCheck.nat(9),
    share: fastCheck.constantFrom(0, 0.125, 0.5, 1),
});

suite("a chosen backend server has a free slot, was not tried, and is found when there is one", () => {
    check(fastCheck.property(
        fastCheck.array(candidate, { maxLength: 8 }),
        fastCheck.nat(999),
        (candidates, thousandths) => {
            const chosen = placement.chooseBackendServer(candidates, thousandths / 1000, new Set(["d"]));
            const free = candidates.filter(candidate =>
                candidate.instance !== "d" && candidate.inFlight < placement.countUsableSlots(candidate)
            );
            assert.is(chosen === undefined, free.length === 0);
            assert.ok(chosen === undefined || free.some(one => one === chosen));
        },
    ));
});

const target = fastCheck.record({
    session: fastCheck.uuid(),
    local: fastCheck.constant(false),
    sameZone: fastCheck.boolean(),
    slots: fastCheck.nat(16),
    free: fastCheck.nat(4),
    queued: fastCheck.nat(30),
}).map(generated => ({ ...generated, free: Math.min(generated.free, generated.slots) }));

suite("a target with free slots in the same zone is preferred to more distant ones", () => {
    check(fastCheck.property(
        fastCheck.array(target, { maxLength: 8 }),
        fastCheck.nat(999),
        (targets, thousandths) => {
            const chosen = placement.chooseTarget(targets, thousandths / 1000);
            assert.is(chosen === undefined, targets.every(one => one.slots === 0));
            if (targets.some(one => one.free > 0)) {
                assert.ok(chosen !== undefined && chosen.free > 0);
                assert.is(chosen?.sameZone, targets.some(one => one.free > 0 && one.sameZone));
            }
        },
    ));
});

suite("local free slots are used first, and a digest's free slots shrink with age and forwarded requests", () => {
    const own = { session: "own", local: true, sameZone: true, slots: 8, free: 1, queued: 0 };
    const peer = { session: "peer", local: false, sameZone: true, slots: 8, free: 8, queued: 0 };
    assert.is(placement.chooseTarget([peer, own], 0.3), own);
    assert.is(placement.chooseTarget([peer, { ...own, free: 0, queued: 40 }], 0.3), peer);
    assert.equal(placement.ageDigest(peer, 0, 3), { slots: 8, free: 5, queued: 0 });
    assert.equal(placement.ageDigest(peer, 0, 10), { slots: 8, free: 0, queued: 2 });
    assert.is(placement.ageDigest(peer, 60_000, 0).free, 0);
});

suite("reserves time for a long run up to half of the remaining time, and always for the expected run", () => {
    assert.is(placement.computeRunReserve(100, 470, 3000), 470);
    assert.is(placement.computeRunReserve(100, 470, 600), 300);
    assert.is(placement.computeRunReserve(100, 470, 150), 100);
});

suite.run();
