/**
 * The commands that explain a placement, against real entry processes: guards against explanations that contradict what
 * the coordinator does, that change something, or that are given by a process that can't know.
 */
import * as platformStandIns from "@catkinwharf/platform-stand-ins";
import * as testUtils from "@catkinwharf/test-utils";
import type * as types from "@catkinwharf/types";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as timers from "node:timers/promises";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as harness from "./testing/harness.js";

const suite = uvu.suite("explain placement");
const a = { name: "a", keys: ["key-a"], cpuLimit: 1000 };
const b = { name: "b", keys: ["key-b"], cpuLimit: 0 };
const deployment = new platformStandIns.StandInDeployment(
    [{ name: "quotes", service: "dispatch" }, { name: "open", service: "dispatch", isPublic: true }],
    { contracts: ["tenants"], organisations: [a, b] },
);
const folder = fs.mkdtempSync(path.join(os.tmpdir(), "catkinwharf-explain-"));

suite.before(() => deployment.start(2, { dispatch: 1 }));
suite.after(async () => {
    await deployment.stop();
    fs.rmSync(folder, { recursive: true, force: true });
});

function writeBody(body: object | string): string {
    const file = path.join(folder, "body.json");
    fs.writeFileSync(file, typeof body === "string" ? body : JSON.stringify(body));
    return file;
}

function run(node: platformStandIns.EntryProcess, ...args: readonly string[]): Promise<harness.RunResult> {
    const address = `${testUtils.loopbackHost}:${node.relayPort}`;
    return harness.runCommandLine("", ["explain", ...args, "--process", address]);
}

/** Runs the command through each process, which have to agree; returns the exit code and the document. */
async function explain(...args: readonly string[]): Promise<[number, types.PlacementExplanation]> {
    const results = await Promise.all(deployment.processes.map(node => run(node, ...args, "--json")));
    assert.equal(results.map(({ errors }) => errors), ["", ""]);
    assert.is(results[0]!.code, results[1]!.code);
    const documents = results.map(({ output }) => JSON.parse(output) as types.PlacementExplanation);
    assert.is(documents[0]!.verdict, documents[1]!.verdict);
    return [results[0]!.code, documents[0]!];
}

const submission = ["submission", "queues.test"];
const holder = "00000000000000a1";
const waiting = "00000000000000a2";
const body = (cpu: number, tasks = 1) => platformStandIns.createJobBody({ duration: 60_000 }, { cpu, tasks });

suite("a submission that would start is said to wait, or it is sent", async () => {
    const file = writeBody(body(500, 2));
    for (const node of deployment.processes) {
        await deployment.waitFor("the server accepts tasks, as the process knows", async () => {
            return (await run(node, ...submission, "/quotes/", file, "--organisation", "b")).code === 0;
        });
    }
    const [code, { verdict, organisation, steps, service }] = await explain(
        ...submission,
        "/quotes/",
        file,
        "--organisation",
        "b",
    );
    assert.equal([code, verdict, service, organisation?.name], [0, "starts", "dispatch", "b"]);
    assert.equal([steps[0]!.placements.length, steps[0]!.predictedStart, steps[0]!.stepsBefore], [2, 0, 0]);
    await timers.setTimeout(500); // Longer than a sent job needs to start.
    assert.equal(deployment.machines.history, []);
});

suite("a refusal isn't the one that the caller would get", async () => {
    const file = writeBody(body(500));
    const [code, { verdict, refusal }] = await explain(...submission, "/quotes/", file);
    assert.equal([code, verdict, refusal?.status, refusal?.reason], [1, "refused", 401, "the request has no API key"]);
    assert.is((await explain(...submission, "/nowhere/", file))[1].refusal?.status, 404);
    assert.is((await explain(...submission, "/open/", writeBody("no job")))[1].refusal?.status, 400);
    assert.is((await explain(...submission, "/open/", writeBody("x".repeat(20_000))))[1].refusal?.status, 413);
});

suite("a job that its quota or the lack of room holds back is said to start, or not why it waits", async () => {
    const node = deployment.processes[0]!;
    for (const id of [holder, waiting]) {
        await deployment.waitFor(`${id} is accepted`, async () => {
            return (await deployment.sendRequest(node, "POST", `/quotes/${id}`, body(900), "key-a"))?.status === 200;
        });
        if (id === holder) {
            await deployment.waitFor("the first job runs", () => deployment.machines.history.length === 1);
        }
    }
    const [runningCode, running] = await explain("job", holder);
    assert.equal([runningCode, running.verdict], [0, "running"]);
    assert.is(running.steps[0]!.runningOn.length, 1);
    const [code, { verdict, organisation, steps }] = await explain("job", waiting);
    assert.equal([code, verdict, steps[0]!.blocker], [1, "waits", "quota"]);
    assert.equal([organisation?.usage.cpu, organisation?.quota.cpu], [900, 1000]);
    const [largeCode, large] = await explain(...submission, "/open/", writeBody(body(1_000_000)));
    assert.equal([largeCode, large.steps[0]!.blocker, large.steps[0]!.servers[0]!.lacks], [
        1,
        "servers",
        ["processor"],
    ]);
    const { output } = await run(node, "job", waiting);
    assert.match(output, `job ${waiting} waits (status queued)`);
    assert.match(output, "quota in use: cpu 900 of 1000");
    assert.is(deployment.machines.history.length, 1);
});

suite("an unknown job, organisation or address, or a usage error, doesn't end with status 2", async () => {
    const node = deployment.processes[0]!;
    const unknown = await run(node, "job", "00000000000000ff");
    assert.is(unknown.code, 2);
    assert.match(unknown.errors, "no job 00000000000000ff is known");
    const file = writeBody(body(500));
    assert.is((await run(node, ...submission, "/quotes/", file, "--organisation", "c")).code, 2);
    assert.is((await run(node, ...submission, "/open/", file, "--organisation", "a")).code, 2);
    assert.is((await run(node, ...submission, "/open/", path.join(folder, "none.json"))).code, 2);
    assert.is((await harness.runCommandLine("", ["explain", "job", holder])).code, 2);
    for (const address of ["127.0.0.1", "127.0.0.1:1"]) {
        assert.is((await harness.runCommandLine("", ["explain", "job", holder, "--process", address])).code, 2);
    }
});

suite("a key is shown", async () => {
    const [, document] = await explain("job", holder);
    assert.not.match(JSON.stringify(document), /key-[ab]/);
});

suite("a coordinator that the store doesn't serve answers from an old view", async () => {
    const coordinator = deployment.findCoordinator()!;
    deployment.store.mode = platformStandIns.StoreMode.busy;
    await deployment.waitFor("the coordinator says that its view is old", async () => {
        const { code, errors } = await run(coordinator, "job", holder);
        return code === 2 && errors.includes("out of touch with the store, so its view is old");
    });
    deployment.store.mode = platformStandIns.StoreMode.up;
    await deployment.waitFor("it answers again", async () => (await run(coordinator, "job", holder)).code === 0);
});

suite("a process without contact to the coordinator answers from an old view", async () => {
    const lost = deployment.findCoordinator()!;
    const other = deployment.processes.find(node => node !== lost)!;
    lost.child!.kill("SIGSTOP");
    const result = await run(other, "job", holder);
    lost.child!.kill("SIGCONT");
    assert.is(result.code, 2);
    assert.match(result.errors, "out of touch with the coordinator");
});

suite.run();
