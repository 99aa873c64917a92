/** End-to-end test on real entry processes that receive submissions with odd numbers. */
import * as platformStandIns from "@catkinwharf/platform-stand-ins";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("odd submissions");
const deployment = new platformStandIns.StandInDeployment([{ name: "quotes", service: "dispatch" }]);
const nested = `${"[".repeat(4000)}${"]".repeat(4000)}`;

suite.after(() => deployment.stop());

function describeJob(count: string, cpu: string, dependsOn: string): string {
    const spec = JSON.stringify(JSON.stringify({ duration: 20 }));
    const first = '{"Count":1,"Cpu":500,"MemMb":10,"EstimateMs":100}';
    return `{"Spec":${spec},"Steps":[${first},{"Count":${count},"Cpu":${cpu},"MemMb":10,"DependsOn":[${dependsOn}]}]}`;
}

const odd = [
    describeJob("1", "500", nested),
    describeJob("1", "500", '{"valueOf":1,"toString":1}'),
    describeJob("1", "1e400", "0"),
    describeJob("1", "-500", "0"),
    describeJob("1e9", "500", "0"),
    describeJob("1e300", "500", "0"),
];

suite("a submission with odd numbers is accepted and ends the processes that read it", async () => {
    await deployment.start(2, { dispatch: 1 });
    const [node] = deployment.processes;
    await deployment.waitFor("the process is ready", async () => {
        return (await deployment.sendRequest(node!, "GET", "/quotes/"))?.status === 200;
    });
    for (const [i, body] of odd.entries()) {
        const response = await deployment.sendRequest(node!, "POST", `/quotes/${`${i}`.padStart(16, "0")}`, body);
        assert.is(response?.status, 400, body.slice(0, 200));
    }
    const jobPath = "/quotes/00000000000000ff";
    assert.is((await deployment.sendRequest(node!, "POST", jobPath, describeJob("2", "500", "0")))?.status, 200);
    await deployment.waitFor("the job is completed", async () => {
        return (await deployment.sendRequest(node!, "GET", jobPath))?.body.State === "completed";
    });
    for (const { child } of deployment.processes) {
        assert.is(child?.exitCode ?? undefined, undefined);
    }
});

suite.run();
