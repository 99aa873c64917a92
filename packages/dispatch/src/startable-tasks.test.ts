/** Guards against jobs that are refused as the coordinator seems slow, while tasks wait for their quota or for servers. */
import * as jobState from "@catkinwharf/job-state";
import * as jobTesting from "@catkinwharf/job-state/testing";
import * as scheduling from "@catkinwharf/scheduling";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as startableTasks from "./startable-tasks.js";

const suite = uvu.suite("startable tasks");
const route = {
    version: 1,
    service: "dispatch",
    priority: 0,
    maxAttempts: 1,
    slackFactor: 1,
    latencyAllowance: 0,
    advice: undefined,
};

function count(organisations: readonly string[], freeCpu: number): number {
    const limits = new Map([["a", { cpu: 10_000, memory: 0, accelerators: 0 }]]);
    const jobs = organisations.map(organisation => ({
        job: jobTesting.createJob({ organisation, steps: [jobTesting.createStep({ taskCount: 20 })] }),
        readiness: {
            steps: [{ occurrence: 0, step: 0, tasks: new jobState.IndexRanges([[0, 20]]), alone: false }],
            nextDue: undefined,
        },
        route,
    }));
    const servers = new Map([["dispatch", [{ load: { acceptsTasks: true, freeCpu } as scheduling.ServerLoad }]]]);
    return startableTasks.countStartableTasks(jobs, servers, new scheduling.QuotaUsage(limits));
}

suite("tasks beyond their organisation's quota count as waiting for the coordinator", () => {
    assert.is(count(["a", "a", "b"], 1_000_000), 30);
});

suite("tasks that no server has room for count as waiting for the coordinator", () => {
    assert.is(count(["b"], 1_000_000), 20);
    assert.is(count(["b"], 5000), 5);
});

suite.run();
