/** Wide jobs share the runs that a coordinator has memory for, and leave some for others. */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as scheduling from "./index.js";

const suite = uvu.suite("run budget");
const limit = 10_000;

/** Runs of each of the crowd's jobs, once none of them may start more. */
function fill(jobCount: number): number[] {
    const runs = Array.from({ length: jobCount }, () => 0);
    for (let started = 1; started > 0;) {
        started = 0;
        for (const [i, own] of runs.entries()) {
            const budget = new scheduling.RunBudget(limit, runs.reduce((sum, one) => sum + one, 0));
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
        const budget = new scheduling.RunBudget(limit, sum);
        assert.ok(sum <= limit, `${sum} runs of ${jobCount} jobs`);
        assert.ok(budget.countAllowed(0, 4, false) === 4, `${jobCount} jobs have ${sum} runs`);
    }
});

suite("far from the limit nothing is held back", () => {
    const budget = new scheduling.RunBudget(limit, 500);
    assert.is(budget.countAllowed(500, 3000, false), 3000);
    assert.is(new scheduling.RunBudget(Number.POSITIVE_INFINITY, 1e6).countAllowed(1e6, 1e6, true), 1e6);
});

suite("a gang starts as a whole or not at all, and the largest one starts if nothing else runs", () => {
    const largest = scheduling.computeLargestGang(limit);
    const budget = new scheduling.RunBudget(limit, 0);
    assert.is(budget.countAllowed(0, largest, true), largest);
    assert.is(budget.countAllowed(0, largest + 1, true), 0);
    budget.add(2);
    assert.is(budget.countAllowed(0, largest, true), 0);
});

suite.run();
