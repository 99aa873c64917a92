/**
 * Random courses with wide and repeated jobs, cancels before late submissions, and late appends: nothing that was cancelled
 * starts, no task runs twice, the runs under way stay within their limit, and ordinary jobs are completed beside the crowd.
 */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as randomFaults from "./testing/random-faults.js";
import * as wideAndLateJobs from "./testing/wide-and-late-jobs.js";

const suite = uvu.suite("wide and late jobs");
const seeds = Array.from({ length: 4 }, (_, i) => i + 1);

for (const disturbServers of [false, true]) {
    const what = disturbServers ? "servers and coordinators fail" : "coordinators fail";
    suite(`a cancelled job starts, a task runs twice or the memory for runs is exceeded, as ${what}`, async () => {
        const found: string[] = [];
        for (const seed of seeds) {
            let jobs: wideAndLateJobs.WideAndLateJobs | undefined;
            const run = new randomFaults.FaultyRun({
                seed,
                disturbServers,
                restartServers: false,
                runLimits: wideAndLateJobs.runLimits,
                prepare: (world, random) => jobs = new wideAndLateJobs.WideAndLateJobs(world, random),
            });
            await run.play();
            const { violations } = run.world.singleRunRule;
            found.push(
                ...violations.map(violation => `seed ${seed}: ${JSON.stringify(violation)}`),
                ...jobs!.violations.map(violation => `seed ${seed}: ${violation}`),
            );
            assert.ok(jobs!.startedTasks > 0, `seed ${seed}: no task of a wide job has started`);
        }
        assert.equal(found, []);
    });
}

suite.run();
