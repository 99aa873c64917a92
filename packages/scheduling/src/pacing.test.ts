/** Fillers beside serving tasks. */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as scheduling from "./index.js";

const suite = uvu.suite("pacing");

suite("a tail over its target stops fillers within three looks", () => {
    let pace = 100;
    for (let look = 0; look < 3; look++) {
        pace = scheduling.decidePace([{ tail: 120, target: 100 }], pace);
    }
    assert.is(pace, 0);
});

suite("a tail near its target slows them, one well below lets them go step by step", () => {
    assert.is(scheduling.decidePace([{ tail: 90, target: 100 }], 100), 60);
    assert.is(scheduling.decidePace([{ tail: 75, target: 100 }], 60), 60);
    assert.is(scheduling.decidePace([{ tail: 20, target: 100 }], 60), 70);
    assert.is(scheduling.decidePace([], 95), 100);
});

suite("the worst of several serving tasks decides; unknown tails and absent targets don't", () => {
    const serving = [{ tail: 10, target: 100 }, { tail: 200, target: 100 }, { tail: undefined, target: 100 }];
    assert.is(scheduling.decidePace(serving, 100), 25);
    assert.is(scheduling.decidePace([{ tail: 500, target: 0 }], 50), 60);
});

suite("interference that grows with the fillers' pace settles below the target", () => {
    let pace = 100;
    let over = 0;
    for (let look = 0; look < 60; look++) {
        const tail = 40 + pace;
        over = tail >= 100 ? over + 1 : 0;
        assert.ok(over < 4, "over the target for four looks on end");
        pace = scheduling.decidePace([{ tail, target: 100 }], pace);
    }
});

suite.run();
