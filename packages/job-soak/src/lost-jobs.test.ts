/** What counts as a lost job, by the state that a process shows and by what servers saw. */
import type * as platformStandIns from "@catkinwharf/platform-stand-ins";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as lostJobs from "./lost-jobs.js";

const suite = uvu.suite("lost jobs");
const job: lostJobs.SubmittedJob = {
    id: "a",
    queue: "quotes",
    steps: [{ tasks: 2, cpu: 500 }],
    longRunning: false,
    crashesServers: false,
    organisation: undefined,
    cancellation: "none",
};
const busy: lostJobs.Room = { idleTime: 0, longestAbsence: 0 };

/** A run of task `a.0.0.<index>` that ended `how` after `duration` ms, or is under way. */
function createRun(index: number, how: string | undefined, duration = 100): platformStandIns.RunRecord {
    return {
        server: "i-1",
        task: `a.0.0.${index}`,
        run: 1,
        startedAt: 100,
        endedAt: how === undefined ? undefined : 100 + duration,
        how,
        fencingToken: 1,
        acknowledgedAt: undefined,
    };
}

function isLost(
    state: string,
    runs: readonly platformStandIns.RunRecord[],
    overrides: Partial<lostJobs.SubmittedJob> = {},
    room = busy,
): boolean {
    return lostJobs.judgeState(state, { ...job, ...overrides }, runs, room) !== undefined;
}

suite("a job is shown as completed before all its tasks are done", () => {
    assert.is(isLost("completed", [createRun(0, "done"), createRun(0, "done")]), true);
    assert.is(isLost("completed", [createRun(0, "done"), createRun(1, "lapsed"), createRun(1, "done")]), false);
    assert.is(isLost("completed", [], { longRunning: true }), true);
});

suite("a job is shown as failed although its task neither failed often enough nor crashed each of its servers", () => {
    const failed = [createRun(0, "failed"), createRun(0, "failed")];
    const crashed = [createRun(1, "crashed"), createRun(1, "crashed")];
    assert.is(isLost("failed", []), true);
    assert.is(isLost("failed", [...failed, createRun(1, "failed")]), true);
    assert.is(isLost("failed", [...failed, createRun(0, "failed")]), false);
    assert.is(isLost("failed", crashed), false);
    assert.is(isLost("failed", crashed.slice(1), { crashesServers: true }), false);
    assert.is(isLost("failed", crashed.slice(1)), true);
    assert.is(isLost("failed", [...crashed, createRun(1, "lapsed")]), true);
    assert.is(isLost("failed", [...crashed, createRun(1, "crashed", 5000)]), true);
});

suite("a job that nobody cancelled is shown as cancelled, or one that was goes on", () => {
    assert.equal(
        (["none", "sent", "acknowledged"] as const).map(cancellation => isLost("cancelled", [], { cancellation })),
        [
            true,
            false,
            false,
        ],
    );
    assert.is(isLost("running", [createRun(0, undefined)], { cancellation: "acknowledged" }), true);
    assert.is(isLost("running", [createRun(0, undefined)], { cancellation: "sent" }), false);
});

suite("a job stays open with room free, or a task of a lasting one isn't started again", () => {
    assert.is(isLost("queued", [], {}, { idleTime: 3100, longestAbsence: 3100 }), true);
    assert.is(isLost("running", [], {}, { idleTime: 2900, longestAbsence: 9000 }), false);
    assert.is(isLost("running", [], { longRunning: true }, { idleTime: 0, longestAbsence: 6100 }), true);
    assert.is(isLost("running", [], { longRunning: true }, { idleTime: 5000, longestAbsence: 5000 }), false);
});

suite.run();
