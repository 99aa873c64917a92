/** End-to-end tests on real entry processes whose backend servers change their capacity while they run. */
import * as platformStandIns from "@catkinwharf/platform-stand-ins";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("changed-capacity");
const deployment = new platformStandIns.StandInDeployment([{ name: "quotes", service: "dispatch" }]);
let count = 0;

suite.after(() => deployment.stop());

async function submit(body: object): Promise<string> {
    count += 1;
    const id = count.toString(16).padStart(16, "0");
    await deployment.waitFor(`${id} is accepted`, async () => {
        return (await deployment.sendRequest(deployment.processes[0]!, "POST", `/quotes/${id}`, body))?.status === 200;
    });
    return id;
}

function countRuns(id: string): number {
    return deployment.machines.history.filter(run => run.task.startsWith(id)).length;
}

function waitForLoggedChanges(changes: number): Promise<void> {
    return deployment.waitFor(`${changes} changes of capacity were seen`, () => {
        return deployment.processes[0]!.lines.filter(line => line.includes('"event":"server-changed"')).length
            === changes;
    });
}

suite("no task starts over a capacity that has shrunk, and one does when it has grown again", async () => {
    await deployment.start(1, { dispatch: 1 });
    const machine = [...deployment.machines.machines.values()][0]!;
    const present = await submit(
        platformStandIns.createJobBody({}, { tasks: 2, cpu: 1000, longRunning: true }),
    );
    await deployment.waitFor("both tasks run", () => countRuns(present) === 2);
    deployment.machines.resize(machine, { Cpu: 2600, MemMb: 4000 });
    await waitForLoggedChanges(1);
    const large = await submit(platformStandIns.createJobBody({}, { tasks: 1, cpu: 1000, longRunning: true }));
    const small = await submit(platformStandIns.createJobBody({ duration: 20 }, { tasks: 1, cpu: 500 }));
    await deployment.waitFor("the task that fits has run", () => countRuns(small) === 1);
    assert.is(countRuns(large), 0);
    deployment.machines.resize(machine, { Cpu: 3000, MemMb: 4000 });
    await waitForLoggedChanges(2);
    await deployment.waitFor("the larger task runs", () => countRuns(large) === 1);
});

suite.run();
