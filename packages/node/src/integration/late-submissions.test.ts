/**
 * End-to-end tests with submissions that the store carries out late, without an answer, after their jobs were cancelled. They guard
 * against jobs that run although their cancelling was acknowledged, and against clients that cancel jobs nobody submitted.
 */
import * as platformStandIns from "@catkinwharf/platform-stand-ins";
import * as testUtils from "@catkinwharf/test-utils";
import * as http from "node:http";
import * as timers from "node:timers/promises";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("late submissions");
const { StoreFault, createJobBody } = platformStandIns;
/** Time in ms after which the store carries out a submission; longer than its caller waits. */
const lateness = 3500;
/** Time in ms from then on in which the job would start. */
const watchTime = 1500;
const id = "00000000000000aa";

interface World {
    readonly deployment: platformStandIns.StandInDeployment;
    /** Whether appends to the submissions are late, by whichever process. */
    readonly makeLate: (isLate: boolean) => void;
}

async function play(run: (world: World) => Promise<void>): Promise<void> {
    const fronts: platformStandIns.StoreFront[] = [];
    let late = false;
    const deployment: platformStandIns.StandInDeployment = new platformStandIns.StandInDeployment(
        [{ name: "quotes", service: "desk" }, { name: "reports", service: "desk" }],
        {
            openStore: async () => {
                const front = new platformStandIns.StoreFront(deployment.store);
                front.findFault = ({ topic, isAppend }) =>
                    isAppend && topic === "keyed.submissions" && late
                        ? { fault: StoreFault.late, delay: lateness }
                        : undefined;
                fronts.push(front);
                await front.start();
                return front.address;
            },
        },
    );
    try {
        await deployment.start(3, { desk: 2 });
        await run({ deployment, makeLate: isLate => late = isLate });
    }
    finally {
        await deployment.stop();
        fronts.forEach(front => front.stop());
    }
}

/** Submits a job whose submission is stored late, cancels it elsewhere, and waits until it would have started. */
async function cancelBeforeStored(
    { deployment, makeLate }: World,
    afterwards: (first: platformStandIns.EntryProcess) => Promise<void>,
): Promise<void> {
    const coordinator = deployment.findCoordinator()!;
    const [first, second] = deployment.processes.filter(node => node !== coordinator);
    makeLate(true);
    const body = createJobBody({}, { tasks: 1, longRunning: true });
    const submitted = await deployment.sendRequest(first!, "POST", `/quotes/${id}`, body);
    assert.is(submitted?.status, 504);
    makeLate(false);
    assert.is((await deployment.sendRequest(second!, "DELETE", `/quotes/${id}`))?.status, 410);
    await afterwards(first!);
    await timers.setTimeout(lateness + watchTime);
    assert.equal(deployment.machines.history.map(({ task }) => task), []);
    // The cancellation is for the job of this queue.
    assert.is((await deployment.sendRequest(second!, "GET", `/quotes/${id}`))?.body.State, "cancelled");
}

suite(
    "a job runs although its cancelling was answered, as its submission is stored after that",
    () => play(world => cancelBeforeStored(world, () => Promise.resolve())),
);

suite(
    "a cancelled job runs, as its submission is stored after the processes that sent and coordinated it were killed",
    () =>
        play(world =>
            cancelBeforeStored(world, async first => {
                const coordinator = world.deployment.findCoordinator()!;
                await Promise.all([first, coordinator].map(node => world.deployment.kill(node)));
                world.deployment.launch(coordinator);
            })
        ),
);

suite(
    "a job that was cancelled before it was submitted is accepted and then cancelled, or refused for good",
    () =>
        play(async ({ deployment }) => {
            const [first, second] = deployment.processes;
            assert.is((await deployment.sendRequest(first!, "DELETE", `/quotes/${id}`))?.status, 410);
            const submit = (node: platformStandIns.EntryProcess, queue: string) =>
                deployment.sendRequest(node, "POST", `/${queue}/${id}`, createJobBody({ duration: 20 }));
            const refused = await submit(first!, "quotes");
            assert.is(refused?.status, 429);
            const retryAfter = Number(refused?.retryAfter);
            assert.ok(retryAfter > 0 && retryAfter <= 40, `Retry-After ${refused?.retryAfter}`);
            await timers.setTimeout(retryAfter * 1000);
            assert.is((await submit(second!, "quotes"))?.status, 200);
            await deployment.waitFor(
                "the job is completed",
                async () => (await deployment.sendRequest(first!, "GET", `/quotes/${id}`))?.body.State === "completed",
            );
        }),
);

suite(
    "one client's cancellations of unknown jobs keep others from cancelling or submitting theirs",
    () =>
        play(async ({ deployment }) => {
            const [node] = deployment.processes;
            const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
            const cancel = (number: number) =>
                new Promise<http.IncomingMessage>((resolve, reject) => {
                    const path = `/quotes/${(0xf000 + number).toString(16).padStart(16, "0")}`;
                    const { callerPort: port } = node!;
                    const options = { host: testUtils.loopbackHost, port, path, method: "DELETE", agent };
                    http.request({ ...options, headers: { host: "queues.test" } }, response => {
                        response.resume();
                        response.on("end", () => resolve(response));
                    }).on("error", reject).end();
                });
            const counts = new Map<number, number>();
            for (let i = 0; i < 600; i++) {
                const { statusCode, headers } = await cancel(i);
                counts.set(statusCode!, (counts.get(statusCode!) ?? 0) + 1);
                assert.ok(statusCode === 410 || (statusCode === 429 && Number(headers["retry-after"]) > 0));
            }
            assert.ok((counts.get(410) ?? 0) <= 300 && (counts.get(429) ?? 0) > 0, JSON.stringify([...counts]));
            for (const queue of ["quotes", "reports"]) {
                const unknown = `/${queue}/00000000000000b${queue.length}`;
                assert.is((await deployment.sendRequest(node!, "DELETE", unknown))?.status, 410);
                const path = `/${queue}/00000000000000c${queue.length}`;
                assert.is(
                    (await deployment.sendRequest(node!, "POST", path, createJobBody({ duration: 20 })))?.status,
                    200,
                );
                await deployment.waitFor(
                    `a job of ${queue} is completed`,
                    async () => (await deployment.sendRequest(node!, "GET", path))?.body.State === "completed",
                );
            }
            agent.destroy();
        }),
);

suite.run();
