/**
 * LOST: two workers crash, one after the other, each shortly after it has begun the same work unit. The work unit is
 * sound, and no run of it ends as failed, but its job is shown as failed.
 */
import * as caller from "../harness-2/caller.js";
import * as cases from "../harness-2/case.js";
import * as deployments from "../harness-2/deployment.js";

const jobId = "5c0e7a21d94b36f8";
const target = `/replan/${jobId}`;
/** Workers of the service; at most two of them are down at a time, a share of 0.14. */
const workers = 14;
/** Ms from the start of the work unit to the crash of its worker. */
const crashAfter = 200;
/** Ms for which a work unit that lasts may not run after the disruption: 6 s from its last run, 4 s of calm and 3 s. */
const idleLimit = 13_000;
/** Ms until a crashed worker is up again. */
const downTime = 3600;

await cases.run(6, async (deployment, record, trouble) => {
    const queues = [{ name: "replan", service: "dispatch", maxAttempts: 2 }];
    await deployment.startPlatform(queues);
    deployment.machines.restartDelay = downTime;
    for (let i = 0; i < workers; i++) {
        await deployment.machines.addMachine(`m-${i}`, "dispatch");
    }
    for (let i = 0; i < 3; i++) {
        await deployment.addNode(`frontend-${i}`);
    }
    const [node] = deployment.nodes;
    if (!await deployments.waitFor(20_000, () => deployment.findCoordinator() !== undefined)) {
        return cases.Outcome.notRun;
    }
    await deployments.pause(2000);
    const { history, machines } = deployment.machines;
    const submitted = await caller.call(node!.callerPort, "POST", target, deployments.host, {
        Spec: "{}",
        Steps: [{ Count: 5, Cpu: 500, MemMb: 256, EstimateMs: 90_000, LongRunning: true, AntiAffinity: 1, MayMiss: 1 }],
    });
    record.add(`POST ${target}: ${submitted.status}`);
    if (submitted.status !== 200) {
        return cases.Outcome.notRun;
    }
    const task = `${jobId}.0.0.0`;
    const findRun = () => history.find(run => run.task === task && run.endedAt === undefined);
    for (let crash = 0; crash < 2; crash++) {
        if (!await deployments.waitFor(15_000, () => findRun() !== undefined)) {
            break;
        }
        if (trouble) {
            const run = findRun()!;
            await deployments.pause(Math.max(0, run.startedAt + crashAfter - Date.now()));
            const machine = [...machines.values()].find(({ server }) => server?.id === run.server);
            if (machine === undefined) {
                return cases.Outcome.notRun;
            }
            record.add(`worker ${run.server} crashes, ${Date.now() - run.startedAt} ms after the start of ${task}`);
            deployment.machines.crash(machine);
        }
    }
    let shownFailed = false;
    let shown: string | undefined;
    for (const end = Date.now() + 20_000; Date.now() < end;) {
        const answer = await caller.call(node!.callerPort, "GET", target, deployments.host);
        const state = caller.readState(answer);
        if (state !== shown) {
            record.add(`GET ${target}: ${answer.status} ${answer.body}`);
            shown = state;
        }
        shownFailed ||= state === "failed";
        await deployments.pause(100);
    }
    for (const run of history) {
        record.add(
            `ran ${run.task}/${run.run} on ${run.server}, ${run.how ?? "still running"}`
                + (run.endedAt === undefined ? "" : ` after ${run.endedAt - run.startedAt} ms`),
            run.startedAt,
        );
    }
    const failedEnds = history.filter(run => run.how === "failed").length;
    record.add(`${failedEnds} runs ended as failed`);
    const units = new Set(history.map(run => run.task));
    const idle = [...units].filter(unit => {
        const runs = history.filter(run => run.task === unit);
        return runs.every(run => run.endedAt !== undefined && run.endedAt < Date.now() - idleLimit);
    });
    record.add(`${idle.length} of ${units.size} work units haven't run for ${idleLimit} ms`);
    return shownFailed && failedEnds === 0 && idle.length > 0 ? cases.Outcome.broken : cases.Outcome.held;
});
