/**
 * End-to-end tests on real entry processes: guards against requests that are served without a valid key, and against
 * organisations that exceed their quota across coordinators.
 */
import * as platformStandIns from "@catkinwharf/platform-stand-ins";
import * as testUtils from "@catkinwharf/test-utils";
import * as timers from "node:timers/promises";
import * as undici from "undici";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("organisations");
/** In ms: time until a new configuration is in force everywhere, and until a revoked key is refused. */
const bounds = { ConfigApplyMs: 3000, RevokeMs: 5000 };
const queues = [{ name: "quotes", service: "dispatch" }, { name: "open", service: "dispatch", isPublic: true }];
const cpu = 500;
const cpuLimit = 4000;
const a = { name: "a", keys: ["key-a"], cpuLimit };
const b = { name: "b", keys: ["key-b"], cpuLimit: 0 };
const deployment = new platformStandIns.StandInDeployment(queues, {
    bounds,
    contracts: ["tenants"],
    organisations: [a, b],
});
const jobPath = "/quotes/00000000000000aa";

suite.before(() => deployment.start(3, { dispatch: 3 }));
suite.after(() => deployment.stop());

suite("a request without a valid key is served, or a public queue needs one", async () => {
    const body = platformStandIns.createJobBody({ duration: 10 });
    for (const node of deployment.processes) {
        await deployment.waitFor("the process has the configuration", async () => {
            return (await deployment.sendRequest(node, "GET", "/open/"))?.status === 200;
        });
        for (const [key, message] of [[undefined, "the request has no API key"], ["wrong", "the API key is unknown"]]) {
            for (
                const [method, target] of [["POST", jobPath], ["GET", jobPath], ["GET", "/quotes/"], [
                    "DELETE",
                    jobPath,
                ]]
            ) {
                const sent = method === "POST" ? body : undefined;
                const response = await deployment.sendRequest(node, method as "GET", target!, sent, key);
                assert.equal([response?.status, response?.scheme, response?.body.Error], [401, "Token", message]);
            }
        }
        assert.is((await deployment.sendRequest(node, "GET", "/nowhere/"))?.status, 404);
    }
    assert.is((await deployment.sendRequest(deployment.processes[0]!, "POST", jobPath, body, "key-a"))?.status, 200);
    assert.is(
        (await deployment.sendRequest(deployment.processes[1]!, "GET", jobPath, undefined, "key-a"))?.status,
        200,
    );
    assert.is(
        (await deployment.sendRequest(deployment.processes[2]!, "GET", jobPath, undefined, "key-b"))?.status,
        410,
    );
    assert.is((await deployment.sendRequest(deployment.processes[2]!, "POST", jobPath, body, "key-b"))?.status, 400);
});

suite("a revoked key goes on working on an open connection, or a new one isn't accepted", async () => {
    const clients = deployment.processes.map(({ callerPort }) =>
        new undici.Client(`http://${testUtils.loopbackHost}:${callerPort}`)
    );
    const send = async (client: undici.Client, key: string) => {
        const headers = { host: "queues.test", ...platformStandIns.createAuthorization(key) };
        const response = await client.request({ method: "GET", path: "/quotes/", headers });
        await response.body.dump();
        return response.statusCode;
    };
    let disconnects = 0;
    clients.forEach(client => client.on("disconnect", () => disconnects += 1));
    assert.equal(await Promise.all(clients.map(client => send(client, "key-a"))), [200, 200, 200]);
    deployment.publishConfiguration(queues, [{ ...a, keys: ["key-a2"] }, b]);
    const publishedAt = performance.now();
    const waitForStatus = async (client: undici.Client, key: string, status: number) => {
        while (await send(client, key) !== status) {
            await timers.setTimeout(50);
        }
        return performance.now() - publishedAt;
    };
    const accepted = await Promise.all(clients.map(client => waitForStatus(client, "key-a2", 200)));
    const refused = await Promise.all(clients.map(client => waitForStatus(client, "key-a", 401)));
    assert.ok(Math.max(...accepted) <= bounds.ConfigApplyMs, `accepted after ${accepted.join()} ms`);
    assert.ok(Math.max(...refused) <= bounds.RevokeMs, `refused after ${refused.join()} ms`);
    assert.is(disconnects, 0);
    await Promise.all(clients.map(client => client.close()));
    deployment.publishConfiguration(queues, [a, b]);
});

suite("an organisation exceeds its quota as the coordinator is killed in the middle of a burst", async () => {
    const jobs = Array.from({ length: 16 }, (_, i) => (0xb00 + i).toString(16).padStart(16, "0"));
    const body = platformStandIns.createJobBody({ duration: 700 }, { tasks: 4, cpu });
    const lost = deployment.findCoordinator()!;
    const others = deployment.processes.filter(node => node !== lost);
    await deployment.waitFor("the key is in force again", async () => {
        const responses = await Promise.all(
            others.map(node => deployment.sendRequest(node, "GET", "/quotes/", undefined, "key-a")),
        );
        return responses.every(response => response?.status === 200);
    });
    const responses = await Promise.all(
        jobs.map((id, i) => deployment.sendRequest(others[i % 2]!, "POST", `/quotes/${id}`, body, "key-a")),
    );
    assert.equal(responses.map(response => response?.status), jobs.map(() => 200));
    const isOfBurst = (task: string) => jobs.includes(task.slice(0, task.indexOf(".")));
    const countRuns = () => deployment.machines.history.filter(({ task }) => isOfBurst(task)).length;
    await deployment.waitFor("tasks of the burst run", () => countRuns() >= 12);
    await deployment.kill(lost);
    await deployment.waitFor("all tasks are done", () => {
        const done = deployment.machines.history.filter(({ task, how }) => isOfBurst(task) && how === "done");
        return new Set(done.map(({ task }) => task)).size === 4 * jobs.length;
    });
    const findDemand = (task: string) => isOfBurst(task) ? { organisation: "a", cpu } : undefined;
    const { history } = deployment.machines;
    assert.equal(platformStandIns.findQuotaExcesses(history, findDemand, () => cpuLimit), []);
    // The judge sees one where there is one, and the quota was used.
    assert.ok(platformStandIns.findQuotaExcesses(history, findDemand, () => cpuLimit / 2).length > 0);
    assert.equal(deployment.findDuplicateRuns(), []);
});

suite("a key appears in a log line", () => {
    const lines = deployment.processes.flatMap(node => node.lines);
    assert.ok(lines.some(line => line.includes("configuration-in-force")));
    assert.equal(lines.filter(line => /key-[ab]/.test(line)), []);
});

suite.run();
