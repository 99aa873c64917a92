/**
 * LOST: a worker is lost for good, and the coordinator soon after, before it has noticed. The successor leaves the work units
 * that lasted on that worker without a run for some eleven seconds, though the list of machines shows the machine as down.
 */
import * as caller from "../harness-2/caller.js";
import * as cases from "../harness-2/case.js";
import * as deployments from "../harness-2/deployment.js";

const jobId = "5c0e7a21d94b36f8";
const target = `/replan/${jobId}`;
/** Workers of the service; one of them is lost, a share of 0.14. */
const workerCount = 7;
/** Work units of the job, one on a worker at most. */
const units = 5;
/** Ms from the loss of the worker to that of the coordinator. */
const killAfter = 650;
/** Ms until the process that was killed starts again. */
const restartAfter = 1000;
/** Ms after which the entry of a silent worker is removed: three of its reports. */
const entryLifetime = 4500;
/** Ms from its last run on for which a work unit that lasts may be without one. */
const restartTime = 6000;
/** Ms of calm before the time that is judged. */
const calmTime = 4000;
/** Ms for which a work unit has nothing running, in the calm, where the rule is broken. */
const idleLimit = 3000;
/** Ms for which the job is watched after the loss. */
const watchTime = 25_000;

await cases.run(9, async (deployment, record, trouble) => {
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
    await deployments.pause(2500);
    const coordinator = deployment.findCoordinator();
    const node = deployment.nodes.find(one => one !== coordinator)!;
    const { history, machines } = deployment.machines;
    const submitted = await caller.call(node.callerPort, "POST", target, deployments.host, {
        Spec: "{}",
        Steps: [{
            Count: units,
            Cpu: 500,
            MemMb: 256,
            EstimateMs: 90_000,
            LongRunning: true,
            AntiAffinity: 1,
            MayMiss: 1,
        }],
    });
    record.add(`POST ${target}: ${submitted.status}`);
    if (
        submitted.status !== 200 || coordinator === undefined
        || !await deployments.waitFor(10_000, () => history.length === units)
    ) {
        return cases.Outcome.notRun;
    }
    await deployments.pause(10_000);
    const [run] = history;
    const machine = [...machines.values()].find(({ server }) => server?.id === run!.server);
    const worker = machine?.server;
    if (machine === undefined || worker === undefined) {
        return cases.Outcome.notRun;
    }
    const lostAt = Date.now();
    let calmFrom = lostAt;
    if (trouble) {
        // It falls silent; its machine is listed as down, and its entry is removed after a time.
        worker.mode = "silent";
        machine.state = "down";
        machine.server = undefined;
        setTimeout(() => deployment.store.put("keyed.servers", worker.id, undefined), entryLifetime);
        record.add(`worker ${worker.id} is lost for good, with ${run!.task}/${run!.run}`);
        await deployments.pause(killAfter);
        record.add(`${coordinator.name}, which coordinates, is killed`);
        await deployment.kill(coordinator);
        await deployments.pause(restartAfter);
        deployment.launch(coordinator);
        record.add(`${coordinator.name} is started again`);
        calmFrom = Date.now();
    }
    const judgedFrom = Math.max(lostAt + restartTime, calmFrom + calmTime);
    const findNext = () => history.find(one => one.task === run!.task && one.startedAt > lostAt);
    await deployments.waitFor(watchTime, () => findNext() !== undefined);
    const next = findNext();
    for (const { task, run: number, server, startedAt } of history) {
        record.add(`began ${task}/${number} on ${server}`, startedAt);
    }
    const idle = (next?.startedAt ?? Date.now()) - judgedFrom;
    record.add(
        trouble
            ? `${run!.task} had nothing running for ${
                (next?.startedAt ?? Date.now()) - lostAt
            } ms; ${idle} ms of it count`
            : `${run!.task}/${run!.run} ${run!.endedAt === undefined ? "runs on" : "has ended"}`,
    );
    return (trouble ? idle >= idleLimit : run!.endedAt !== undefined) ? cases.Outcome.broken : cases.Outcome.held;
});
