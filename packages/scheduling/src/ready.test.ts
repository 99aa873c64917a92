/** Tasks that may start, by dependencies, due time and current runs. */
import * as jobState from "@catkinwharf/job-state";
import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as scheduling from "./index.js";
import * as fixtures from "./testing/fixtures.js";

const suite = uvu.suite("ready");

/** The steps that are ready now, with their tasks as a list. */
function listSteps(job: jobState.Job, progress: jobState.Progress): object[] {
    return scheduling.listReady(job, progress, 0).steps.map(ready => ({ ...ready, tasks: [...ready.tasks] }));
}

suite("a step starts when all tasks of the steps it depends on are done", () => {
    const job = fixtures.createJob({
        steps: [fixtures.createStep({ taskCount: 2 }), fixtures.createStep({ dependsOn: [0] })],
    });
    const progress = jobState.createProgress(0);
    assert.equal(listSteps(job, progress), [{
        occurrence: 0,
        step: 0,
        tasks: [0, 1],
        alone: false,
    }]);
    const occurrence = jobState.getOrCreateOccurrence(progress, job, 0);
    jobState.markDone(occurrence, 0);
    assert.equal(listSteps(job, progress), [{ occurrence: 0, step: 0, tasks: [1], alone: false }]);
    jobState.markDone(occurrence, 1);
    assert.equal(listSteps(job, progress), [{ occurrence: 0, step: 1, tasks: [2], alone: false }]);
});

suite("a task with a run under way isn't started again", () => {
    const job = fixtures.createJob({ steps: [fixtures.createStep({ taskCount: 2 })] });
    const progress = jobState.createProgress(0);
    jobState.getOrCreateHistory(jobState.getOrCreateOccurrence(progress, job, 0), 1).runs.push({
        number: 1,
        server: "a@1",
    });
    assert.equal(listSteps(job, progress), [{ occurrence: 0, step: 0, tasks: [0], alone: false }]);
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
    assert.is(scheduling.listReady(job, progress, 0).steps[0]?.tasks.size, 3);
    jobState.getOrCreateHistory(jobState.getOrCreateOccurrence(progress, job, 0), 1).runs.push({
        number: 1,
        server: "a@1",
    });
    assert.equal(listSteps(job, progress), []);
});

suite("no task of a settled job is ready", () => {
    const job = fixtures.createJob({});
    const progress = jobState.createProgress(0);
    progress.status = jobState.JobStatus.failed;
    assert.equal(listSteps(job, progress), []);
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
        assert.equal(listSteps(job, progress), expected);
    }
});

/** Ready tasks of a step, found by looking at each task. */
function findReady(
    step: jobState.Step,
    first: number,
    { done, histories }: jobState.OccurrenceProgress,
): { readonly others: number[]; readonly alone: number[]; } {
    const tasks = Array.from({ length: step.taskCount }, (_, i) => first + i);
    const ready = tasks.filter(task => {
        const history = histories.get(task);
        return !done.has(task) && (history === undefined || (history.runs.length === 0 && !history.awaitsJudgement));
    });
    const alone = ready.filter(task => histories.get(task)?.startsAlone === true);
    if (step.gang) {
        const all = ready.length === step.taskCount ? ready : [];
        return alone.length > 0 ? { others: [], alone: all } : { others: all, alone: [] };
    }
    return { others: ready.filter(task => !alone.includes(task)), alone };
}

suite("the ready tasks of drawn progress are those that a look at each task finds", () => {
    const seed = 20_261_208;
    const change = fastCheck.constantFrom("done", "run", "judgement", "alone", "ended");
    const changes = fastCheck.array(fastCheck.tuple(fastCheck.nat({ max: 11 }), change), { maxLength: 20 });
    fastCheck.assert(
        fastCheck.property(changes, fastCheck.boolean(), (drawn, gang) => {
            const job = fixtures.createJob({
                steps: [fixtures.createStep({ taskCount: 7, gang }), fixtures.createStep({ taskCount: 5 })],
            });
            const progress = jobState.createProgress(0);
            const occurrence = jobState.getOrCreateOccurrence(progress, job, 0);
            for (const [task, what] of drawn) {
                if (what === "done") {
                    jobState.markDone(occurrence, task);
                    continue;
                }
                const history = jobState.getOrCreateHistory(occurrence, task);
                history.runs = what === "run" ? [{ number: 1, server: "a@1" }] : [];
                history.awaitsJudgement = what === "judgement";
                history.startsAlone ||= what === "alone";
            }
            const expected = job.steps.flatMap((step, i) => {
                const { others, alone } = findReady(step, i === 0 ? 0 : 7, occurrence);
                return [{ tasks: others, alone: false }, { tasks: alone, alone: true }]
                    .filter(({ tasks }) => tasks.length > 0)
                    .map(part => ({ occurrence: 0, step: i, ...part }));
            });
            assert.equal(listSteps(job, progress), expected, `seed ${seed}`);
        }),
        { seed, numRuns: 500 },
    );
});

suite("finished occurrences are passed over, and the next one is ready however many there are", () => {
    const job = fixtures.createJob({ repetition: { count: 1e9, firstAt: 0, interval: 1 } });
    const progress = jobState.createProgress(0);
    progress.finished.addRange(0, 5e8);
    const { steps } = scheduling.listReady(job, progress, 1e9);
    assert.is(steps[0]?.occurrence, 5e8);
    assert.is(steps.length, 64);
});

suite.run();
