/** End-to-end test on real processes that answer callers while they still read what is stored, over slow links. */
import * as platformStandIns from "@catkinwharf/platform-stand-ins";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as slowRestart from "./slow-restart.js";

const suite = uvu.suite("answers while reading");
const restarted = new slowRestart.SlowRestart(2);
const { deployment } = restarted;
/** Jobs whose records a small process takes twenty seconds to read over a link of this bandwidth, in bytes per second. */
const storedJobs = 3000;
const bandwidth = 250_000;
const jobPaths = ["1", "2", "3", "4", "5", "6"].map(digit => `/quotes/${digit.padStart(16, "0")}`);
const cancelled = jobPaths[0]!;

/** Time in ms within which a caller gets an answer; it asks again after a refusal. */
const callerTimeout = 3000;

async function ask(
    node: platformStandIns.EntryProcess,
    method: "GET" | "DELETE",
    path: string,
): Promise<platformStandIns.CallerResponse | undefined> {
    const until = performance.now() + callerTimeout;
    for (;;) {
        const response = await deployment.sendRequest(node, method, path);
        if (response?.status !== 503 || performance.now() > until) {
            return response;
        }
        await new Promise(resolve => setTimeout(resolve, 100));
    }
}

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
    for (const path of jobPaths) {
        await deployment.waitFor(`${path} is ${path === cancelled ? "running" : "completed"}`, async () => {
            const state = (await deployment.sendRequest(large, "GET", path))?.body.State;
            return state === (path === cancelled ? "running" : "completed");
        });
    }
    await restarted.kill();
    restarted.storeCompleted(storedJobs);
    restarted.launch(bandwidth);
    await deployment.waitFor("the large process has read the jobs", () => deployment.isReady(large));
    for (const node of small) {
        await deployment.waitFor("a small process knows the queues", async () => {
            return (await deployment.sendRequest(node, "GET", "/none/"))?.status === 404;
        });
        const states = await Promise.all(jobPaths.map(async path => (await ask(node, "GET", path))?.body.State));
        assert.equal(states.slice(1), Array(jobPaths.length - 1).fill("completed"));
        assert.ok(states[0] === "running" || states[0] === "cancelled");
        assert.is((await ask(node, "GET", "/quotes/00000000000000ff"))?.status, 410);
        assert.is((await ask(node, "DELETE", "/quotes/00000000000000ff"))?.status, 410);
        assert.is((await ask(node, "GET", "/quotes/"))?.body.Pending, 0);
        assert.is((await ask(node, "DELETE", cancelled))?.status, 200);
        assert.is((await deployment.sendRequest(large, "DELETE", cancelled))?.status, 200);
        assert.is(restarted.hasRead(node), false);
    }
    await deployment.waitFor("the job is cancelled", async () => {
        return (await deployment.sendRequest(large, "GET", cancelled))?.body.State === "cancelled";
    });
});

suite.run();
