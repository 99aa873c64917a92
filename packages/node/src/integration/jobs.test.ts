/**
 * End-to-end tests on real entry processes. They guard against lost jobs, duplicate runs and wrong responses to callers
 * when processes, backend servers or the store fail.
 */
import * as jobState from "@catkinwharf/job-state";
import * as platformStandIns from "@catkinwharf/platform-stand-ins";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("jobs");
let deployment: platformStandIns.StandInDeployment;
let count = 0;

suite.before.each(() => {
    deployment = new platformStandIns.StandInDeployment([{ name: "quotes", service: "dispatch", maxAttempts: 2 }]);
});
suite.after.each(() => deployment.stop());

function createJobPath(): string {
    count += 1;
    return `/quotes/${count.toString(16).padStart(16, "0")}`;
}

const createJobBody = platformStandIns.createJobBody;

async function submit(body: object, node = deployment.processes[0]!): Promise<string> {
    const jobPath = createJobPath();
    await deployment.waitFor(`${jobPath} is accepted`, async () => {
        return (await deployment.sendRequest(node, "POST", jobPath, body))?.status === 200;
    });
    return jobPath;
}

function waitForStatus(jobPath: string, status: string, node = deployment.processes[0]!): Promise<void> {
    return deployment.waitFor(`${jobPath} is ${status}`, async () => {
        return (await deployment.sendRequest(node, "GET", jobPath))?.body.State === status;
    });
}

suite("a job's steps run once and in order, all processes report its state, and a repeat starts nothing", async () => {
    await deployment.start(2, { dispatch: 2 });
    const jobPath = await submit(createJobBody({ duration: 50 }, { tasks: 3 }, { dependsOn: [0] }));
    await waitForStatus(jobPath, "completed", deployment.processes[1]);
    const { history } = deployment.machines;
    assert.is(history.length, 5); // Three tasks of the first step, two of the second (the default).
    // A task is named by job, occurrence, step and index, separated by dots.
    const firstEnds = history.filter(run => run.task.split(".")[2] === "0").map(run => run.endedAt!);
    const secondStarts = history.filter(run => run.task.split(".")[2] === "1").map(run => run.startedAt);
    assert.ok(Math.min(...secondStarts) >= Math.max(...firstEnds));
    const repeated = await deployment.sendRequest(
        deployment.processes[1]!,
        "POST",
        jobPath,
        createJobBody({ duration: 50 }),
    );
    assert.is(repeated?.status, 200);
    assert.is((await deployment.sendRequest(deployment.processes[1]!, "GET", "/quotes/"))?.body.Pending, 0);
    await deployment.waitFor("the other process doesn't count it as pending", async () => {
        return (await deployment.sendRequest(deployment.processes[0]!, "GET", "/quotes/"))?.body.Pending === 0;
    });
    assert.is(history.length, 5);
});

suite("unknown jobs, unknown queues and malformed submissions get distinct status codes", async () => {
    await deployment.start(1, { dispatch: 1 });
    const node = deployment.processes[0]!;
    assert.is((await deployment.sendRequest(node, "GET", createJobPath()))?.status, 410);
    assert.is((await deployment.sendRequest(node, "DELETE", createJobPath()))?.status, 410);
    assert.is((await deployment.sendRequest(node, "POST", "/other/00000000000000aa", createJobBody({})))?.status, 404);
    assert.is((await deployment.sendRequest(node, "POST", createJobPath(), "no job"))?.status, 400);
    assert.is((await deployment.sendRequest(node, "POST", createJobPath(), "x".repeat(20_000)))?.status, 413);
    assert.is((await deployment.sendRequest(node, "POST", "/quotes/short", createJobBody({})))?.status, 400);
});

suite("cancelling a job stops its runs, and no further run starts", async () => {
    await deployment.start(1, { dispatch: 1 });
    const jobPath = await submit(createJobBody({}, { longRunning: true }));
    await deployment.waitFor("both tasks run", () => deployment.machines.history.length === 2);
    assert.is((await deployment.sendRequest(deployment.processes[0]!, "DELETE", jobPath))?.status, 200);
    await deployment.waitFor("both runs are stopped", () => {
        return deployment.machines.history.every(run => run.how === "stopped");
    });
    await waitForStatus(jobPath, "cancelled");
    assert.is(deployment.machines.history.length, 2);
});

suite("a job fails once a task has used up the attempts of its queue, and the task isn't started again", async () => {
    await deployment.start(1, { dispatch: 2 });
    const jobPath = await submit(createJobBody({ duration: 20, fails: true }, { tasks: 1 }));
    await waitForStatus(jobPath, "failed");
    // `run` is the number of the attempt.
    assert.equal(deployment.machines.history.map(run => run.run), [1, 2]);
});

suite("after the coordinator is killed, another process takes over without lost jobs or double runs", async () => {
    await deployment.start(3, { dispatch: 3 });
    const longRunning = await submit(createJobBody({}, { longRunning: true }));
    await deployment.waitFor("both tasks run", () => deployment.machines.history.length === 2);
    const first = deployment.findCoordinator()!;
    const other = deployment.processes.find(node => node !== first)!;
    const jobPaths: string[] = [];
    for (let i = 0; i < 8; i++) {
        jobPaths.push(await submit(createJobBody({ duration: 400 }), other));
    }
    await deployment.kill(first);
    for (const jobPath of jobPaths) {
        await waitForStatus(jobPath, "completed", other);
    }
    assert.equal(deployment.findDuplicateRuns(), []);
    assert.is(deployment.findCoordinator() === first, false);
    await waitForStatus(longRunning, "running", other);
    // A task's name starts with the job's id, which follows "/quotes/" in the path.
    const longRuns = deployment.machines.history.filter(run => run.task.startsWith(longRunning.slice(8)));
    assert.is(longRuns.filter(run => run.endedAt === undefined).length, 2);
});

for (const isShortened of [false, true]) {
    const form = isShortened ? ", but for a short form of ended jobs" : "";
    suite(
        `after all processes are killed and the store drops its history${form}, jobs are known and continue`,
        async () => {
            await deployment.start(2, { dispatch: 2 });
            const completed = await submit(createJobBody({ duration: 20 }));
            await waitForStatus(completed, "completed");
            const cancelled = await submit(createJobBody({ duration: 60_000 }));
            await waitForStatus(cancelled, "running");
            await deployment.sendRequest(deployment.processes[0]!, "DELETE", cancelled);
            if (isShortened) {
                await deployment.waitFor(
                    "both are stored in short",
                    () =>
                        [completed, cancelled].every(jobPath =>
                            deployment.store.listValues(jobState.submissionsTopic, `j:${jobPath.slice(8)}`).length === 2
                        ),
                );
            }
            const unfinished = await submit(createJobBody({ duration: 1200 }));
            await Promise.all(deployment.processes.map(node => deployment.kill(node)));
            deployment.store.dropHistory();
            deployment.processes.forEach(node => deployment.launch(node));
            await waitForStatus(unfinished, "completed");
            await waitForStatus(completed, "completed");
            await waitForStatus(cancelled, "cancelled");
            const { history } = deployment.machines;
            const runCount = history.length;
            for (const method of ["POST", "DELETE"] as const) {
                for (const jobPath of [completed, cancelled]) {
                    const body = method === "POST" ? createJobBody({ duration: 20 }) : undefined;
                    const answer = await deployment.sendRequest(deployment.processes[1]!, method, jobPath, body);
                    assert.is(answer?.status, 200);
                }
            }
            await waitForStatus(await submit(createJobBody({ duration: 20 })), "completed");
            assert.is(history.length, runCount + 2); // Two tasks of the last job.
            assert.equal(deployment.findDuplicateRuns(), []);
        },
    );
}

suite("each epoch has one coordinator, even when several processes claim it at once", async () => {
    await deployment.start(5, { dispatch: 1 });
    const epochs = deployment.processes.flatMap(node => node.lines)
        .filter(line => line.includes('"event":"coordinating"'))
        .map(line => Number(/"epoch":(\d+)/.exec(line)?.[1]));
    assert.equal(epochs, [...new Set(epochs)]);
});

suite("while the store refuses calls, submissions are refused at once and never run; then jobs continue", async () => {
    await deployment.start(1, { dispatch: 1 });
    const node = deployment.processes[0]!;
    const unfinished = await submit(createJobBody({ duration: 300 }));
    deployment.store.mode = platformStandIns.StoreMode.busy;
    const refused = createJobPath();
    await deployment.waitFor("a submission is refused", async () => {
        return (await deployment.sendRequest(node, "POST", refused, createJobBody({ duration: 20 })))?.status === 503;
    });
    const response = await deployment.sendRequest(node, "POST", refused, createJobBody({ duration: 20 }));
    assert.is(response?.status, 503);
    assert.ok(Number(response?.retryAfter) >= 1);
    deployment.store.mode = platformStandIns.StoreMode.up;
    await waitForStatus(unfinished, "completed");
    assert.is((await deployment.sendRequest(node, "GET", refused))?.status, 410);
    // A task's name starts with the job's id, which follows "/quotes/" in the path.
    assert.is(deployment.machines.history.filter(run => run.task.startsWith(refused.slice(8))).length, 0);
    assert.equal(deployment.findDuplicateRuns(), []);
});

suite("a submission whose append got no answer is never called refused", async () => {
    await deployment.start(1, { dispatch: 1 });
    deployment.store.mode = platformStandIns.StoreMode.mute;
    const jobPath = createJobPath();
    const response = await deployment.sendRequest(
        deployment.processes[0]!,
        "POST",
        jobPath,
        createJobBody({ duration: 20 }),
    );
    assert.is(response?.status, 504);
    deployment.store.mode = platformStandIns.StoreMode.up;
    await waitForStatus(jobPath, "completed");
    assert.equal(deployment.findDuplicateRuns(), []);
});

suite("tasks of an unresponsive server start on another server after their lease has expired", async () => {
    await deployment.start(1, { dispatch: 2 });
    await submit(createJobBody({}, { longRunning: true, tasks: 1 }));
    await deployment.waitFor("the task runs", () => deployment.machines.history.length === 1);
    const holder = [...deployment.machines.machines.values()]
        .find(machine => machine.server?.runningTasks.length === 1)!;
    holder.server!.mode = platformStandIns.ServerMode.silent;
    await deployment.waitFor("the task runs on another server", () => deployment.machines.history.length === 2);
    assert.is(deployment.machines.history[0]!.how, "lapsed");
    assert.equal(deployment.findDuplicateRuns(), []);
});

suite("a long-running task moves away from a draining server, and new tasks start on other servers", async () => {
    await deployment.start(1, { dispatch: 2 });
    await submit(createJobBody({}, { longRunning: true, tasks: 1 }));
    await deployment.waitFor("the task runs", () => deployment.machines.history.length === 1);
    const holder = [...deployment.machines.machines.values()]
        .find(machine => machine.server?.runningTasks.length === 1)!;
    deployment.machines.drain(holder);
    await deployment.waitFor("the task runs on another server", () => deployment.machines.history.length === 2);
    await waitForStatus(await submit(createJobBody({ duration: 20 })), "completed");
    assert.is(deployment.machines.history[0]!.how, "stopped");
    assert.ok(deployment.machines.history.slice(1).every(run => run.server !== holder.server!.id));
    assert.equal(deployment.findDuplicateRuns(), []);
});

suite("a job whose start no server has confirmed still counts as pending", async () => {
    await deployment.start(2, { dispatch: 1 });
    await waitForStatus(await submit(createJobBody({ duration: 20 })), "completed");
    const { server } = [...deployment.machines.machines.values()][0]!;
    server!.mode = platformStandIns.ServerMode.silent;
    const jobPath = await submit(createJobBody({ duration: 20 }));
    await deployment.waitFor("a start got no response", () => {
        return deployment.processes.some(node => node.lines.some(line => line.includes('"event":"start-unanswered"')));
    });
    for (const node of deployment.processes) {
        assert.is((await deployment.sendRequest(node, "GET", "/quotes/"))?.body.Pending, 1);
        assert.is((await deployment.sendRequest(node, "GET", jobPath))?.body.State, "queued");
    }
    server!.mode = platformStandIns.ServerMode.up;
    await waitForStatus(jobPath, "completed");
    assert.is((await deployment.sendRequest(deployment.processes[0]!, "GET", "/quotes/"))?.body.Pending, 0);
});

suite("a task starts again although the server that didn't respond to its start runs it", async () => {
    await deployment.start(1, { dispatch: 2 });
    for (const machine of deployment.machines.machines.values()) {
        machine.server!.mode = platformStandIns.ServerMode.muteStarts;
    }
    const path = await submit(createJobBody({ duration: 3000 }, { tasks: 1 }));
    await waitForStatus(path, "completed");
    assert.equal(deployment.findDuplicateRuns(), []);
    assert.equal(deployment.machines.history.map(({ how }) => how), ["done"]);
});

suite("a process that receives SIGTERM hands over coordination and shuts down gracefully", async () => {
    await deployment.start(2, { dispatch: 1 });
    const first = deployment.findCoordinator()!;
    const ended = deployment.signal(first, "SIGTERM");
    await deployment.waitFor("the other process coordinates", () => {
        const now = deployment.findCoordinator();
        return now !== undefined && now !== first;
    });
    await ended;
    assert.ok(first.lines.some(line => line.includes('"event":"stopped"')));
});

suite("a coordinator writes no leadership record after its resignation, even when the store is slow", async () => {
    await deployment.start(2, { dispatch: 1 });
    const first = deployment.findCoordinator()!;
    deployment.store.delay = 350; // In ms: longer than the 300 ms between heartbeats, so one is due during an append.
    await deployment.signal(first, "SIGTERM");
    const records = deployment.store.listValues(jobState.ledgerTopic, "leader").flatMap(value => {
        const record = jobState.decodeLedger("leader", value);
        return record?.kind === "leadership" && record.leadership.node === first.name ? [record.leadership] : [];
    });
    assert.ok(records.at(-1)?.resigned);
    assert.is(records.filter(leadership => leadership.resigned).length, 1);
});

suite("a wave maintains every machine once without interrupting any task", async () => {
    await deployment.start(1, { dispatch: 4 });
    await submit(createJobBody({}, { longRunning: true, tasks: 3, maxUnavailable: 1, maxPerServer: 1 }));
    await deployment.waitFor("all tasks run", () => deployment.machines.history.length === 3);
    const machines = [...deployment.machines.machines.keys()];
    // To be completed within 20 s, with at most two machines out of service at once.
    deployment.publishWave(1, machines, 20_000, 2);
    await deployment.waitFor("the wave is complete", () => deployment.isWaveComplete(1));
    const maintained = deployment.machines.orders.filter(order => order.kind === "upkeep");
    assert.equal(maintained.map(order => order.machine).sort(), machines.sort());
    assert.equal(maintained.flatMap(order => order.interrupted), []);
    assert.equal(deployment.findDuplicateRuns(), []);
});

suite("tasks of a queue with a policy start with a ticket and only on servers that the policy allows", async () => {
    deployment = new platformStandIns.StandInDeployment([{
        name: "quotes",
        service: "dispatch",
        requiresTickets: true, // The queue's configuration refers to the advice service, which applies the policy.
    }]);
    await deployment.start(1, { dispatch: 4 });
    for (const machine of deployment.machines.machines.values()) {
        // The servers check the tickets that the stand-in of the advice service has issued.
        machine.server!.tickets = deployment.advice.tickets;
    }
    await waitForStatus(await submit(createJobBody({ duration: 30 }, { tasks: 4 })), "completed");
    // The stand-in's policy allows only servers with an even number.
    const used = new Set(deployment.machines.history.map(run => Number(run.server.slice(2)) % 2));
    assert.equal([...used], [0]);
});

suite("a background (filler) task is throttled until the task beside it meets its latency target", async () => {
    await deployment.start(1, { dispatch: 1 });
    // The tail latency is 200 ms while the filler task isn't throttled; its target is 100 ms.
    await submit(createJobBody({ tail: 200 }, { tasks: 1, longRunning: true, tailTarget: 100 }));
    await submit(createJobBody({}, { tasks: 1, longRunning: true, filler: true }));
    const server = [...deployment.machines.machines.values()][0]!.server!;
    await deployment.waitFor("the filler is throttled to half", () => (server.paces.at(-1)?.percent ?? 100) <= 50);
    await deployment.waitFor("the throttling is relaxed in steps", () => {
        return server.paces.some((order, i) => i > 0 && order.percent > server.paces[i - 1]!.percent);
    });
});

suite("malformed records in the store are ignored", async () => {
    await deployment.start(1, { dispatch: 1 });
    for (const topic of ["keyed.submissions", "keyed.ledger", "keyed.servers", "keyed.op"]) {
        deployment.store.put(topic, "j:odd", { any: "thing" });
        deployment.store.put(topic, "leader", { epoch: "x" });
        deployment.store.put(topic, "i-9", { Service: 5 });
    }
    await waitForStatus(await submit(createJobBody({ duration: 20 })), "completed");
});

suite.run();
