/** End-to-end test on real processes that answer callers while they still read what is stored, over slow links. */
import * as platformStandIns from "@catkinwharf/platform-stand-ins";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as slowRestart from "./slow-restart.js";

const suite = uvu.suite("answers while reading");
const restarted = new slowRestart.SlowRestart(2);
const { deployment } = restarted;
/** Jobs whose records a small process takes ten seconds to read over a link of this bandwidth, in bytes per second. */
const storedJobs = 3000;
const bandwidth = 500_000;
const jobPaths = ["1", "2", "3", "4", "5", "6"].map(digit => `/quotes/${digit.padStart(16, "0")}`);
const [cancelled] = jobPaths;

suite.after(() => restarted.stop());

suite("a process that is still reading lets a caller's time run out instead of answering about a job", async () => {
    await restarted.start();
    const { large, small } = restarted;
    const body = platformStandIns.createJobBody({ duration: 50 });
    const lasting = platformStandIns.createJobBody({}, { longRunning: true });
    for (const path of jobPaths) {
        await deployment.waitFor(`${path} is accepted`, async () => {
            return (await deployment.sendRequest(large, "POST", path, path === cancelled ? lasting : body))?.status
                === 200;
        });
    }
    await restarted.kill();
    restarted.storeCompleted(storedJobs);
    restarted.launch(bandwidth);
    await deployment.waitFor("the large process has read the jobs", async () => {
        return (await deployment.sendRequest(large, "GET", jobPaths.at(-1)!))?.status === 200;
    });
    for (const node of small) {
        const send = (method: "GET" | "DELETE", path: string) => deployment.sendRequest(node, method, path);
        const states = await Promise.all(jobPaths.map(async path => (await send("GET", path))?.body.State));
        assert.equal(states.filter(state => state === undefined || state === "queued"), []);
        assert.is((await send("GET", "/quotes/00000000000000ff"))?.status, 410);
        assert.is((await send("DELETE", "/quotes/00000000000000ff"))?.status, 410);
        assert.is((await send("GET", "/quotes/"))?.body.Pending, 0);
        assert.is((await send("DELETE", cancelled!))?.status, 200);
        assert.is((await deployment.sendRequest(large, "DELETE", cancelled!))?.status, 200);
        assert.is(restarted.hasRead(node), false);
    }
    await deployment.waitFor("the job is cancelled", async () => {
        return (await deployment.sendRequest(large, "GET", cancelled!))?.body.State === "cancelled";
    });
});

suite.run();
