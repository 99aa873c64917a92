/** End-to-end tests on real entry processes while the store refuses submissions and serves the other topics. */
import * as platformStandIns from "@catkinwharf/platform-stand-ins";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("unstored submissions");
const deployment = new platformStandIns.StandInDeployment([
    { name: "quotes", service: "dispatch" },
    { name: "certificates", service: "capture" },
]);
let count = 0;

suite.after(() => deployment.stop());

async function submit(
    node: platformStandIns.StandInDeployment["processes"][number],
    queue: string,
    tasks: number,
): Promise<number | undefined> {
    count += 1;
    const id = count.toString(16).padStart(16, "0");
    const body = platformStandIns.createJobBody({ duration: 20 }, { tasks, cpu: 1000 });
    return (await deployment.sendRequest(node, "POST", `/${queue}/${id}`, body))?.status;
}

suite("a pool gets no machines while all submissions of its queue are refused", async () => {
    await deployment.start(2, { dispatch: 2, capture: 6 });
    const { store, machines, processes } = deployment;
    await deployment.waitFor("a job is accepted", async () => await submit(processes[0]!, "certificates", 1) === 200);
    const other = processes.find(node => node !== deployment.findCoordinator())!;
    store.refusedTopics.add("keyed.submissions");
    await deployment.waitFor("a machine moves to the pool of the refused queue", async () => {
        assert.equal(
            await Promise.all(Array.from({ length: 10 }, () => submit(other, "quotes", 40))),
            Array(10).fill(503),
        );
        return [...machines.machines.values()].filter(machine => machine.pool === "dispatch").length > 2;
    });
});

suite.run();
