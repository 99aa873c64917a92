/**
 * Demo on the stand-ins of the platform. Submits jobs to two queues, runs a maintenance wave, and kills the
 * coordinator while jobs run. Prints a summary, and fails when a task ran twice.
 */
import * as platformStandIns from "@catkinwharf/platform-stand-ins";
import * as timers from "node:timers/promises";

const entryNodeCount = 3;
const jobCount = 40;
/** Time in ms between two submissions. */
const submissionInterval = 120;
const killAfterJob = 15;
const waveAfterJob = 5;

const queues: readonly platformStandIns.QueueDescription[] = [
    { name: "quotes", service: "pricing" },
    { name: "receipts", service: "archive" },
];

function print(line: string): void {
    process.stdout.write(`${line}\n`);
}

async function submitAll(deployment: platformStandIns.StandInDeployment): Promise<string[]> {
    const accepted: string[] = [];
    for (let i = 0; i < jobCount; i++) {
        const queue = queues[Math.floor(i / 10) % queues.length]!.name;
        const jobPath = `/${queue}/${(i + 1).toString(16).padStart(16, "0")}`;
        // One step of four tasks; each task runs for 300 ms and needs 0.7 cores.
        const body = platformStandIns.createJobBody({ duration: 300 }, { tasks: 4, cpu: 700 });
        // Alternates between two running nodes; two are left after the coordinator is killed.
        const node = deployment.processes.filter(candidate => candidate.child !== undefined)[i % 2]!;
        const response = await deployment.sendRequest(node, "POST", jobPath, body);
        if (response?.status === 200) {
            accepted.push(jobPath);
        }
        else {
            print(`${jobPath}: not accepted: ${response?.status ?? "connection closed"}`);
        }
        await injectEvents(deployment, i);
        await timers.setTimeout(submissionInterval);
    }
    return accepted;
}

async function injectEvents(deployment: platformStandIns.StandInDeployment, jobIndex: number): Promise<void> {
    if (jobIndex === waveAfterJob) {
        const machines = [...deployment.machines.machines.keys()];
        // To be completed within 10 s, with at most two machines out of service at once.
        deployment.publishWave(1, machines, 10_000, 2);
        print(`maintenance wave of ${machines.length} machines started`);
    }
    if (jobIndex === killAfterJob) {
        const coordinator = deployment.findCoordinator();
        if (coordinator !== undefined) {
            await deployment.kill(coordinator);
            print(`killed the coordinator, ${coordinator.name}`);
        }
    }
}

async function run(): Promise<number> {
    const deployment = new platformStandIns.StandInDeployment(queues);
    deployment.machines.standby.add("spare");
    try {
        await deployment.start(entryNodeCount, { pricing: 3, archive: 3, spare: 2 });
        const accepted = await submitAll(deployment);
        const node = deployment.processes.find(candidate => candidate.child !== undefined)!;
        for (const jobPath of accepted) {
            await deployment.waitFor(`${jobPath} is completed`, async () => {
                return (await deployment.sendRequest(node, "GET", jobPath))?.body.State === "completed";
            });
        }
        await deployment.waitFor("the wave is complete", () => deployment.isWaveComplete(1));
        const duplicateRuns = deployment.findDuplicateRuns();
        const moves = deployment.machines.orders.filter(order => order.kind === "move").length;
        print(`${jobCount} jobs submitted, ${accepted.length} accepted, all accepted jobs completed`);
        print(`${deployment.machines.history.length} runs, ${duplicateRuns.length} duplicates, ${moves} machine moves`);
        return duplicateRuns.length;
    }
    finally {
        await deployment.stop();
    }
}

process.exitCode = await run() === 0 ? 0 : 1;
