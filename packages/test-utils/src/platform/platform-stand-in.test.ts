import type * as schema from "@catkinwharf/schema";
import * as path from "node:path";
import * as undici from "undici";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as testUtils from "../index.js";

const script = path.resolve(import.meta.dirname, "../bin/platform-stand-in.js");
const handles: testUtils.ProcessHandle[] = [];

const member: testUtils.ControlledMember = {
    name: "i-001",
    role: "backend-server",
    availabilityZone: "zone-a",
    rack: "rack-zone-a-1",
    address: { host: "127.0.0.1", port: 1 },
    state: "live",
    boot: 1,
    slots: 2,
    connections: 4,
    memoryGigabytes: 16,
    accelerators: 0,
};

async function start(options: Partial<testUtils.PlatformOptions>): Promise<{ port: number; controlPort: number; }> {
    const handle = testUtils.startProcess(script, JSON.stringify({ members: [member], rebootMs: 1, ...options }));
    handles.push(handle);
    return await handle.ready as { port: number; controlPort: number; };
}

async function append(port: number, body: unknown): Promise<{ status: number; answer: schema.platform.AppendAnswer; }> {
    const url = `http://127.0.0.1:${port}/log/fleet/append`;
    const answer = await undici.request(url, { method: "POST", body: JSON.stringify(body) });
    return { status: answer.statusCode, answer: await answer.body.json() as schema.platform.AppendAnswer };
}

async function read(port: number, query: string): Promise<{ status: number; answer: schema.platform.ReadAnswer; }> {
    const answer = await undici.request(`http://127.0.0.1:${port}/log/fleet?${query}`);
    return { status: answer.statusCode, answer: await answer.body.json() as schema.platform.ReadAnswer };
}

async function isRejected(promise: Promise<unknown>): Promise<boolean> {
    return promise.then(() => false, () => true);
}

const suite = uvu.suite("platform stand-in");

suite("assigns consecutive offsets, and responds with 410 below the retained ones", async () => {
    const platform = await start({ retentionEntries: 2 });
    assert.equal((await append(platform.port, { entries: ["a", "b"] })).answer, { firstOffset: 0, nextOffset: 2 });
    assert.equal((await append(platform.port, { entries: ["c"] })).answer, { firstOffset: 2, nextOffset: 3 });
    const gone = await read(platform.port, "from=0");
    assert.equal([gone.status, gone.answer.oldestOffset, gone.answer.entries], [410, 1, []]);
    const kept = await read(platform.port, "from=1&limit=1");
    assert.equal([kept.status, kept.answer.nextOffset, kept.answer.headOffset], [200, 2, 3]);
    assert.equal(kept.answer.entries.map(entry => entry.body), ["b"]);
    const all = await testUtils.readStream(platform, "fleet");
    assert.equal(all.map(entry => entry.body), ["a", "b", "c"]);
});

suite("wakes a long poll at the next append", async () => {
    const platform = await start({});
    const polled = read(platform.port, "from=0&waitMs=20000");
    await append(platform.port, { entries: ["a"] });
    assert.is((await polled).answer.entries.length, 1);
});

suite("refuses malformed appends and appends above the rate limit", async () => {
    const platform = await start({ appendsPerSecond: 0.001 });
    assert.is((await append(platform.port, { entries: [] })).status, 400);
    assert.is((await append(platform.port, { entries: ["a"] })).status, 200);
    assert.is((await append(platform.port, { entries: ["b"] })).status, 429);
});

suite("keeps an append whose response is lost", async () => {
    const platform = await start({});
    await testUtils.setFaults(platform.controlPort, { loseAnswers: 1 });
    assert.ok(await isRejected(append(platform.port, { entries: ["a"] })));
    assert.is((await append(platform.port, { entries: ["b"] })).answer.firstOffset, 1);
});

suite("resets connections while down", async () => {
    const platform = await start({});
    await testUtils.setFaults(platform.controlPort, { down: true });
    assert.ok(await isRejected(read(platform.port, "from=0")));
    await testUtils.setFaults(platform.controlPort, { down: false });
    assert.is((await read(platform.port, "from=0")).status, 200);
});

suite("reboots once for each id", async () => {
    const platform = await start({});
    const path = "/instances/i-001/reboot";
    for (const id of ["r-1", "r-1"]) {
        await testUtils.callControl(platform.port, "POST", path, { id });
    }
    let state: schema.platform.RebootAnswer;
    do {
        state = await testUtils.callControl(platform.port, "GET", `${path}/r-1`) as schema.platform.RebootAnswer;
    }
    while (state.state === "rebooting");
    assert.equal(state, { state: "done", boot: 2 });
});

suite.after(() => testUtils.killProcesses(handles));
suite.run();
