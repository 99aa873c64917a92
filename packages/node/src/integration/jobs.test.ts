/** Jobs from submission to their end, on real entry processes, through losses of processes, servers and the store. */
import * as jobState from "@catkinwharf/job-state";
import * as platformStandIns from "@catkinwharf/platform-stand-ins";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("jobs");
let deployment: platformStandIns.UsersDeployment;
let count = 0;

suite.before.each(() => {
    deployment = new platformStandIns.UsersDeployment([{ name: "quotes", service: "dispatch", maxAttempts: 2 }]);
});
suite.after.each(() => deployment.stop());

function nameJob(): string {
    count += 1;
    return `/quotes/${count.toString(16).padStart(16, "0")}`;
}

const describeJob = platformStandIns.createJobBody;

async function submit(body: object, node = deployment.nodes[0]!): Promise<string> {
    const target = nameJob();
    await deployment.waitFor(`${target} is accepted`, async () => {
        return (await deployment.ask(node, "POST", target, body))?.status === 200;
    });
    return target;
}

function waitForStatus(target: string, status: string, node = deployment.nodes[0]!): Promise<void> {
    return deployment.waitFor(`${target} is ${status}`, async () => {
        return (await deployment.ask(node, "GET", target))?.body.State === status;
    });
}

suite("a job of two steps runs in order, once, and every process tells its state", async () => {
    await deployment.start(2, { dispatch: 2 });
    const target = await submit(describeJob({ duration: 50 }, { tasks: 3 }, { dependsOn: [0] }));
    await waitForStatus(target, "completed", deployment.nodes[1]);
    const { history } = deployment.machines;
    assert.is(history.length, 5);
    const firstEnds = history.filter(seen => seen.task.split(".")[2] === "0").map(seen => seen.endedAt!);
    const secondStarts = history.filter(seen => seen.task.split(".")[2] === "1").map(seen => seen.startedAt);
    assert.ok(Math.min(...secondStarts) >= Math.max(...firstEnds));
    const repeated = await deployment.ask(deployment.nodes[1]!, "POST", target, describeJob({ duration: 50 }));
    assert.is(repeated?.status, 200);
    assert.is((await deployment.ask(deployment.nodes[0]!, "GET", "/quotes/"))?.body.Pending, 0);
    assert.is(history.length, 5);
});

suite("unknown jobs, queues and malformed submissions are told apart", async () => {
    await deployment.start(1, { dispatch: 1 });
    const node = deployment.nodes[0]!;
    assert.is((await deployment.ask(node, "GET", nameJob()))?.status, 410);
    assert.is((await deployment.ask(node, "DELETE", nameJob()))?.status, 410);
    assert.is((await deployment.ask(node, "POST", "/other/00000000000000aa", describeJob({})))?.status, 404);
    assert.is((await deployment.ask(node, "POST", nameJob(), "no job"))?.status, 400);
    assert.is((await deployment.ask(node, "POST", nameJob(), "x".repeat(20_000)))?.status, 413);
    assert.is((await deployment.ask(node, "POST", "/quotes/short", describeJob({})))?.status, 400);
});

suite("a cancelled job's runs are stopped, and none starts any more", async () => {
    await deployment.start(1, { dispatch: 1 });
    const target = await submit(describeJob({}, { longRunning: true }));
    await deployment.waitFor("both tasks run", () => deployment.machines.history.length === 2);
    assert.is((await deployment.ask(deployment.nodes[0]!, "DELETE", target))?.status, 200);
    await deployment.waitFor("both are stopped", () => {
        return deployment.machines.history.every(seen => seen.how === "stopped");
    });
    await waitForStatus(target, "cancelled");
    assert.is(deployment.machines.history.length, 2);
});

suite("a task that fails as often as its queue allows fails its job, and isn't started again", async () => {
    await deployment.start(1, { dispatch: 2 });
    const target = await submit(describeJob({ duration: 20, fails: true }, { tasks: 1 }));
    await waitForStatus(target, "failed");
    assert.equal(deployment.machines.history.map(seen => seen.run), [1, 2]);
});

suite("when the coordinator is killed, another takes over: nothing is lost, nothing runs twice", async () => {
    await deployment.start(3, { dispatch: 3 });
    const longRunning = await submit(describeJob({}, { longRunning: true }));
    await deployment.waitFor("both tasks run", () => deployment.machines.history.length === 2);
    const first = deployment.findCoordinator()!;
    const other = deployment.nodes.find(node => node !== first)!;
    const targets: string[] = [];
    for (let i = 0; i < 8; i++) {
        targets.push(await submit(describeJob({ duration: 400 }), other));
    }
    await deployment.kill(first);
    for (const target of targets) {
        await waitForStatus(target, "completed", other);
    }
    assert.equal(deployment.findDoubleRuns(), []);
    assert.is(deployment.findCoordinator() === first, false);
    await waitForStatus(longRunning, "running", other);
    const lasting = deployment.machines.history.filter(seen => seen.task.startsWith(longRunning.slice(8)));
    assert.is(lasting.filter(seen => seen.endedAt === undefined).length, 2);
});

suite("after a loss of power everywhere, jobs are known and go on from where they were", async () => {
    await deployment.start(2, { dispatch: 2 });
    const done = await submit(describeJob({ duration: 20 }));
    await waitForStatus(done, "completed");
    const open = await submit(describeJob({ duration: 1200 }));
    await Promise.all(deployment.nodes.map(node => deployment.kill(node)));
    deployment.store.forgetHistory();
    deployment.nodes.forEach(node => deployment.launch(node));
    await waitForStatus(open, "completed");
    await waitForStatus(done, "completed");
    assert.equal(deployment.findDoubleRuns(), []);
});

suite("one process coordinates each epoch, however many claim it at once", async () => {
    await deployment.start(5, { dispatch: 1 });
    const epochs = deployment.nodes.flatMap(node => node.lines)
        .filter(line => line.includes('"event":"coordinating"'))
        .map(line => Number(/"epoch":(\d+)/.exec(line)?.[1]));
    assert.equal(epochs, [...new Set(epochs)]);
});

suite("while the store refuses, submissions are refused at once and never run; then all goes on", async () => {
    await deployment.start(1, { dispatch: 1 });
    const node = deployment.nodes[0]!;
    const open = await submit(describeJob({ duration: 300 }));
    deployment.store.mode = platformStandIns.StoreMode.busy;
    const refused = nameJob();
    await deployment.waitFor("a submission is refused", async () => {
        return (await deployment.ask(node, "POST", refused, describeJob({ duration: 20 })))?.status === 503;
    });
    const answer = await deployment.ask(node, "POST", refused, describeJob({ duration: 20 }));
    assert.is(answer?.status, 503);
    assert.ok(Number(answer?.retryAfter) >= 1);
    deployment.store.mode = platformStandIns.StoreMode.up;
    await waitForStatus(open, "completed");
    assert.is((await deployment.ask(node, "GET", refused))?.status, 410);
    assert.is(deployment.machines.history.filter(seen => seen.task.startsWith(refused.slice(8))).length, 0);
    assert.equal(deployment.findDoubleRuns(), []);
});

suite("a submission whose append got no answer is never called refused", async () => {
    await deployment.start(1, { dispatch: 1 });
    deployment.store.mode = platformStandIns.StoreMode.mute;
    const target = nameJob();
    const answer = await deployment.ask(deployment.nodes[0]!, "POST", target, describeJob({ duration: 20 }));
    assert.is(answer?.status, 504);
    deployment.store.mode = platformStandIns.StoreMode.up;
    await waitForStatus(target, "completed");
    assert.equal(deployment.findDoubleRuns(), []);
});

suite("tasks of a silent server start elsewhere, once their lease there has lapsed", async () => {
    await deployment.start(1, { dispatch: 2 });
    await submit(describeJob({}, { longRunning: true, tasks: 1 }));
    await deployment.waitFor("the task runs", () => deployment.machines.history.length === 1);
    const holder = [...deployment.machines.machines.values()]
        .find(machine => machine.server?.runningTasks.length === 1)!;
    holder.server!.mode = platformStandIns.ServerMode.silent;
    await deployment.waitFor("it runs again", () => deployment.machines.history.length === 2);
    assert.is(deployment.machines.history[0]!.how, "lapsed");
    assert.equal(deployment.findDoubleRuns(), []);
});

suite("a long-running task leaves a server that drains, and new tasks start elsewhere", async () => {
    await deployment.start(1, { dispatch: 2 });
    await submit(describeJob({}, { longRunning: true, tasks: 1 }));
    await deployment.waitFor("the task runs", () => deployment.machines.history.length === 1);
    const holder = [...deployment.machines.machines.values()]
        .find(machine => machine.server?.runningTasks.length === 1)!;
    deployment.machines.drain(holder);
    await deployment.waitFor("it runs elsewhere", () => deployment.machines.history.length === 2);
    await waitForStatus(await submit(describeJob({ duration: 20 })), "completed");
    assert.is(deployment.machines.history[0]!.how, "stopped");
    assert.ok(deployment.machines.history.slice(1).every(seen => seen.server !== holder.server!.id));
    assert.equal(deployment.findDoubleRuns(), []);
});

suite("a start without an answer is stopped before the task starts elsewhere", async () => {
    await deployment.start(1, { dispatch: 2 });
    for (const machine of deployment.machines.machines.values()) {
        machine.server!.mode = platformStandIns.ServerMode.muteStarts;
    }
    await submit(describeJob({ duration: 5000 }, { tasks: 1 }));
    await deployment.waitFor("it was started twice", () => deployment.machines.history.length >= 2);
    assert.equal(deployment.findDoubleRuns(), []);
    assert.is(deployment.machines.history[0]!.how, "stopped");
});

suite("a process that is told to stop hands coordination over and answers until it ends", async () => {
    await deployment.start(2, { dispatch: 1 });
    const first = deployment.findCoordinator()!;
    const ended = deployment.signal(first, "SIGTERM");
    await deployment.waitFor("the other coordinates", () => {
        const now = deployment.findCoordinator();
        return now !== undefined && now !== first;
    });
    await ended;
    assert.ok(first.lines.some(line => line.includes('"event":"stopped"')));
});

suite("a coordinator that resigns gives no sign of life afterwards, however slow the store is", async () => {
    await deployment.start(2, { dispatch: 1 });
    const first = deployment.findCoordinator()!;
    deployment.store.delay = 350;
    await deployment.signal(first, "SIGTERM");
    const signs = deployment.store.listValues(jobState.ledgerTopic, "leader").flatMap(value => {
        const record = jobState.decodeLedger("leader", value);
        return record?.kind === "leadership" && record.leadership.node === first.name ? [record.leadership] : [];
    });
    assert.ok(signs.at(-1)?.resigned);
    assert.is(signs.filter(sign => sign.resigned).length, 1);
});

suite("a wave maintains every machine once, and takes no more of a step away than it bears", async () => {
    await deployment.start(1, { dispatch: 4 });
    await submit(describeJob({}, { longRunning: true, tasks: 3, maxUnavailable: 1, maxPerServer: 1 }));
    await deployment.waitFor("all tasks run", () => deployment.machines.history.length === 3);
    const machines = [...deployment.machines.machines.keys()];
    deployment.publishWave(1, machines, 20_000, 2);
    await deployment.waitFor("the wave is complete", () => deployment.isWaveComplete(1));
    const maintained = deployment.machines.orders.filter(order => order.kind === "upkeep");
    assert.equal(maintained.map(order => order.machine).sort(), machines.sort());
    assert.equal(maintained.flatMap(order => order.interrupted), []);
    assert.equal(deployment.findDoubleRuns(), []);
});

suite("tasks of a queue with a policy start with a ticket, on the servers that it allows", async () => {
    deployment = new platformStandIns.UsersDeployment([{ name: "quotes", service: "dispatch", advised: true }]);
    await deployment.start(1, { dispatch: 4 });
    for (const machine of deployment.machines.machines.values()) {
        machine.server!.tickets = deployment.advice.tickets;
    }
    await waitForStatus(await submit(describeJob({ duration: 30 }, { tasks: 4 })), "completed");
    const used = new Set(deployment.machines.history.map(seen => Number(seen.server.slice(2)) % 2));
    assert.equal([...used], [0]);
});

suite("a filler is slowed until the serving task beside it keeps its target", async () => {
    await deployment.start(1, { dispatch: 1 });
    await submit(describeJob({ tail: 200 }, { tasks: 1, longRunning: true, tailTarget: 100 }));
    await submit(describeJob({}, { tasks: 1, longRunning: true, filler: true }));
    const server = [...deployment.machines.machines.values()][0]!.server!;
    await deployment.waitFor("the filler is slowed to half", () => (server.paces.at(-1)?.percent ?? 100) <= 50);
    await deployment.waitFor("it is let go again in steps", () => {
        return server.paces.some((order, i) => i > 0 && order.percent > server.paces[i - 1]!.percent);
    });
});

suite("foreign records in the store change nothing", async () => {
    await deployment.start(1, { dispatch: 1 });
    for (const topic of ["keyed.submissions", "keyed.ledger", "keyed.servers", "keyed.op"]) {
        deployment.store.put(topic, "j:odd", { any: "thing" });
        deployment.store.put(topic, "leader", { epoch: "x" });
        deployment.store.put(topic, "i-9", { Service: 5 });
    }
    await waitForStatus(await submit(describeJob({ duration: 20 })), "completed");
});

suite.run();
