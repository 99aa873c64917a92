/**
 * GANG: a worker crashes under a gang that saves checkpoints. The members are started again with different checkpoints,
 * so they never work together: each run ends as alone, and the job is never completed.
 */
import * as caller from "../harness-2/caller.js";
import * as cases from "../harness-2/case.js";
import * as deployments from "../harness-2/deployment.js";
import * as workers from "../harness-2/worker.js";

const jobId = "5c0e7a21d94b36f8";
const target = `/certify/${jobId}`;
const workerCount = 7;
const members = 4;
/** Ms of work of the gang. */
const duration = 8000;
/** Ms from the start of the gang to the crash. */
const crashAfter = 3000;
/** Ms until the crashed worker is up again. */
const downTime = 3600;
/** Ms after the return of the worker from which nothing excuses a run that ends as alone: a `ContactMs` and a `GangMs`. */
const calmAfter = 6000;
/** Ms for which the job is watched after that. */
const watchTime = 30_000;

await cases.run(8, async (deployment, record, trouble) => {
    await deployment.startPlatform([{ name: "certify", service: "capture", maxAttempts: 4 }]);
    const gangs = new workers.Gangs();
    const history: workers.Run[] = [];
    const all: workers.Worker[] = [];
    const register = (worker: workers.Worker) => {
        deployment.store.put("keyed.servers", worker.id, {
            Service: "capture",
            Address: worker.address,
            Zone: "zone-a",
            Version: "1",
            Slots: 8,
            State: "ready",
            ColdRemainingMs: 0,
            Sequence: 1,
            Capacity: { Cpu: 4000, MemMb: 16_000, Gpu: 0 },
            Labels: ["a", "r1-1"],
            born: worker.born,
        });
    };
    for (let i = 0; i < workerCount; i++) {
        const worker = new workers.Worker(`i-7f3a91c${i}`, gangs, history);
        await worker.start();
        all.push(worker);
        register(worker);
    }
    for (let i = 0; i < 3; i++) {
        await deployment.addNode(`frontend-${i}`);
    }
    const [node] = deployment.nodes;
    if (!await deployments.waitFor(20_000, () => deployment.findCoordinator() !== undefined)) {
        return cases.Outcome.notRun;
    }
    await deployments.pause(2000);
    const submitted = await caller.call(node!.callerPort, "POST", target, deployments.host, {
        Spec: JSON.stringify({ duration, members }),
        Steps: [{
            Count: members,
            Cpu: 3000,
            MemMb: 1000,
            EstimateMs: duration,
            Gang: true,
            Checkpointed: true,
            AntiAffinity: 1,
        }],
    });
    record.add(`POST ${target}: ${submitted.status}`);
    if (
        submitted.status !== 200
        || !await deployments.waitFor(10_000, () => history.filter(run => run.endedAt === undefined).length === members)
    ) {
        return cases.Outcome.notRun;
    }
    await deployments.pause(crashAfter);
    if (trouble) {
        const worker = all.find(({ id }) => id === history[0]!.worker)!;
        record.add(`worker ${worker.id} crashes`);
        worker.crash();
        await deployments.pause(downTime);
        await worker.restart();
        register(worker);
        record.add(`worker ${worker.id} is up again`);
    }
    const calmFrom = Date.now() + calmAfter;
    let shown: string | undefined;
    for (const end = calmFrom + watchTime; Date.now() < end && shown !== "completed";) {
        const state = caller.readState(await caller.call(node!.callerPort, "GET", target, deployments.host));
        if (state !== shown) {
            record.add(`GET ${target}: ${state}`);
            shown = state;
        }
        await deployments.pause(100);
    }
    for (const { worker, task, run, checkpoint, how, begunAt, endedAt } of history) {
        const outcome = endedAt === undefined ? "still running" : `${how} after ${endedAt - begunAt} ms`;
        record.add(`${worker} began ${task}/${run} with checkpoint "${checkpoint}", ${outcome}`, begunAt);
    }
    const alone = history.filter(run => run.how === "alone" && run.begunAt > calmFrom).length;
    record.add(`${alone} runs begun in the calm ended as alone; the job is shown as ${shown}`);
    all.forEach(worker => worker.stop());
    return alone > 0 && shown !== "completed" ? cases.Outcome.broken : cases.Outcome.held;
});
