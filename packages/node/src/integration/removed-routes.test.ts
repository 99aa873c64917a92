/** Guards against jobs that a coordinator doesn't track because their route was removed before it started. */
import * as jobState from "@catkinwharf/job-state";
import * as testing from "@catkinwharf/job-state/testing";
import * as platformStandIns from "@catkinwharf/platform-stand-ins";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("removed routes");
const keptQueue = { name: "receipts", service: "dispatch" };
const jobId = "00000000000000aa";
let deployment: platformStandIns.StandInDeployment;

suite.before.each(async () => {
    deployment = new platformStandIns.StandInDeployment([{ name: "quotes", service: "dispatch" }, keptQueue]);
    await deployment.start(1, { dispatch: 1 });
});
suite.after.each(() => deployment.stop());

/** Stores a job of `quotes` as versions did that stored no terms of the route; `duration` is in ms. */
function storeEarlierRecord(duration: number): void {
    const job = testing.createJob({
        id: jobId,
        queue: "quotes",
        payload: JSON.stringify({ duration }),
        submittedAt: Date.now(),
    });
    const { key, value } = jobState.encodeJob(job);
    deployment.store.put(jobState.submissionsTopic, key, value);
}

function waitForRuns(count: number): Promise<void> {
    return deployment.waitFor(`${count} runs were started`, () => deployment.machines.history.length >= count);
}

function waitForEnds(): Promise<void> {
    return deployment.waitFor("no run is left", () => deployment.machines.history.every(run => run.how !== undefined));
}

async function removeRoute(): Promise<void> {
    deployment.publishConfiguration([keptQueue]);
    await deployment.waitFor("the route is removed", async () => {
        return (await deployment.sendRequest(deployment.processes[0]!, "GET", "/quotes/"))?.status === 404;
    });
}

/** Kills the process if it runs, starts it anew, and waits until it coordinates. */
async function restart(): Promise<void> {
    const node = deployment.processes[0]!;
    await deployment.kill(node);
    node.lines = [];
    deployment.launch(node);
    await deployment.waitFor("the process coordinates again", () => deployment.findCoordinator() !== undefined);
}

/** Publishes the route again; the next coordinator then knows it from the beginning. */
async function restoreRoute(): Promise<void> {
    deployment.publishConfiguration();
    await restart();
    await deployment.waitFor("the job is completed", async () => {
        const answer = await deployment.sendRequest(deployment.processes[0]!, "GET", `/quotes/${jobId}`);
        return answer?.body.State === "completed";
    });
}

suite("a run is stopped as unknown by a coordinator that started after its route was removed", async () => {
    storeEarlierRecord(4000);
    await waitForRuns(1);
    await removeRoute();
    await restart();
    await waitForEnds();
    await restoreRoute();
    assert.equal(deployment.machines.history.map(run => run.how), ["done"]);
});

suite("a task runs twice because its end was acknowledged while its route was removed", async () => {
    storeEarlierRecord(1000);
    await waitForRuns(1);
    await removeRoute();
    await deployment.kill(deployment.processes[0]!);
    await waitForEnds();
    await restart();
    const { server } = [...deployment.machines.machines.values()][0]!;
    await deployment.waitFor("the end is acknowledged", () => server!.unacknowledgedEndCount === 0);
    await restoreRoute();
    assert.equal(deployment.findDuplicateRuns(), []);
});

suite("a job never ends because the next coordinator doesn't know where its tasks run", async () => {
    const node = deployment.processes[0]!;
    const body = platformStandIns.createJobBody({ duration: 1000 }, { tasks: 2 }, { tasks: 2, dependsOn: [0] });
    assert.is((await deployment.sendRequest(node, "POST", `/quotes/${jobId}`, body))?.status, 200);
    await waitForRuns(2);
    await removeRoute();
    await restart();
    await deployment.waitFor("the job is settled", () => node.lines.some(line => line.includes('"job-settled"')));
    await restoreRoute();
    assert.equal(deployment.machines.history.map(run => run.how), ["done", "done", "done", "done"]);
});

suite.run();
