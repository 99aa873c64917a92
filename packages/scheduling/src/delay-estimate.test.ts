/** A burst in which a start takes as long as the work must show in the estimate, a single odd task must not. */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as delayEstimate from "./delay-estimate.js";

const suite = uvu.suite("delay estimate");

suite("follows the tasks of a burst and returns to nothing after it", () => {
    const estimate = new delayEstimate.DelayEstimate();
    for (let i = 0; i < 200; i++) {
        estimate.record(500);
    }
    assert.ok(estimate.current > 450 && estimate.current <= 500, `${estimate.current}`);
    for (let i = 0; i < 400; i++) {
        estimate.record(0);
    }
    assert.ok(estimate.current < 1, `${estimate.current}`);
});

suite("tasks that are faster than estimated give no negative delay", () => {
    const estimate = new delayEstimate.DelayEstimate();
    estimate.record(-300);
    assert.is(estimate.current, 0);
});

suite("hardly moves with one task", () => {
    const estimate = new delayEstimate.DelayEstimate();
    estimate.record(600);
    assert.ok(estimate.current < 20, `${estimate.current}`);
});

suite.run();
