/** Wide jobs share the runs that a coordinator has memory for, and leave some for others. */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as scheduling from "./index.js";

const suite = uvu.suite("run budget");
const limits: scheduling.RunLimits = { runs: 10_000, gang: 2000 };

/** Runs of each of the crowd's jobs, once none of them may start more. */
function fill(jobCount: number): number[] {
    const runs = Array.from({ length: jobCount }, () => 0);
    for (let started = 1; started > 0;) {
        started = 0;
        for (const [i, own] of runs.entries()) {
            const budget = new scheduling.RunBudget(limits, runs.reduce((sum, one) => sum + one, 0));
            const allowed = budget.countAllowed(own, 1_000_000, false);
            runs[i] = own + allowed;
            started += allowed;
        }
    }
    return runs;
}

suite("a crowd of wide jobs leaves runs for an ordinary one", () => {
    for (const jobCount of [1, 2, 30, 200]) {
        const runs = fill(jobCount);
        const sum = runs.reduce((total, one) => total + one, 0);
        const budget = new scheduling.RunBudget(limits, sum);
        assert.ok(sum <= limits.runs, `${sum} runs of ${jobCount} jobs`);
        assert.ok(budget.countAllowed(0, 4, false) === 4, `${jobCount} jobs have ${sum} runs`);
    }
});

suite("far from the limit nothing is held back", () => {
    const budget = new scheduling.RunBudget(limits, 500);
    assert.is(budget.countAllowed(500, 3000, false), 3000);
    assert.is(new scheduling.RunBudget(scheduling.noRunLimits, 1e6).countAllowed(1e6, 1e6, true), 1e6);
});

suite("a gang starts as a whole or not at all, and the largest one starts if nothing else runs", () => {
    for (const memory of [100e6, 260e6, 4e9]) {
        const computed = scheduling.computeRunLimits(memory);
        const budget = new scheduling.RunBudget(computed, 0);
        assert.is(budget.countAllowed(0, computed.gang, true), computed.gang);
        assert.is(budget.countAllowed(0, computed.gang + 1, true), 0);
        assert.ok(budget.countAllowed(0, computed.gang + 1, false) > computed.gang);
    }
    assert.is(new scheduling.RunBudget(limits, 6000).countAllowed(0, 1000, true), 0);
});

suite.run();
