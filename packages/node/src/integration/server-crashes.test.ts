/**
 * End-to-end tests on real entry processes whose backend servers crash, some of them under a task that crashes each
 * server which starts it.
 */
import * as jobState from "@catkinwharf/job-state";
import * as platformStandIns from "@catkinwharf/platform-stand-ins";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("server-crashes");
let deployment: platformStandIns.StandInDeployment;
let count = 0;

/** Time in ms after which a task has certainly survived its start. */
const longAfterStart = 1500;
/** Time in ms for which a crashed server is down: longer than the interval at which the machine list is read. */
const restartDelay = 1000;

suite.before.each(() => {
    deployment = new platformStandIns.StandInDeployment([{ name: "quotes", service: "dispatch", maxAttempts: 2 }]);
});
suite.after.each(() => deployment.stop());

async function submit(body: object): Promise<string> {
    count += 1;
    const id = count.toString(16).padStart(16, "0");
    await deployment.waitFor(`${id} is accepted`, async () => {
        return (await deployment.sendRequest(deployment.processes[0]!, "POST", `/quotes/${id}`, body))?.status === 200;
    });
    return id;
}

async function readStatus(id: string): Promise<string | undefined> {
    return (await deployment.sendRequest(deployment.processes[0]!, "GET", `/quotes/${id}`))?.body.State;
}

function waitForStatus(id: string, status: string): Promise<void> {
    return deployment.waitFor(`${id} is ${status}`, async () => await readStatus(id) === status);
}

/** Runs of the job's task with this index in its first step. */
function listRuns(id: string, index = 0): platformStandIns.RunRecord[] {
    return deployment.machines.history.filter(run => run.task === `${id}.0.0.${index}`);
}

/** What the processes logged of crashes and their causes. */
function listCrashLines(): string[] {
    const events = ["server-crashed", "task-given-up", "start-unconfirmed"];
    return deployment.processes.flatMap(({ lines }) => lines)
        .filter(line => events.some(event => line.includes(`"event":"${event}"`)));
}

function findHolder(id: string): platformStandIns.Machine | undefined {
    return [...deployment.machines.machines.values()]
        .find(machine => machine.server?.runningTasks.includes(`${id}.0.0.0`));
}

for (const keepsId of [true, false]) {
    const identity = keepsId ? "its ID" : "another ID";
    // A server with a new ID may crash before the machine list shows it; such a crash isn't seen as one.
    const allowedRuns = keepsId ? 3 : 4;
    suite(`a task that crashes server after server, each back under ${identity}, fails its job`, async () => {
        deployment.machines.keepsIdAfterCrash = keepsId;
        deployment.machines.restartDelay = restartDelay;
        await deployment.start(1, { dispatch: 4 });
        const others = [
            await submit(platformStandIns.createJobBody({ duration: 400 }, { tasks: 8 })),
            await submit(platformStandIns.createJobBody({}, { tasks: 2, longRunning: true })),
        ];
        const crashing = await submit(
            platformStandIns.createJobBody({ duration: 400, crashingTasks: [0] }, { tasks: 4 }),
        );
        const later = await submit(platformStandIns.createJobBody({ duration: 400 }, { tasks: 8 }));
        await waitForStatus(crashing, "failed");
        const runs = listRuns(crashing).length;
        assert.ok(runs >= 3 && runs <= allowedRuns, `${runs} runs\n${listCrashLines().join("\n")}`);
        await waitForStatus(others[0]!, "completed");
        await waitForStatus(later, "completed");
        await deployment.waitFor("both long-running tasks run", () => {
            return [0, 1].every(index => listRuns(others[1]!, index).some(run => run.endedAt === undefined));
        });
        assert.is(listRuns(crashing).length, runs);
        assert.equal(deployment.findDuplicateRuns(), [], listCrashLines().join("\n"));
    });
}

suite("servers that crashed under a task still count after the coordinator is killed", async () => {
    deployment.machines.restartDelay = 1500; // In ms: longer than the loss of the coordinator takes to be noticed.
    await deployment.start(3, { dispatch: 1 });
    const crashing = await submit(platformStandIns.createJobBody({ crashingTasks: [0] }, { tasks: 1 }));
    await deployment.waitFor("the end of the first run is stored", () => {
        const value = deployment.store.listValues(jobState.ledgerTopic, `p:${crashing}`).at(-1);
        const record = value === undefined ? undefined : jobState.decodeLedger(`p:${crashing}`, value);
        const history = record?.kind === "progress"
            ? record.progress.occurrences.get(0)?.histories.get(0)
            : undefined;
        return history?.lastRun === 1 && history.runs.length === 0 && listRuns(crashing)[0]?.how === "crashed";
    });
    const lost = deployment.findCoordinator()!;
    await deployment.kill(lost);
    deployment.launch(lost);
    await waitForStatus(crashing, "failed");
    assert.is(listRuns(crashing).length, 3, listCrashLines().join("\n"));
});

suite("two tasks that crash their servers and start side by side both fail, and no other job does", async () => {
    await deployment.start(1, { dispatch: 3 });
    const crashing = await Promise.all([0, 1].map(() => {
        return submit(platformStandIns.createJobBody({ crashingTasks: [0] }, { tasks: 1 }));
    }));
    const others = await Promise.all([0, 1, 2].map(() => {
        return submit(platformStandIns.createJobBody({ duration: 300 }, { tasks: 4 }));
    }));
    for (const id of crashing) {
        await waitForStatus(id, "failed");
        assert.ok(listRuns(id).length <= 4);
    }
    for (const id of others) {
        await waitForStatus(id, "completed");
    }
});

suite("a task whose servers crash for another reason while it runs isn't given up", async () => {
    await deployment.start(1, { dispatch: 2 });
    const id = await submit(platformStandIns.createJobBody({ duration: 2500 }, { tasks: 1 }));
    for (let crashes = 1; crashes <= 3; crashes++) {
        await deployment.waitFor(`run ${crashes} has run for a while`, () => {
            const run = listRuns(id).at(-1);
            return run?.run === crashes && run.endedAt === undefined && Date.now() - run.startedAt >= longAfterStart;
        });
        deployment.machines.crash(findHolder(id)!);
    }
    await waitForStatus(id, "completed");
});

suite("a loss of all servers at once fails no job, though the tasks had just started", async () => {
    await deployment.start(1, { dispatch: 3 });
    const ids = await Promise.all([0, 1, 2].map(() => {
        return submit(platformStandIns.createJobBody({ duration: 900 }, { tasks: 3 }));
    }));
    for (let losses = 1; losses <= 2; losses++) {
        await deployment.waitFor("each job has a running task", () => {
            return ids.every(id => [0, 1, 2].some(index => listRuns(id, index).at(-1)?.endedAt === undefined));
        });
        [...deployment.machines.machines.values()].forEach(machine => deployment.machines.crash(machine));
    }
    for (const id of ids) {
        await waitForStatus(id, "completed");
    }
    assert.equal(deployment.findDuplicateRuns(), []);
});

suite("a task whose servers fall silent right after its start isn't given up when their leases expire", async () => {
    await deployment.start(1, { dispatch: 4 });
    const duration = 4000; // In ms: longer than a lease, so that no run ends as done before it lapses.
    const id = await submit(platformStandIns.createJobBody({ duration }, { tasks: 1 }));
    for (let silences = 1; silences <= 3; silences++) {
        await deployment.waitFor(`run ${silences} is under way`, () => {
            return listRuns(id).length === silences && findHolder(id) !== undefined;
        });
        findHolder(id)!.server!.mode = platformStandIns.ServerMode.silent;
    }
    await waitForStatus(id, "completed");
    assert.equal(listRuns(id).map(run => run.how), ["lapsed", "lapsed", "lapsed", "done"]);
});

suite.run();
