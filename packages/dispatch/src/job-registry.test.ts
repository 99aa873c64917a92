/** Which route a tracked job gets, of those that configurations and submissions name. */
import * as jobState from "@catkinwharf/job-state";
import * as testing from "@catkinwharf/job-state/testing";
import type * as platform from "@catkinwharf/platform";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as jobRegistry from "./job-registry.js";

const suite = uvu.suite("job registry");

function createRoute(service: string): platform.operatorRecords.Route {
    return {
        name: "quotes",
        host: "queues.test",
        pathPrefix: "/quotes/",
        service,
        priority: 0,
        maxAttempts: 3,
        slackFactor: 2,
        latencyAllowance: 1000,
        timeout: 2000,
        advice: undefined,
        isPublic: false,
    };
}

function createConfiguration(version: number, service?: string): platform.operatorRecords.Configuration {
    return {
        version,
        routes: service === undefined ? [] : [createRoute(service)],
        services: [],
        organisations: [],
        maxBodyBytes: 1000,
    };
}

/** Tracks a job that was submitted under this version of the configuration. */
function track(
    registry: jobRegistry.JobRegistry,
    id: string,
    version: number,
    service: string,
): jobRegistry.ActiveJob {
    const table = new jobState.JobTable();
    const { key, value } = jobState.encodeJob(testing.createJob({
        id,
        route: { ...createRoute(service), version },
    }));
    table.applySubmission(key, value);
    return registry.track(table.entries.get(id)!, 0)!;
}

suite("of the routes in configurations and submissions, the newest counts for all jobs of the queue", () => {
    const registry = new jobRegistry.JobRegistry();
    registry.applyConfiguration(createConfiguration(4));
    const first = track(registry, "00000000000000aa", 1, "dispatch");
    assert.is(first.route?.service, "dispatch");
    const second = track(registry, "00000000000000ab", 3, "depot");
    assert.equal([first, second].map(active => active.route?.service), ["depot", "depot"]);
    const third = track(registry, "00000000000000ac", 2, "capture");
    assert.is(third.route?.service, "depot");
    registry.applyConfiguration(createConfiguration(5, "receipts"));
    const later = track(registry, "00000000000000ad", 3, "depot");
    assert.equal([first, second, third, later].map(active => active.route?.service), Array(4).fill("receipts"));
    registry.applyConfiguration(createConfiguration(6));
    assert.is(first.route?.service, "receipts");
});

suite(
    "with an organisation's committed rate in force, its jobs beyond it go after all others, by the stored records alone",
    () => {
        const organisations = [
            { name: "large", keys: [], weight: 1, limit: { cpu: 0, memory: 0, accelerators: 0 } },
            { name: "small", keys: [], weight: 1, limit: { cpu: 0, memory: 0, accelerators: 0 } },
        ];
        const jobs = Array.from({ length: 20 }, (_, i) =>
            testing.createJob({
                id: i.toString(16).padStart(16, "0"),
                organisation: i === 19 ? "small" : "large",
                submittedAt: 30_000 + i,
            }));
        const list = (order: readonly jobState.Job[], configured: typeof organisations) => {
            const registry = new jobRegistry.JobRegistry();
            const table = new jobState.JobTable();
            for (const { key, value } of order.map(jobState.encodeJob)) {
                table.applySubmission(key, value);
            }
            table.entries.forEach(entry => registry.track(entry, 30_100));
            registry.applyConfiguration({ ...createConfiguration(1, "depot"), organisations: configured });
            return registry.listCandidates(30_100).get("depot")!.map(({ active }) =>
                Number.parseInt(active.job.id, 16)
            );
        };
        // The first four of the large organisation's are within its rate.
        const expected = [0, 1, 2, 3, 19, ...Array.from({ length: 15 }, (_, i) => 4 + i)];
        assert.equal(list(jobs, organisations), expected);
        assert.equal(list([...jobs].reverse(), organisations), expected);
        assert.equal(list(jobs, []), jobs.map((_, i) => i));
    },
);

suite.run();
