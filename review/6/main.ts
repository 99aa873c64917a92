/**
 * TWICE: a start that was meant for a worker's earlier boot reaches the next one and grants it the longest lease. The
 * coordinator knows, its successor doesn't: when the worker is cut off, its work unit is begun elsewhere while it runs on.
 */
import * as caller from "../harness-2/caller.js";
import * as cases from "../harness-2/case.js";
import * as deployments from "../harness-2/deployment.js";

const jobId = "5c0e7a21d94b36f8";
const target = `/replan/${jobId}`;
/** Workers of the service; one of them is cut off, a share of 0.14. */
const workerCount = 7;
/** Ms after which the renewal under way at the beginning of the first cut has been answered, without its answer coming through. */
const renewalTime = 2200;
/**
 * Ms from the last start that the cut swallows to the end of the cut: the start is repeated after 0.95 s, before the lease is
 * renewed. Without this, which of the two comes first is left to chance.
 */
const lastStartAge = 900;
/** Calls that a cut swallows are never carried out. */
const never = 2 ** 30;
/** Ms from the start on the new boot to the loss of the coordinator. */
const killAfter = 400;
/** Ms until the process that was killed starts again. */
const restartAfter = 1000;
/** Ms from a renewal of the successor, which waits for 1 s for an end, to the second cut, which swallows its answer. */
const secondCutAfter = 850;
/** Ms for which the second cut lasts; the site has 5.5 s. */
const secondCutTime = 5500;

await cases.run(6, async (deployment, record, trouble) => {
    await deployment.startPlatform([{ name: "replan", service: "dispatch", maxAttempts: 2 }]);
    for (let i = 0; i < workerCount; i++) {
        await deployment.machines.addMachine(`m-${i}`, "dispatch");
    }
    for (let i = 0; i < 3; i++) {
        await deployment.addNode(`frontend-${i}`);
    }
    if (!await deployments.waitFor(20_000, () => deployment.findCoordinator() !== undefined)) {
        return cases.Outcome.notRun;
    }
    await deployments.pause(8000);
    const coordinator = deployment.findCoordinator();
    const node = deployment.nodes.find(one => one !== coordinator)!;
    const { history, machines } = deployment.machines;
    const machine = machines.get("m-3")!;
    const worker = machine.server!;
    const arrivals = new Map<string, number>();
    let isCutOff = false;
    worker.findLateness = path => {
        arrivals.set(path, Date.now());
        if (isCutOff) {
            record.add(`a call of ${path} doesn't reach ${worker.id}`);
        }
        return isCutOff ? never : undefined;
    };
    const holdBefore = arrivals.get("/-/hold");
    if (
        coordinator === undefined
        || !await deployments.waitFor(5000, () => arrivals.get("/-/hold") !== holdBefore)
    ) {
        return cases.Outcome.notRun;
    }
    if (trouble) {
        record.add(`worker ${worker.id} is cut off`);
        worker.mode = "silent"; // The renewal under way gets no answer either.
        isCutOff = true;
        setTimeout(() => worker.mode = "up", renewalTime);
    }
    const submitted = await caller.call(node.callerPort, "POST", target, deployments.host, {
        Spec: "{}",
        Steps: [{
            Count: workerCount - 1,
            Cpu: 500,
            MemMb: 256,
            EstimateMs: 90_000,
            LongRunning: true,
            AntiAffinity: 1,
            MayMiss: 1,
        }],
    });
    record.add(`POST ${target}: ${submitted.status}`);
    if (submitted.status !== 200) {
        return cases.Outcome.notRun;
    }
    await deployments.pause(renewalTime);
    if (trouble) {
        const before = arrivals.get("/-/run-start");
        const isDue = () =>
            arrivals.get("/-/run-start") !== before && Date.now() - arrivals.get("/-/run-start")! >= lastStartAge;
        if (!await deployments.waitFor(2500, isDue)) {
            return cases.Outcome.notRun;
        }
        isCutOff = false;
        deployment.machines.reboot(machine);
        const backAt = Date.now();
        record.add(`worker ${worker.id} has started again behind the cut, which is over`);
        if (
            !await deployments.waitFor(
                3000,
                () => history.some(run => run.server === worker.id && run.startedAt >= backAt),
            )
        ) {
            return cases.Outcome.notRun;
        }
        await deployments.pause(killAfter);
        record.add(`${coordinator.name}, which coordinates, is killed`);
        await deployment.kill(coordinator);
        setTimeout(() => deployment.launch(coordinator), restartAfter);
        if (!await deployments.waitFor(10_000, () => deployment.findCoordinator() !== undefined)) {
            return cases.Outcome.notRun;
        }
        record.add(`${deployment.findCoordinator()?.name} coordinates`);
        const renewalBefore = arrivals.get("/-/hold");
        if (!await deployments.waitFor(3000, () => arrivals.get("/-/hold") !== renewalBefore)) {
            return cases.Outcome.notRun;
        }
        await deployments.pause(secondCutAfter);
        record.add(`worker ${worker.id} is cut off and runs on`);
        worker.mode = "silent";
        await deployments.pause(secondCutTime);
        worker.mode = "up";
        record.add("the second cut is over");
    }
    await deployments.pause(8000);
    for (const { task, run, server, how, startedAt, endedAt } of history) {
        const outcome = endedAt === undefined ? "still running" : `${how} after ${endedAt - startedAt} ms`;
        record.add(`ran ${task}/${run} on ${server}, ${outcome}`, startedAt);
    }
    let overlap = 0;
    for (const [i, earlier] of history.entries()) {
        for (const later of history.slice(i + 1).filter(run => run.task === earlier.task)) {
            overlap = Math.max(overlap, (earlier.endedAt ?? Date.now()) - later.startedAt);
        }
    }
    record.add(`two runs of one work unit at the same time for ${Math.max(0, overlap)} ms`);
    return overlap > 0 ? cases.Outcome.broken : cases.Outcome.held;
});
