/**
 * LOST: a job with many work units runs; then all processes of the system lose power for some seconds, and the leases of
 * the workers lapse. The work units are begun again, but the job is shown as failed although no run has failed.
 */
import * as caller from "../harness-2/caller.js";
import * as cases from "../harness-2/case.js";
import * as deployments from "../harness-2/deployment.js";

const jobId = "5c0e7a21d94b36f8";
const target = `/archive/${jobId}`;
const workers = 35;
/** Room of a worker, that of the site. */
const capacity = { Cpu: 64_000, MemMb: 262_144 };
const workUnits = 7200;
/** Ms of work of a work unit. */
const duration = 30_000;
/** Ms without power; the site's days have up to 9.5 s. */
const downTime = 9500;

await cases.run(8, async (deployment, record, trouble) => {
    await deployment.startPlatform([{ name: "archive", service: "receipts", maxAttempts: 3 }]);
    for (let i = 0; i < workers; i++) {
        await deployment.machines.addMachine(`m-${i}`, "receipts");
    }
    deployment.machines.machines.forEach(machine => deployment.machines.resize(machine, capacity));
    for (let i = 0; i < 3; i++) {
        await deployment.addNode(`frontend-${i}`);
    }
    const [node] = deployment.nodes;
    if (!await deployments.waitFor(20_000, () => deployment.findCoordinator() !== undefined)) {
        return cases.Outcome.notRun;
    }
    await deployments.pause(1000);
    const submitted = await caller.call(node!.callerPort, "POST", target, deployments.host, {
        Spec: JSON.stringify({ duration }),
        Steps: [{ Count: workUnits, Cpu: 300, MemMb: 1000, EstimateMs: duration }],
    });
    record.add(`POST ${target}: ${submitted.status}`);
    if (submitted.status !== 200) {
        return cases.Outcome.notRun;
    }
    const { history } = deployment.machines;
    const begun = await deployments.waitFor(25_000, () => new Set(history.map(run => run.task)).size === workUnits);
    record.add(`${new Set(history.map(run => run.task)).size} of ${workUnits} work units have begun`);
    if (!begun) {
        return cases.Outcome.notRun;
    }
    if (trouble) {
        record.add("all processes of the system lose power");
        await Promise.all(deployment.nodes.map(one => deployment.kill(one)));
        await deployments.pause(downTime);
        deployment.nodes.forEach(one => deployment.launch(one));
        record.add("power is back");
    }
    let shown: string | undefined;
    let settled: string | undefined;
    for (const end = Date.now() + 60_000; Date.now() < end && settled === undefined;) {
        const answer = await caller.call(node!.callerPort, "GET", target, deployments.host);
        const state = caller.readState(answer) ?? `${answer.status}`;
        if (state !== shown) {
            record.add(`GET ${target}: ${answer.status} ${answer.body}`);
            shown = state;
        }
        settled = state === "failed" || state === "completed" ? state : undefined;
        await deployments.pause(200);
    }
    const ways = new Map<string, number>();
    for (const { how } of history) {
        ways.set(how ?? "still running", (ways.get(how ?? "still running") ?? 0) + 1);
    }
    record.add(`${history.length} runs: ${[...ways].map(([how, count]) => `${count} ${how}`).join(", ")}`);
    const failedEnds = ways.get("failed") ?? 0;
    return settled === "failed" && failedEnds === 0
        ? cases.Outcome.broken
        : settled === "completed"
        ? cases.Outcome.held
        : cases.Outcome.notRun;
});
