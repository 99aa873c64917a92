/** End-to-end tests on real entry processes whose machines differ in processor time and bandwidth. */
import * as platformStandIns from "@catkinwharf/platform-stand-ins";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("succession");
const deployment = new platformStandIns.StandInDeployment([{ name: "quotes", service: "dispatch" }]);
const largeCount = 2;
const large = { cores: 1.2, linkRate: 100 };
const small = { cores: 0.3, linkRate: 5 };

suite.after(() => deployment.stop());

suite("a small process takes over from a lost coordinator although a large one is running", async () => {
    await deployment.start(7, { dispatch: 1 }, index => index < largeCount ? large : small);
    const largeNames = deployment.processes.slice(0, largeCount).map(node => node.name);
    for (let i = 0; i < 4; i++) {
        const lost = deployment.findCoordinator()!;
        await deployment.kill(lost);
        await deployment.waitFor("another process coordinates", () => deployment.findCoordinator() !== undefined);
        const successor = deployment.findCoordinator()!;
        assert.ok(largeNames.includes(successor.name), `${successor.name} succeeded ${lost.name}`);
        deployment.launch(lost);
        await deployment.waitFor("the lost process is ready", async () => {
            return (await deployment.sendRequest(lost, "GET", "/quotes/"))?.status === 200;
        });
    }
});

suite.run();
