/** What the operator is told about organisations that wait. */
import type * as eventLog from "@catkinwharf/event-log";
import * as jobState from "@catkinwharf/job-state";
import * as testing from "@catkinwharf/job-state/testing";
import type * as platform from "@catkinwharf/platform";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as jobRegistry from "./job-registry.js";
import * as organisationMonitor from "./organisation-monitor.js";
import type * as session from "./server-session.js";

const suite = uvu.suite("organisation monitor");

/** States that are reported for 10 jobs of one core, two cores of quota, and one run on a server of 10 cores. */
function report(organisations: platform.operatorRecords.Organisation[]): organisationMonitor.OrganisationState[][] {
    const configuration: platform.operatorRecords.Configuration = {
        version: 1,
        routes: [{
            name: "quotes",
            host: "",
            pathPrefix: "/",
            service: "dispatch",
            priority: 0,
            maxAttempts: 3,
            slackFactor: 2,
            latencyAllowance: 1000,
            timeout: 3000,
            advice: undefined,
            isPublic: false,
        }],
        services: [],
        organisations,
        maxBodyBytes: 1,
    };
    const registry = new jobRegistry.JobRegistry();
    registry.applyConfiguration(configuration);
    const table = new jobState.JobTable();
    for (let i = 0; i < 10; i++) {
        const id = i.toString(16).padStart(16, "0");
        const job = testing.createJob({ id, organisation: "large", submittedAt: 30_000 + i });
        const { key, value } = jobState.encodeJob(job);
        table.applySubmission(key, value);
    }
    table.entries.forEach(entry => registry.track(entry, 30_100));
    const running = testing.createJob({ id: "00000000000000ff", organisation: "large" });
    const server = {
        entry: { service: "dispatch", cpu: 10_000, memory: 1000, accelerators: 0 },
        runs: new Map([["run", { entry: { job: running }, step: running.steps[0] }]]),
    } as unknown as session.ServerSession;
    let now = 0;
    const reported: organisationMonitor.OrganisationState[][] = [];
    const lines: eventLog.Fields[] = [];
    const monitor = new organisationMonitor.OrganisationMonitor({
        registry,
        sessions: new Map([["s1", server]]),
        configuration: () => configuration,
        hasSpareMachines: () => false,
        clock: { monotonic: () => now, wall: () => 30_100 },
        log: { counts: new Map(), warn: () => undefined, info: (_event, fields) => lines.push(fields) },
        observe: states => reported.push([...states]),
    });
    for (; now <= 2500; now += 100) {
        registry.listCandidates(30_100);
        monitor.report();
    }
    assert.is(lines.length, reported.flat().length);
    return reported;
}

suite("once a second the operator is told why an organisation's tasks wait", () => {
    const limit = { cpu: 2000, memory: 0, accelerators: 0 };
    const reported = report([{ name: "large", keys: [], weight: 2, limit }]);
    assert.is(reported.length, 2);
    assert.equal(reported[0], [{
        organisation: "large",
        service: "dispatch",
        waitingTasks: 10,
        runningTasks: 1,
        beyondRateTasks: 6,
        overQuotaTasks: 9,
        lateTasks: 0,
        oldest: 100,
        usage: { cpu: 1000, memory: 100, accelerators: 0 },
        quota: limit,
        weight: 2,
        share: 0.05,
    }]);
});

suite("without organisations nothing is reported", () => {
    assert.equal(report([]).flat(), []);
});

suite.run();
