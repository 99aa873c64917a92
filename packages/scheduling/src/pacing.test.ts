/** Throttling of fillers, so that the tail latency of serving tasks beside them stays below its target. */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as scheduling from "./index.js";

const suite = uvu.suite("pacing");

suite("a tail latency over its target pauses fillers after three decisions", () => {
    let pace = 100;
    for (let decision = 0; decision < 3; decision++) {
        pace = scheduling.decidePace([{ tail: 120, target: 100 }], pace);
    }
    assert.is(pace, 0);
});

suite("a tail latency near its target slows fillers, and one well below speeds them up step by step", () => {
    assert.is(scheduling.decidePace([{ tail: 90, target: 100 }], 100), 60);
    assert.is(scheduling.decidePace([{ tail: 75, target: 100 }], 60), 60);
    assert.is(scheduling.decidePace([{ tail: 20, target: 100 }], 60), 70);
    assert.is(scheduling.decidePace([], 95), 100);
});

suite("the highest ratio of several serving tasks decides; unknown tails and absent targets are ignored", () => {
    const serving = [{ tail: 10, target: 100 }, { tail: 200, target: 100 }, { tail: undefined, target: 100 }];
    assert.is(scheduling.decidePace(serving, 100), 25);
    assert.is(scheduling.decidePace([{ tail: 500, target: 0 }], 50), 60);
});

suite(
    "with interference that grows with the pace, the tail latency isn't at or over the target four decisions in a row",
    () => {
        let pace = 100;
        let decisionsOverTarget = 0;
        for (let decision = 0; decision < 60; decision++) {
            const tail = 40 + pace;
            decisionsOverTarget = tail >= 100 ? decisionsOverTarget + 1 : 0;
            assert.ok(decisionsOverTarget < 4, "at or over the target for four consecutive decisions");
            pace = scheduling.decidePace([{ tail, target: 100 }], pace);
        }
    },
);

suite.run();
