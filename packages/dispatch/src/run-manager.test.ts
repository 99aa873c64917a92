/** A run that incomplete lists of a server omit isn't lost. */
import * as eventLog from "@catkinwharf/event-log";
import * as httpCalls from "@catkinwharf/http-calls";
import * as jobState from "@catkinwharf/job-state";
import * as jobTesting from "@catkinwharf/job-state/testing";
import * as platform from "@catkinwharf/platform";
import * as platformTesting from "@catkinwharf/platform/testing";
import * as storeClient from "@catkinwharf/store";
import * as neverthrow from "neverthrow";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as fleet from "./fleet.js";
import * as jobRegistry from "./job-registry.js";
import * as runManager from "./run-manager.js";
import type * as session from "./server-session.js";
import * as testing from "./testing/context.js";

const suite = uvu.suite("run manager");
/** Number of ends above which a server lists the others only once these are acknowledged. */
const maxListedEnds = 500;

const route: platform.operatorRecords.Route = {
    name: "quotes",
    host: "",
    pathPrefix: "/",
    service: "quotes",
    priority: 0,
    maxAttempts: 3,
    slackFactor: 1,
    latencyAllowance: 0,
    timeout: 1000,
    advice: undefined,
    isPublic: false,
};

interface Managed {
    readonly manager: runManager.RunManager;
    readonly active: jobRegistry.ActiveJob;
    readonly server: session.ServerSession;
}

function manage(job: jobState.Job, progress?: jobState.Progress): Managed {
    const calls = new httpCalls.HttpClient();
    const send = () => Promise.resolve(neverthrow.ok(platformTesting.createDoneResponse()));
    const routes = new storeClient.StoreRoutes("store:1");
    const store = new storeClient.StoreClient({ send }, routes, eventLog.silentEventLog, () => 0);
    const shared = testing.createContext(calls, store, () => 0);
    const registry = new jobRegistry.JobRegistry();
    registry.applyConfiguration({ version: 1, routes: [route], services: [], organisations: [], maxBodyBytes: 1 });
    const manager = new runManager.RunManager({
        shared,
        registry,
        onEnd: () => undefined,
        onStartAnswered: () => undefined,
        canSpare: () => true,
        describeStep: () => ({}),
    });
    const servers = new fleet.Fleet(shared, {
        onLists: () => undefined,
        onCrash: () => undefined,
        onRebooted: () => undefined,
        onRunsLost: () => undefined,
    });
    const server = servers.createUnlistedSession("s1");
    const active = registry.track(
        { id: job.id, job, cancelledAt: undefined, progress, storedStatus: undefined, storedParts: new Set() },
        0,
    )!;
    return { manager, active, server };
}

/** Applies lists without a run that is expected in them. Returns whether the run counts as lost. */
function isLost(response: platform.HttpResponse): boolean {
    const { manager, active, server } = manage(jobTesting.createJob());
    manager.inherit(active, 0, 0, { number: 1, server: server.bootId }, server);
    const lists = platform.serverCalls.decodeLeaseRenewal(response);
    assert.is(lists.kind, "lists");
    if (lists.kind === "lists") {
        manager.applyLists(server, lists, { sentAt: 1, token: 0 });
    }
    return server.runs.size === 0;
}

/** Ends of tasks of other jobs. */
function createEnds(count: number): platform.serverCalls.EndedRun[] {
    return Array.from({ length: count }, (_, i) => ({
        number: i + 1,
        task: { jobId: "00000000000000bb", occurrence: 0, step: 0, index: i },
        run: 1,
        how: jobState.RunEnd.done,
        checkpoint: "",
    }));
}

suite("a run is lost that a server omits because it has more ends than it lists at a time", () => {
    assert.not(isLost(platformTesting.createLists([], createEnds(maxListedEnds))));
});

suite("a run is lost because a row of the lists can't be read", () => {
    assert.not(isLost(platformTesting.createLists([], createEnds(1), { ended: 1 })));
    assert.not(isLost(platformTesting.createLists([], createEnds(1), { running: 1 })));
});

suite("a run that complete lists omit is never lost", () => {
    assert.ok(isLost(platformTesting.createLists([], createEnds(maxListedEnds - 1))));
    assert.ok(isLost(platformTesting.createLists([], [])));
});

suite(
    "a large job stays unfinished, as its coordinator was lost before all records of its last end were stored",
    () => {
        const job = jobTesting.createJob({ steps: [jobTesting.createStep({ taskCount: 6, gang: true })] });
        const { running, completed } = jobState.JobStatus;
        for (const parts of [undefined, { size: 4, taskCount: 6 }]) {
            const progress = jobState.createProgress(0);
            Object.assign(progress, { status: running, parts });
            const occurrence = jobState.getOrCreateOccurrence(progress, job, 0);
            for (let task = 0; task < 4; task++) {
                jobState.markDone(occurrence, task);
            }
            const { manager, active } = manage(job, progress);
            manager.completeStoredEnds(active);
            // What is stored in one record is complete.
            assert.is(active.progress.status, parts === undefined ? running : completed);
        }
    },
);

suite("a checkpoint that is too long for a record replaces the one before", () => {
    const job = jobTesting.createJob({ steps: [jobTesting.createStep({ checkpointed: true })] });
    const { manager, active, server } = manage(job);
    manager.inherit(active, 0, 0, { number: 1, server: server.bootId }, server);
    const run = [...server.runs.values()][0]!;
    for (const checkpoint of ["00000bb87a21d94b", "é".repeat(jobState.maxCheckpointSize / 2) + "x", ""]) {
        const task = { jobId: job.id, occurrence: 0, step: 0, index: 0 };
        manager.applyLists(server, {
            kind: "lists",
            clock: 1,
            bootedAt: undefined,
            running: [{ task, run: 1, checkpoint, percent: 1, usage: undefined }],
            ended: [],
            complete: true,
        }, { sentAt: 1, token: 0 });
        assert.is(run.checkpoint, "00000bb87a21d94b");
    }
});

suite.run();
