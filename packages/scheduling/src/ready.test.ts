/** Tasks that may start, by dependencies, due time and current runs. */
import * as jobState from "@catkinwharf/job-state";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as scheduling from "./index.js";
import * as fixtures from "./testing/fixtures.js";

const suite = uvu.suite("ready");

suite("a step starts when all tasks of the steps it depends on are done", () => {
    const job = fixtures.createJob({
        steps: [fixtures.createStep({ taskCount: 2 }), fixtures.createStep({ dependsOn: [0] })],
    });
    const progress = jobState.createProgress(0);
    assert.equal(scheduling.listReady(job, progress, 0).steps, [{
        occurrence: 0,
        step: 0,
        tasks: [0, 1],
        alone: false,
    }]);
    const occurrence = jobState.getOrCreateOccurrence(progress, job, 0);
    jobState.markDone(occurrence, 0);
    assert.equal(scheduling.listReady(job, progress, 0).steps, [{ occurrence: 0, step: 0, tasks: [1], alone: false }]);
    jobState.markDone(occurrence, 1);
    assert.equal(scheduling.listReady(job, progress, 0).steps, [{ occurrence: 0, step: 1, tasks: [2], alone: false }]);
});

suite("a task with a run under way isn't started again", () => {
    const job = fixtures.createJob({ steps: [fixtures.createStep({ taskCount: 2 })] });
    const progress = jobState.createProgress(0);
    jobState.getOrCreateHistory(jobState.getOrCreateOccurrence(progress, job, 0), 1).runs.push({
        number: 1,
        server: "a@1",
    });
    assert.equal(scheduling.listReady(job, progress, 0).steps, [{ occurrence: 0, step: 0, tasks: [0], alone: false }]);
});

suite("occurrences start at their due time, and not before", () => {
    const job = fixtures.createJob({ repetition: { count: 3, firstAt: 1000, interval: 500 } });
    const progress = jobState.createProgress(0);
    assert.equal(scheduling.listReady(job, progress, 999), { steps: [], nextDue: 1000 });
    const later = scheduling.listReady(job, progress, 1500);
    assert.equal(later.steps.map(step => step.occurrence), [0, 1]);
    assert.is(later.nextDue, 2000);
});

suite("members of a gang are ready together or not at all", () => {
    const job = fixtures.createJob({ steps: [fixtures.createStep({ taskCount: 3, gang: true })] });
    const progress = jobState.createProgress(0);
    assert.is(scheduling.listReady(job, progress, 0).steps[0]?.tasks.length, 3);
    jobState.getOrCreateHistory(jobState.getOrCreateOccurrence(progress, job, 0), 1).runs.push({
        number: 1,
        server: "a@1",
    });
    assert.equal(scheduling.listReady(job, progress, 0).steps, []);
});

suite("no task of a settled job is ready", () => {
    const job = fixtures.createJob({});
    const progress = jobState.createProgress(0);
    progress.status = jobState.JobStatus.failed;
    assert.equal(scheduling.listReady(job, progress, 0).steps, []);
});

suite("a task under which a server has crashed starts alone, a gang with such a member apart from others", () => {
    for (const gang of [false, true]) {
        const job = fixtures.createJob({ steps: [fixtures.createStep({ taskCount: 3, gang })] });
        const progress = jobState.createProgress(0);
        const history = jobState.getOrCreateHistory(jobState.getOrCreateOccurrence(progress, job, 0), 1);
        scheduling.countCrash(history, { isCertain: true, isLone: false, isJoint: false });
        const expected = gang
            ? [{ occurrence: 0, step: 0, tasks: [0, 1, 2], alone: true }]
            : [{ occurrence: 0, step: 0, tasks: [0, 2], alone: false }, {
                occurrence: 0,
                step: 0,
                tasks: [1],
                alone: true,
            }];
        assert.equal(scheduling.listReady(job, progress, 0).steps, expected);
    }
});

suite.run();
