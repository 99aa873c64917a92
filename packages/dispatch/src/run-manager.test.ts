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
};

/** Applies lists without a run that is expected in them. Returns whether the run counts as lost. */
function isLost(response: platform.HttpResponse): boolean {
    const calls = new httpCalls.HttpClient();
    const send = () => Promise.resolve(neverthrow.ok(platformTesting.createDoneResponse()));
    const routes = new storeClient.StoreRoutes("store:1");
    const store = new storeClient.StoreClient({ send }, routes, eventLog.silentEventLog, () => 0);
    const shared = testing.createContext(calls, store, () => 0);
    const registry = new jobRegistry.JobRegistry();
    registry.applyConfiguration({ version: 1, routes: [route], services: [], maxBodyBytes: 1 });
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
    const job = jobTesting.createJob();
    const active = registry.track(
        {
            id: job.id,
            job,
            cancelledAt: undefined,
            progress: undefined,
            storedStatus: undefined,
            storedParts: new Set(),
        },
        0,
    )!;
    manager.inherit(active, 0, 0, { number: 1, server: server.bootId }, server);
    const lists = platform.serverCalls.decodeLeaseRenewal(response);
    assert.is(lists.kind, "lists");
    if (lists.kind === "lists") {
        manager.applyLists(server, lists, 1);
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

suite.run();
