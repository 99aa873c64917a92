/**
 * A short day on the stand-ins of the users' platform: jobs for two queues, a maintenance wave, and the loss of the
 * coordinator in the middle. Prints what became of every job and fails when a task ran twice.
 */
import * as platformStandIns from "@catkinwharf/platform-stand-ins";
import * as timers from "node:timers/promises";

const entryNodes = 3;
const jobs = 40;
/** Ms between two submissions. */
const submissionInterval = 120;
const killAfterJob = 15;
const waveAfterJob = 5;

const queues: readonly platformStandIns.QueueDescription[] = [
    { name: "quotes", service: "dispatch" },
    { name: "receipts", service: "archive" },
];

function print(line: string): void {
    process.stdout.write(`${line}\n`);
}

async function submitAll(deployment: platformStandIns.UsersDeployment): Promise<string[]> {
    const accepted: string[] = [];
    for (let i = 0; i < jobs; i++) {
        const queue = queues[Math.floor(i / 10) % queues.length]!.name;
        const target = `/${queue}/${(i + 1).toString(16).padStart(16, "0")}`;
        const body = platformStandIns.createJobBody({ duration: 300 }, { tasks: 4, cpu: 700 });
        const node = deployment.nodes.filter(one => one.child !== undefined)[i % 2]!;
        const answer = await deployment.ask(node, "POST", target, body);
        if (answer?.status === 200) {
            accepted.push(target);
        }
        else {
            print(`${target}: ${answer?.status ?? "connection broken"}`);
        }
        await interfere(deployment, i);
        await timers.setTimeout(submissionInterval);
    }
    return accepted;
}

async function interfere(deployment: platformStandIns.UsersDeployment, job: number): Promise<void> {
    if (job === waveAfterJob) {
        const machines = [...deployment.machines.machines.keys()];
        deployment.publishWave(1, machines, 10_000, 2);
        print(`a wave over ${machines.length} machines begins`);
    }
    if (job === killAfterJob) {
        const coordinator = deployment.findCoordinator();
        if (coordinator !== undefined) {
            await deployment.kill(coordinator);
            print(`${coordinator.name}, which coordinates, is killed`);
        }
    }
}

async function run(): Promise<number> {
    const deployment = new platformStandIns.UsersDeployment(queues);
    deployment.machines.standby.add("off");
    try {
        await deployment.start(entryNodes, { dispatch: 3, archive: 3, off: 2 });
        const accepted = await submitAll(deployment);
        const node = deployment.nodes.find(one => one.child !== undefined)!;
        for (const target of accepted) {
            await deployment.waitFor(`${target} is completed`, async () => {
                return (await deployment.ask(node, "GET", target))?.body.State === "completed";
            });
        }
        await deployment.waitFor("the wave is complete", () => deployment.isWaveComplete(1));
        const doubled = deployment.findDoubleRuns();
        const moves = deployment.machines.orders.filter(order => order.kind === "move").length;
        print(`${jobs} jobs submitted, ${accepted.length} accepted, all of these completed`);
        print(`${deployment.machines.history.length} runs, ${doubled.length} of them double; ${moves} machines moved`);
        return doubled.length;
    }
    finally {
        await deployment.stop();
    }
}

process.exitCode = await run() === 0 ? 0 : 1;
