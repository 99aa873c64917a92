/** Runs of withdrawn jobs are found, and those of other jobs or in time aren't. */
import type * as platformStandIns from "@catkinwharf/platform-stand-ins";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as unaskedRuns from "./unasked-runs.js";

const suite = uvu.suite("unasked runs");

function createRun(task: string, startedAt: number, endedAt?: number): platformStandIns.RunRecord {
    const how = endedAt === undefined ? undefined : "stopped";
    return { server: "i-1", task, run: 1, startedAt, endedAt, how, fencingToken: 1, acknowledgedAt: undefined };
}

suite("a run that starts long after the acknowledgement, or goes on, is unasked", () => {
    const withdrawn = new Map([["a", 1000]]);
    const find = (run: platformStandIns.RunRecord, now = 100_000) =>
        unaskedRuns.findUnaskedRuns([run], withdrawn, now).length;
    assert.is(find(createRun("a.0.0.0", 5100, 5200)), 1);
    assert.is(find(createRun("a.0.0.0", 900)), 1);
    assert.is(find(createRun("a.0.0.0", 900), 9000), 0);
    assert.is(find(createRun("a.0.0.0", 900, 1500)), 0);
    assert.is(find(createRun("b.0.0.0", 5100)), 0);
});

suite.run();
