/** End-to-end tests on real entry processes: what a new coordinator knows of the demand. */
import * as platformStandIns from "@catkinwharf/platform-stand-ins";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("demand after a takeover");
const deployment = new platformStandIns.StandInDeployment([{ name: "quotes", service: "dispatch" }]);
let count = 0;

suite.after(() => deployment.stop());

function submit(step: platformStandIns.StepDescription): Promise<platformStandIns.CallerResponse | undefined> {
    count += 1;
    const path = `/quotes/${count.toString(16).padStart(16, "0")}`;
    const body = platformStandIns.createJobBody({ duration: 20 }, step);
    return deployment.sendRequest(deployment.findCoordinator()!, "POST", path, body);
}

/** Demand in cores in the `pool` lines of the present coordinator. */
function listDemands(): number[] {
    return (deployment.findCoordinator()?.lines ?? [])
        .filter(line => line.includes('"event":"pool"') && line.includes('"service":"dispatch"'))
        .map(line => (JSON.parse(line) as { demand: number; }).demand);
}

suite("a new coordinator takes the arrivals before its takeover for none", async () => {
    await deployment.start(2, { dispatch: 4 });
    assert.is((await submit({ tasks: 1, longRunning: true }))?.status, 200);
    const responses = await Promise.all(Array.from({ length: 60 }, () => submit({ tasks: 40, cpu: 1000 })));
    assert.ok(responses.every(response => response?.status === 200));
    const lost = deployment.findCoordinator()!;
    await deployment.waitFor("the demand is measured", () => listDemands().some(demand => demand > 0));
    await deployment.kill(lost);
    await deployment.waitFor("the successor plans the pools", () => {
        return deployment.findCoordinator() !== undefined && listDemands().length > 0;
    });
    assert.ok(listDemands()[0]! > 0, `demand ${listDemands()[0]}`);
});

suite.run();
