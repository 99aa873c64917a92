/** Guards against callers who are shown what isn't stored, and that the next coordinator therefore doesn't know. */
import * as platformStandIns from "@catkinwharf/platform-stand-ins";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("unstored progress");
const deployment = new platformStandIns.StandInDeployment([{ name: "quotes", service: "dispatch" }]);
const jobPath = "/quotes/00000000000000aa";

suite.after(() => deployment.stop());

async function findState(): Promise<string | undefined> {
    return (await deployment.sendRequest(deployment.processes[0]!, "GET", jobPath))?.body.State;
}

suite("a job is shown as completed before that is stored, and runs again under the next coordinator", async () => {
    await deployment.start(1, { dispatch: 1 });
    const node = deployment.processes[0]!;
    const { history, machines } = deployment.machines;
    const body = platformStandIns.createJobBody({ duration: 1500 }, { tasks: 1 });
    assert.is((await deployment.sendRequest(node, "POST", jobPath, body))?.status, 200);
    await deployment.waitFor("the job is running", async () => await findState() === "running");
    deployment.store.mode = platformStandIns.StoreMode.busy;
    await deployment.waitFor("the job is settled", () => node.lines.some(line => line.includes('"job-settled"')));
    const shown = await findState();
    await deployment.kill(node);
    deployment.machines.reboot([...machines.values()][0]!); // It no longer lists the end of the task.
    deployment.store.mode = platformStandIns.StoreMode.up;
    deployment.launch(node);
    await deployment.waitFor("the job is completed", async () => await findState() === "completed");
    assert.is(history.length, 2);
    assert.is(shown, "running");
});

suite.run();
