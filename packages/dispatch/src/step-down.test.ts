/** A process that doesn't coordinate any more sends no starts, and keeps what it has read from the ledger since. */
import * as eventLog from "@catkinwharf/event-log";
import type * as httpCalls from "@catkinwharf/http-calls";
import * as jobState from "@catkinwharf/job-state";
import * as jobTesting from "@catkinwharf/job-state/testing";
import * as storeClient from "@catkinwharf/store";
import * as neverthrow from "neverthrow";
import * as timers from "node:timers/promises";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as fleet from "./fleet.js";
import * as jobRegistry from "./job-registry.js";
import * as runManager from "./run-manager.js";
import * as testing from "./testing/context.js";

const suite = uvu.suite("step-down");
const ignore = () => undefined;
const job = jobTesting.createJob();
const refusal = { status: 409, body: Buffer.from(JSON.stringify({ ClockMs: 5, Reason: "room" })) };

/** A coordinator that has planned run 1 of a task, and whose calls a test answers. */
function plan(mayExtendLeases = true) {
    const answers: ((response: typeof refusal) => void)[] = [];
    const calls = {
        send: () => new Promise(resolve => answers.push(response => resolve(neverthrow.ok(response)))),
    } as unknown as httpCalls.HttpClient;
    const routes = new storeClient.StoreRoutes("store:1");
    const store = new storeClient.StoreClient(calls, routes, eventLog.silentEventLog, () => 0);
    const shared = { ...testing.createContext(calls, store, () => 0), mayExtendLeases: () => mayExtendLeases };
    const registry = new jobRegistry.JobRegistry();
    const manager = new runManager.RunManager({
        shared,
        registry,
        onEnd: ignore,
        onStartAnswered: ignore,
        canSpare: () => true,
        describeStep: () => ({}),
    });
    const servers = new fleet.Fleet(shared, {
        onLists: ignore,
        onCrash: ignore,
        onRebooted: ignore,
        onRunsLost: ignore,
    });
    const server = servers.createUnlistedSession("s1");
    server.entry = { ...server.entry, draining: false };
    server.recordList(5, 0, 0);
    const { key, value } = jobState.encodeJob(job);
    shared.jobs.applySubmission(key, value);
    const entry = shared.jobs.entries.get(job.id)!;
    const active = registry.track(entry, 0)!;
    const ready = { occurrence: 0, step: 0, tasks: jobState.IndexRanges.of([0]), alone: false };
    const run = manager.plan(active, ready, 0, 1, server, undefined);
    return { manager, server, run, answers, jobs: shared.jobs, writer: shared.writer };
}

/** The term ends, and the ledger is read anew: a later coordinator's run 1 of the task is under way. */
function stepDown({ manager, writer, jobs }: ReturnType<typeof plan>): void {
    manager.end();
    writer.stop();
    jobs.clearProgress();
    const progress = jobState.createProgress(0);
    const history = jobState.getOrCreateHistory(jobState.getOrCreateOccurrence(progress, job, 0), 0);
    history.lastRun = 1;
    history.runs.push({ number: 1, server: "s2@7" });
    jobs.applyProgress(job.id, progress);
}

function listRuns({ jobs }: ReturnType<typeof plan>): string[] {
    const history = jobs.entries.get(job.id)?.progress?.occurrences.get(0)?.histories.get(0);
    return history?.runs.map(({ number, server }) => `${number} on ${server}`) ?? [];
}

suite("a run of a later coordinator is forgotten, as a former one learns that its own start was refused", async () => {
    const former = plan();
    const started = former.manager.start(former.server, former.run);
    stepDown(former);
    former.answers.forEach(answer => answer(refusal));
    await started;
    assert.equal(listRuns(former), ["1 on s2@7"]);
});

suite("a run of a later coordinator is forgotten, as a lease that a former one gave expires", () => {
    const former = plan();
    stepDown(former);
    former.manager.endRuns(former.server, [...former.server.runs.values()], jobState.RunEnd.lapsed);
    assert.equal(listRuns(former), ["1 on s2@7"]);
});

suite("a start is sent although the term is over", async () => {
    const former = plan();
    stepDown(former);
    void former.manager.start(former.server, former.run);
    await timers.setImmediate();
    assert.is(former.answers.length, 0);
});

suite(
    "a start is sent without the payload, as a later coordinator has ended the job and stored it in short",
    async () => {
        const former = plan();
        const { key, value } = jobState.encodeEndedJob(job, jobState.JobStatus.completed);
        former.jobs.applySubmission(key, value);
        void former.manager.start(former.server, former.run);
        await timers.setImmediate();
        assert.is(former.answers.length, 0);
    },
);

suite("a start is sent long after its intent was stored, as the process was suspended", async () => {
    const suspended = plan(false);
    void suspended.manager.start(suspended.server, suspended.run);
    await timers.setImmediate();
    assert.is(suspended.answers.length, 0);
    assert.equal(listRuns(suspended), []);
});

suite.run();
