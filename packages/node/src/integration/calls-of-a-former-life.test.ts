/** Guards against a second run of a task on a server's next life, whose lease is extended by a call for the former life. */
import * as platformStandIns from "@catkinwharf/platform-stand-ins";
import * as timers from "node:timers/promises";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("calls of a former life");

const jobPath = "/quotes/00000000000000aa";
const longestLease = 10; // In s, as on the users' sites.
/** Times in ms; those of the course count from the receipt of the late start. */
const taskDuration = 1000 * (longestLease + 4);
const lateness = 6000;
const cutAt = 5500;
/** First clock readings of two servers and of the next life of the first one, to which they are far ahead. */
const firstClocks: readonly number[] = [5_000_000, 5_000_000, 10_000];

suite(
    "a task starts elsewhere while it runs on a next life, as a start of the former one extends its lease",
    async () => {
        const deployment = new platformStandIns.StandInDeployment([{ name: "quotes", service: "dispatch" }], {
            bounds: { HoldMaxMs: 1000 * longestLease },
        });
        const readings = [...firstClocks];
        deployment.machines.drawFirstClock = () => readings.shift()!;
        try {
            await deployment.start(1, { dispatch: 2 });
            const { history } = deployment.machines;
            const [machine, other] = [...deployment.machines.machines.values()];
            const server = machine!.server!;
            const hasLogged = (event: string) =>
                deployment.processes[0]!.lines.some(line => line.includes(`"event":"${event}"`));
            deployment.machines.drain(other!);
            await deployment.waitFor("the other server gets no tasks", () => hasLogged("server-draining"));
            let receivedAt: number | undefined;
            server.findLateness = path => {
                if (path !== "/-/run-start" || receivedAt !== undefined) {
                    return undefined;
                }
                receivedAt = performance.now();
                return lateness;
            };
            const body = platformStandIns.createJobBody({ duration: taskDuration }, { tasks: 1 });
            await deployment.waitFor("the job is accepted", async () => {
                return (await deployment.sendRequest(deployment.processes[0]!, "POST", jobPath, body))?.status === 200;
            });
            await deployment.waitFor("the server has received the start", () => receivedAt !== undefined);
            deployment.machines.rebootSilently(machine!, 0, 0);
            await deployment.waitFor("the next life runs the task", () => server.runningTasks.length === 1);
            await timers.setTimeout(receivedAt! + cutAt - performance.now());
            server.mode = platformStandIns.ServerMode.silent;
            deployment.machines.resize(other!, other!.capacity);
            await deployment.waitFor(
                "the task starts on the other server",
                () => history.some(run => run.server === other!.server!.id),
            );
            assert.equal(deployment.findDuplicateRuns(), []);
        }
        finally {
            await deployment.stop();
        }
    },
);

suite.run();
