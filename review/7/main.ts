/**
 * LOST: a worker that is cut off starts again once. The coordinator is killed soon after it has noticed, and its successor
 * counts the same crash a second time: a sound job is shown as failed.
 */
import * as caller from "../harness-2/caller.js";
import * as cases from "../harness-2/case.js";
import * as deployments from "../harness-2/deployment.js";

const jobId = "5c0e7a21d94b36f8";
const target = `/quote/${jobId}`;
/** Workers of the service; one of them is cut off, a share of 0.14. */
const workerCount = 7;
/** Ms after which the renewal under way at the beginning of the cut has been answered, without its answer coming through. */
const renewalTime = 2200;
/**
 * Ms from the last lease renewal that the cut swallows to the end of the cut: the next renewal comes before the next order
 * to stop. Which of the two comes first decides whether the crash is counted twice; without this it is left to chance.
 */
const lastRenewalAge = 900;
/** Calls that a cut swallows are never carried out. */
const never = 2 ** 30;
/** Ms from the end of the cut to the loss of the coordinator. */
const killAfter = 700;
/** Ms until the process that was killed starts again. */
const restartAfter = 1000;
/** Ms of work of a work unit. */
const duration = 640;
/** Ms for which the job is watched after the loss. */
const watchTime = 25_000;

await cases.run(7, async (deployment, record, trouble) => {
    await deployment.startPlatform([{ name: "quote", service: "dispatch", maxAttempts: 3 }]);
    for (let i = 0; i < workerCount; i++) {
        await deployment.machines.addMachine(`m-${i}`, "dispatch");
    }
    for (let i = 0; i < 3; i++) {
        await deployment.addNode(`frontend-${i}`);
    }
    if (!await deployments.waitFor(20_000, () => deployment.findCoordinator() !== undefined)) {
        return cases.Outcome.notRun;
    }
    await deployments.pause(2500);
    const coordinator = deployment.findCoordinator();
    const node = deployment.nodes.find(one => one !== coordinator)!;
    const machine = deployment.machines.machines.get("m-3")!;
    const worker = machine.server!;
    let renewedAt = 0;
    let isCutOff = false;
    worker.findLateness = path => {
        renewedAt = path === "/-/hold" ? Date.now() : renewedAt;
        if (isCutOff) {
            record.add(`a call of ${path} doesn't reach ${worker.id}`);
        }
        return isCutOff ? never : undefined;
    };
    const seen = renewedAt;
    if (!await deployments.waitFor(5000, () => renewedAt > seen)) {
        return cases.Outcome.notRun;
    }
    if (trouble) {
        record.add(`worker ${worker.id} is cut off`);
        worker.mode = "silent"; // The renewal under way gets no answer either.
        isCutOff = true;
        setTimeout(() => worker.mode = "up", renewalTime);
    }
    const submitted = await caller.call(node.callerPort, "POST", target, deployments.host, {
        Spec: JSON.stringify({ duration }),
        Steps: [{ Count: workerCount, Cpu: 500, MemMb: 10, EstimateMs: duration, AntiAffinity: 1 }],
    });
    record.add(`POST ${target}: ${submitted.status}`);
    if (submitted.status !== 200 || coordinator === undefined) {
        return cases.Outcome.notRun;
    }
    if (trouble) {
        await deployments.pause(renewalTime);
        const before = renewedAt;
        if (!await deployments.waitFor(2000, () => renewedAt > before && Date.now() - renewedAt >= lastRenewalAge)) {
            return cases.Outcome.notRun;
        }
        isCutOff = false;
        deployment.machines.reboot(machine);
        record.add(`worker ${worker.id} has started again behind the cut, which is over`);
        await deployments.pause(killAfter);
        record.add(`${coordinator.name}, which coordinates, is killed`);
        await deployment.kill(coordinator);
        setTimeout(() => deployment.launch(coordinator), restartAfter);
    }
    let shown: string | undefined;
    for (const end = Date.now() + watchTime; Date.now() < end && shown !== "failed" && shown !== "completed";) {
        const answer = await caller.call(node.callerPort, "GET", target, deployments.host);
        const state = caller.readState(answer);
        if (state !== shown) {
            record.add(`GET ${target}: ${answer.status} ${answer.body}`);
            shown = state;
        }
        await deployments.pause(50);
    }
    const { history } = deployment.machines;
    for (const { task, run, server, how, startedAt, endedAt } of history) {
        const outcome = endedAt === undefined ? "still running" : `${how} after ${endedAt - startedAt} ms`;
        record.add(`ran ${task}/${run} on ${server}, ${outcome}`, startedAt);
    }
    const failedEnds = history.filter(run => run.how === "failed").length;
    record.add(`${failedEnds} runs ended as failed; the job is shown as ${shown}`);
    if (shown === "failed" && failedEnds === 0) {
        return cases.Outcome.broken;
    }
    return shown === "completed" ? cases.Outcome.held : cases.Outcome.notRun;
});
