/** Throttling of fillers beside serving tasks. */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as scheduling from "./index.js";

const suite = uvu.suite("pacing");

suite("a tail latency over its target pauses fillers within three rounds", () => {
    let pace = 100;
    for (let round = 0; round < 3; round++) {
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

suite("with interference that grows with the pace, the tail latency settles below the target", () => {
    let pace = 100;
    let roundsOverTarget = 0;
    for (let round = 0; round < 60; round++) {
        const tail = 40 + pace;
        roundsOverTarget = tail >= 100 ? roundsOverTarget + 1 : 0;
        assert.ok(roundsOverTarget < 4, "over the target for four consecutive rounds");
        pace = scheduling.decidePace([{ tail, target: 100 }], pace);
    }
});

suite.run();
