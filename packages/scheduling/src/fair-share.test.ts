/** Shares of organisations in the capacity. */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as scheduling from "./index.js";

const suite = uvu.suite("fair share");
const capacity = { cpu: 100_000, memory: 1000, accelerators: 0 };

suite("the resource of which an organisation has the largest part counts, by its weight", () => {
    assert.is(scheduling.computeShare({ cpu: 10_000, memory: 400, accelerators: 0 }, capacity, 2), 0.2);
    assert.is(scheduling.computeShare({ cpu: 50_000, memory: 400, accelerators: 0 }, capacity, 1), 0.5);
});

suite("without a weight or without servers a share is a finite number, so that the order stays defined", () => {
    assert.is(scheduling.computeShare({ cpu: 50_000, memory: 0, accelerators: 0 }, capacity, 0), 0.5);
    const none = { cpu: 0, memory: 0, accelerators: 0 };
    assert.is(scheduling.computeShare({ cpu: 50_000, memory: 0, accelerators: 0 }, none, 1), 0);
});

suite.run();
