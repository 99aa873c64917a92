/** Ejection, its cap, probing, recovery, and faulty requests. */
import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as outlierDetector from "./outlier-detector.js";

const seed = 5_012_028;
const suite = uvu.suite(`outlier detector (seed ${seed})`);
const pool = ["a", "b", "c", "d"];

function createDetector(maxEjected: number): outlierDetector.OutlierDetector {
    const detector = new outlierDetector.OutlierDetector();
    detector.updatePool("pool", pool, maxEjected);
    return detector;
}

function fail(detector: outlierDetector.OutlierDetector, instance: string, times: number, now: number): void {
    for (let index = 0; index < times; index++) {
        detector.recordFailure(instance, `${instance}-${now}-${index}`, outlierDetector.FailureKind.error, now);
    }
}

const step = fastCheck.record({
    instance: fastCheck.constantFrom(...pool),
    request: fastCheck.nat(300),
    kind: fastCheck.constantFrom("error", "silent", "refused", undefined),
    waitMs: fastCheck.nat(2000),
});

suite("never ejects more servers than the cap, and keeps shares between 0 and 1", () => {
    fastCheck.assert(
        fastCheck.property(fastCheck.nat(3), fastCheck.array(step, { maxLength: 300 }), (maxEjected, steps) => {
            const detector = createDetector(maxEjected);
            let now = 0;
            for (const attempt of steps) {
                now += attempt.waitMs;
                if (attempt.kind === undefined) {
                    detector.recordSuccess(attempt.instance, now);
                }
                else {
                    detector.recordFailure(attempt.instance, `r${attempt.request}`, attempt.kind, now);
                }
                assert.ok(detector.listEjected(now).length <= maxEjected);
                assert.ok(pool.every(name => detector.share(name, now) >= 0 && detector.share(name, now) <= 1));
            }
        }),
        { seed, numRuns: 300 },
    );
});

suite("ejects a failing server for a time, then probes it and restores its share gradually", () => {
    const detector = createDetector(1);
    fail(detector, "a", 5, 1000);
    assert.equal(detector.listEjected(1000), ["a"]);
    // The first ejection lasts 5 s, the second one 10 s, and the share then increases for 10 s.
    assert.is(detector.share("a", 6000), 0.125);
    fail(detector, "a", 1, 6000);
    assert.is(detector.share("a", 15_999), 0);
    detector.recordSuccess("a", 16_000);
    assert.is(detector.share("a", 16_000), 0.125);
    assert.ok(detector.share("a", 21_000) > 0.5 && detector.share("a", 21_000) < 1);
    detector.recordSuccess("a", 26_000);
    assert.is(detector.share("a", 26_000), 1);
});

suite("a late response to an earlier attempt does not end the ejection", () => {
    const detector = createDetector(1);
    fail(detector, "a", 5, 1000);
    detector.recordSuccess("a", 1100);
    assert.is(detector.share("a", 1100), 0);
});

suite("beyond the cap a failing server keeps the smallest share", () => {
    const detector = createDetector(1);
    fail(detector, "a", 5, 1000);
    fail(detector, "b", 5, 1000);
    assert.equal(detector.listEjected(1000), ["a"]);
    assert.is(detector.share("b", 1000), 0.125);
});

suite("a request that fails on two servers counts against neither", () => {
    const detector = createDetector(2);
    for (let index = 0; index < 20; index++) {
        detector.recordFailure("a", `bad-${index}`, outlierDetector.FailureKind.error, index);
        detector.recordFailure("b", `bad-${index}`, outlierDetector.FailureKind.error, index);
    }
    assert.equal(detector.listEjected(20), []);
    detector.recordFailure("a", "bad-1", outlierDetector.FailureKind.error, 30);
    assert.is(detector.share("a", 30), 1);
});

suite("discarding the failures that caused an ejection lifts it", () => {
    const detector = createDetector(1);
    fail(detector, "a", 5, 0);
    for (let index = 0; index < 5; index++) {
        detector.discardFailures(`a-0-${index}`);
    }
    assert.is(detector.share("a", 1), 1);
});

suite("a fault of the whole pool ejects nobody", () => {
    const detector = createDetector(4);
    for (let index = 0; index < 40; index++) {
        for (const instance of pool) {
            detector.recordSuccess(instance, index);
            fail(detector, instance, 3, index);
        }
    }
    assert.equal(detector.listEjected(40), []);
});

suite("the state of an instance that left the pool is deleted", () => {
    const detector = createDetector(1);
    fail(detector, "a", 5, 0);
    detector.updatePool("pool", ["b", "c", "d"], 1);
    assert.equal(detector.listEjected(1), []);
});

suite.run();
