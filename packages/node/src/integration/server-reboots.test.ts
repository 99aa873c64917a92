/** Guards against ends of runs that are lost, and tasks that run twice, when a backend server restarts under its ID. */
import * as platformStandIns from "@catkinwharf/platform-stand-ins";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("server reboots");
let deployment: platformStandIns.StandInDeployment;
let count = 0;

suite.before.each(async () => {
    deployment = new platformStandIns.StandInDeployment([{ name: "quotes", service: "dispatch" }]);
    await deployment.start(1, { dispatch: 1 });
});
suite.after.each(() => deployment.stop());

async function submit(duration: number, tasks: number): Promise<string> {
    count += 1;
    const jobPath = `/quotes/${count.toString(16).padStart(16, "0")}`;
    const body = platformStandIns.createJobBody({ duration }, { tasks });
    await deployment.waitFor(`${jobPath} is accepted`, async () => {
        return (await deployment.sendRequest(deployment.processes[0]!, "POST", jobPath, body))?.status === 200;
    });
    return jobPath;
}

function waitForCompletion(jobPath: string): Promise<void> {
    return deployment.waitFor(`${jobPath} is completed`, async () => {
        return (await deployment.sendRequest(deployment.processes[0]!, "GET", jobPath))?.body.State === "completed";
    });
}

function waitForReboot(): Promise<void> {
    return deployment.waitFor("the coordinator has seen the reboot", () => {
        return deployment.processes[0]!.lines.some(line => line.includes('"event":"server-rebooted"'));
    });
}

suite("a task runs twice after a reboot because an end of the boot before was stored late", async () => {
    const machine = [...deployment.machines.machines.values()][0]!;
    const { history } = deployment.machines;
    await waitForCompletion(await submit(20, 8));
    await submit(300, 1);
    await deployment.waitFor("the task runs", () => history.length === 9);
    deployment.store.delay = 800; // In ms: the reboot is noticed before the task's end is stored.
    await deployment.waitFor("the task is done", () => history[8]!.how === "done");
    await new Promise(resolve => setTimeout(resolve, 50)); // The coordinator has read the end by then.
    deployment.machines.reboot(machine);
    await waitForReboot();
    deployment.store.delay = 0;
    await waitForCompletion(await submit(200, 8)); // The first end answers a renewal; the others come before the next.
    assert.equal(deployment.findDuplicateRuns(), []);
    assert.equal(machine.server!.prematureAcknowledgements, []);
});

suite("the first renewal after a reboot acknowledges ends of the boot before", async () => {
    const machine = [...deployment.machines.machines.values()][0]!;
    await waitForCompletion(await submit(20, 8));
    await deployment.waitFor("all ends are acknowledged", () => machine.server!.unacknowledgedEndCount === 0);
    deployment.machines.reboot(machine);
    await waitForReboot();
    assert.equal(machine.server!.prematureAcknowledgements, []);
});

suite.run();
