/** Concentrated work must go to large processes, and every process must qualify where all are alike. */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as scheduling from "./index.js";

const suite = uvu.suite("process capacity");
const large = { cores: 1.35, linkRate: 140 };
const small = { cores: 0.324, linkRate: 140 };
const narrow = { cores: 1.35, linkRate: 7 };
const unknown = { cores: undefined, linkRate: undefined };

suite("a process counts as small by its scarcest resource", () => {
    assert.ok(scheduling.isLargeProcess(large, [large, small, narrow]));
    assert.not(scheduling.isLargeProcess(small, [large, small]));
    assert.not(scheduling.isLargeProcess(narrow, [large]));
    assert.is(scheduling.computeRelativeCapacity(small, [large]), 0.324 / 1.35);
});

suite("equal processes, a process alone and one of unknown capacity count as large", () => {
    assert.ok(scheduling.isLargeProcess(small, [small, small]));
    assert.ok(scheduling.isLargeProcess(small, []));
    assert.ok(scheduling.isLargeProcess(unknown, [large]));
    assert.ok(scheduling.isLargeProcess(small, [unknown]));
});

suite.run();
