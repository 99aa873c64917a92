/**
 * End-to-end tests with jobs of very many tasks, with the heap of the deploy file. They guard against coordinators that run out of
 * memory one after the other, as such jobs stay stored.
 */
import * as jobState from "@catkinwharf/job-state";
import * as platformStandIns from "@catkinwharf/platform-stand-ins";
import * as timers from "node:timers/promises";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("wide jobs");
const { createJobBody, createRepetition } = platformStandIns;
/** Most tasks of a job. */
const mostTasks = 1_000_000;
/** Time in ms for which the processes are watched; without the fix each coordinator ends within two seconds. */
const watchTime = 5000;

function formatId(number: number): string {
    return number.toString(16).padStart(16, "0");
}

async function play(run: (deployment: platformStandIns.StandInDeployment) => Promise<void>): Promise<void> {
    const deployment = new platformStandIns.StandInDeployment(
        [{ name: "quotes", service: "desk" }, { name: "reports", service: "press" }],
        { nodeArguments: ["--max-old-space-size=200", "--min-semi-space-size=4"] },
    );
    try {
        await deployment.start(2, { desk: 2, press: 2 });
        await run(deployment);
    }
    finally {
        await deployment.stop();
    }
}

async function submitAll(
    { processes, sendRequest }: platformStandIns.StandInDeployment,
    bodies: readonly object[],
): Promise<void> {
    for (const [i, body] of bodies.entries()) {
        const response = await sendRequest(processes[0]!, "POST", `/reports/${formatId(i)}`, body);
        assert.is(response?.status, 200);
    }
}

/** Checks that no process has ended, and that jobs of both queues are completed beside the wide ones. */
async function assertServes(deployment: platformStandIns.StandInDeployment, number: number): Promise<void> {
    for (const [i, queue] of ["quotes", "reports"].entries()) {
        const path = `/${queue}/${formatId(number + i)}`;
        const node = deployment.processes.find(({ child }) => child !== undefined)!;
        const body = createJobBody({ duration: 20 });
        await deployment.waitFor(
            `a job of ${queue} is accepted`,
            async () => (await deployment.sendRequest(node, "POST", path, body))?.status === 200,
        );
        await deployment.waitFor(`a job of ${queue} is completed`, async () => {
            assertAlive(deployment);
            return (await deployment.sendRequest(node, "GET", path))?.body.State === "completed";
        });
    }
}

function assertAlive({ processes }: platformStandIns.StandInDeployment): void {
    for (const { name, child } of processes) {
        assert.is(child?.signalCode ?? undefined, undefined, `${name} has ended`);
    }
}

/** Watches the processes, and then a successor that starts with the wide jobs stored. */
async function assertOutlasts(deployment: platformStandIns.StandInDeployment): Promise<void> {
    await assertServes(deployment, 0x100);
    await timers.setTimeout(watchTime);
    assertAlive(deployment);
    const coordinator = deployment.findCoordinator()!;
    await deployment.kill(coordinator);
    await deployment.waitFor("another process coordinates", () => deployment.findCoordinator() !== undefined);
    deployment.launch(coordinator);
    await assertServes(deployment, 0x200);
}

suite(
    "each coordinator runs out of memory, as it keeps an entry for each task of thirty jobs with a million",
    () =>
        play(async deployment => {
            await submitAll(
                deployment,
                Array.from({ length: 30 }, () => createJobBody({ duration: 200 }, { tasks: mostTasks, cpu: 1000 })),
            );
            await assertOutlasts(deployment);
        }),
);

suite(
    "each coordinator runs out of memory, as it keeps an entry for each task of many wide times of a job",
    () =>
        play(async deployment => {
            const body = {
                ...createJobBody({ duration: 20 }, { tasks: 10, cpu: 100 }, { tasks: mostTasks - 10, dependsOn: [0] }),
                ...createRepetition(1_000_000, 0, 1),
            };
            await submitAll(deployment, Array.from({ length: 5 }, () => body));
            await assertOutlasts(deployment);
        }),
);

suite("each coordinator ends, as one request is for a gang of 200,000 tasks", () =>
    play(async deployment => {
        const { processes, store, sendRequest } = deployment;
        const gang = createJobBody({ duration: 20 }, { tasks: 200_000, cpu: 0, gang: true });
        const refused = await sendRequest(processes[0]!, "POST", `/reports/${formatId(1)}`, gang);
        assert.is(refused?.status, 413);
        assert.match(refused?.body.Error ?? "", /a gang of 200000 tasks can't start/);
        assert.is((await sendRequest(processes[0]!, "GET", `/reports/${formatId(1)}`))?.status, 410);
        // An earlier version has accepted one.
        await submitAll(deployment, [createJobBody({ duration: 20 }, { tasks: 2 })]);
        const [value] = store.listValues(jobState.submissionsTopic, jobState.formatJobKey(formatId(0)));
        const accepted = jobState.decodeSubmission(jobState.formatJobKey(formatId(0)), value!);
        assert.ok(accepted?.kind === "job");
        const step = { ...accepted.job.steps[0]!, taskCount: 200_000, gang: true };
        step.demand = { cpu: 0, memory: 0, accelerators: 0 };
        const stored = jobState.encodeJob({ ...accepted.job, id: formatId(2), steps: [step] });
        store.put(jobState.submissionsTopic, stored.key, stored.value);
        await assertOutlasts(deployment);
    }));

suite.run();
