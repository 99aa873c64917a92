/** Predicted run times: learnt from completed tasks, conditional on the age, in bounded memory. */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as scheduling from "./index.js";

const suite = uvu.suite("run-time prediction");
const estimate = 500;

/** 97% of the tasks take twice their estimate, give or take 10%, the others seven times as long. */
function createLearnt(): scheduling.RunTimePrediction {
    const prediction = new scheduling.RunTimePrediction();
    for (let i = 0; i < 400; i++) {
        const typical = 2 * estimate * (0.9 + 0.2 * (i % 21) / 20);
        prediction.record("q", 0, estimate, i % 33 === 32 ? 7 * typical : typical);
    }
    return prediction;
}

suite("a queue without completed tasks has no prediction, or one that ends in the past", () => {
    const prediction = new scheduling.RunTimePrediction();
    assert.is(prediction.predictRemaining("q", 0, estimate, 0), 500);
    assert.is(prediction.predictRemaining("q", 0, estimate, 200), 300);
    assert.ok(prediction.predictRemaining("q", 0, estimate, 800) > 0);
    createLearnt();
    assert.is(prediction.predictRemaining("other", 3, estimate, 0), 500);
});

suite("a caller's wrong estimate is taken for the run time although completed tasks show the real one", () => {
    const remaining = createLearnt().predictRemaining("q", 0, estimate, 0);
    assert.ok(remaining > 900 && remaining < 1100, `${remaining} ms`);
    const scaled = createLearnt().predictRemaining("q", 0, 10 * estimate, 0);
    assert.ok(scaled > 9000 && scaled < 11_000, `${scaled} ms`);
});

suite("a run that is well past the typical duration is expected to end at once", () => {
    const prediction = createLearnt();
    const typical = prediction.predictRemaining("q", 0, estimate, 400);
    assert.ok(typical > 400 && typical < 700, `${typical} ms`);
    const long = prediction.predictRemaining("q", 0, estimate, 1500);
    assert.ok(long > 4500 && long < 6500, `${long} ms`);
    const longest = prediction.predictRemaining("q", 0, estimate, 20_000);
    assert.ok(longest >= 5000, `${longest} ms`);
});

suite("the prediction for a quantile lies outside the durations that were recorded", () => {
    const prediction = createLearnt();
    const [low, high, tail] = [0.1, 0.9, 0.99].map(share => prediction.predictRemaining("q", 0, estimate, 0, share));
    assert.ok(low! < high! && high! < 1300 && tail! > 5000, JSON.stringify({ low, high, tail }));
});

suite("a change of the run times is never learnt, as old tasks outweigh new ones", () => {
    const prediction = createLearnt();
    for (let i = 0; i < 1200; i++) {
        prediction.record("q", 0, estimate, 4 * estimate);
    }
    const remaining = prediction.predictRemaining("q", 0, estimate, 0);
    assert.ok(remaining > 1700 && remaining < 2400, `${remaining} ms`);
});

suite("memory grows with the number of queues and steps without a bound", () => {
    const prediction = createLearnt();
    for (let queue = 0; queue < 300; queue++) {
        for (let i = 0; i < 20; i++) {
            prediction.record(`q${queue}`, i, estimate, 4 * estimate);
        }
    }
    // The queue that was recorded least recently is evicted, so its prediction is the estimate again.
    assert.is(prediction.predictRemaining("q", 0, estimate, 0), estimate);
});

suite.run();
