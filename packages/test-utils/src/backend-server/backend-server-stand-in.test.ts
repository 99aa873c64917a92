import * as path from "node:path";
import * as undici from "undici";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as testUtils from "../index.js";

const script = path.resolve(import.meta.dirname, "../bin/backend-server-stand-in.js");
const options: testUtils.BackendServerOptions = {
    instance: "i-001",
    slots: 1,
    connections: 8,
    meanServiceMs: 1,
    seed: 1,
};
const handles: testUtils.ProcessHandle[] = [];

async function start(): Promise<{ port: number; controlPort: number; }> {
    const handle = testUtils.startProcess(script, JSON.stringify(options));
    handles.push(handle);
    return await handle.ready as { port: number; controlPort: number; };
}

function send(port: number, requestId: string, headers: Record<string, string> = {}) {
    return undici.request(`http://127.0.0.1:${port}/orders`, {
        method: "POST",
        headers: { "catkinwharf-request-id": requestId, "idempotency-key": `key-${requestId}`, ...headers },
        body: "abc",
    });
}

async function waitForExecutions(controlPort: number, count: number): Promise<testUtils.Execution[]> {
    for (;;) {
        const executions = await testUtils.readExecutions({ controlPort });
        if (executions.length >= count) {
            return executions;
        }
    }
}

const suite = uvu.suite("backend server stand-in");

suite("answers, echoes the request id and records the execution", async () => {
    const server = await start();
    const answer = await send(server.port, "r-1");
    assert.is(answer.headers["catkinwharf-request-id"], "r-1");
    const body = { instance: "i-001", requestId: "r-1", method: "POST", path: "/orders", bodyBytes: 3, key: "key-r-1" };
    assert.equal(await answer.body.json(), body);
    const [execution] = await testUtils.readExecutions(server);
    assert.equal([execution?.requestId, execution?.status, execution?.cut], ["r-1", 200, false]);
});

suite("refuses requests while no slot is free, without running them", async () => {
    const server = await start();
    const slow = send(server.port, "r-1", { "stand-in-service-ms": "60000" });
    slow.catch(() => {});
    await waitForExecutions(server.controlPort, 1);
    const refused = await send(server.port, "r-2");
    assert.equal([refused.statusCode, refused.headers["catkinwharf-refused"]], [503, "slots"]);
    await refused.body.dump();
    assert.is((await testUtils.readExecutions(server)).length, 1);
});

suite("a reboot kills running executions, and the server listens on the same port again", async () => {
    const server = await start();
    const slow = send(server.port, "r-1", { "stand-in-service-ms": "60000" });
    const failed = slow.then(() => false, () => true);
    await waitForExecutions(server.controlPort, 1);
    await testUtils.callControl(server.controlPort, "POST", "/reboot", { downMs: 1 });
    assert.ok(await failed);
    const [execution] = await testUtils.readExecutions(server);
    assert.equal([execution?.cut, execution?.killed], [true, true]);
    assert.is((await send(server.port, "r-2")).statusCode, 200);
});

suite("truncates responses, sends wrong request IDs and fails on demand", async () => {
    const server = await start();
    await testUtils.setFaults(server.controlPort, { cutMidAnswer: true });
    const cut = await send(server.port, "r-1").then(answer => answer.body.text()).then(() => false, () => true);
    assert.ok(cut);
    await testUtils.setFaults(server.controlPort, { cutMidAnswer: false, wrongRequestId: true });
    const mixed = await send(server.port, "r-2", { "stand-in-fail": "always" });
    assert.equal([mixed.statusCode, mixed.headers["catkinwharf-request-id"]], [500, "not-r-2"]);
});

suite.after(() => testUtils.killProcesses(handles));
suite.run();
