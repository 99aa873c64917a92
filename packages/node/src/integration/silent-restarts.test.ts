/**
 * Guards against a second run of a task that started on a server's next boot, of which the coordinator didn't know yet: its
 * lease may be the longest one, and a list of that boot may be older than the start.
 */
import * as platformStandIns from "@catkinwharf/platform-stand-ins";
import * as timers from "node:timers/promises";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("silent restarts");

const jobPath = "/quotes/00000000000000aa";
const longestLease = 10; // In s, as on the users' sites.
/** Times in ms. */
const taskDuration = 1000 * (longestLease + 3);
const darkTime = 100;
const registrationDelay = 1500;
/** The same while the store is slow. */
const longRegistrationDelay = 3000;
/** First clock readings of two servers and of the next boot of the first one, to which they are far ahead. */
const firstClocks: readonly number[] = [5_000_000, 5_000_000, 10_000];

let deployment: platformStandIns.StandInDeployment;

suite.before.each(async () => {
    deployment = new platformStandIns.StandInDeployment([{ name: "quotes", service: "dispatch" }], {
        bounds: { HoldMaxMs: 1000 * longestLease },
    });
    const readings = [...firstClocks];
    deployment.machines.drawFirstClock = () => readings.shift()!;
    await deployment.start(1, { dispatch: 2 });
});
suite.after.each(() => deployment.stop());

function hasLogged(event: string): boolean {
    return deployment.processes[0]!.lines.some(line => line.includes(`"event":"${event}"`));
}

/** Waits until the coordinator has just begun a poll of an idle server, which lasts for some time. */
async function waitForPoll(server: platformStandIns.ServerStandIn): Promise<void> {
    let polls = 0;
    server.findLateness = path => {
        polls += path === "/-/hold" ? 1 : 0;
        return undefined;
    };
    await deployment.waitFor("the coordinator polls the server again", () => polls === 2);
}

/** Keeps one of the two servers from getting tasks. */
async function drain(machine: platformStandIns.Machine): Promise<void> {
    deployment.machines.drain(machine);
    await deployment.waitFor("the other server gets no tasks", () => hasLogged("server-draining"));
}

async function submitLastingTask(): Promise<void> {
    const body = platformStandIns.createJobBody({ duration: taskDuration }, { tasks: 1 });
    await deployment.waitFor("the job is accepted", async () => {
        return (await deployment.sendRequest(deployment.processes[0]!, "POST", jobPath, body))?.status === 200;
    });
}

/** Restarts a server silently while it is being polled, and starts a lasting task there before the poll fails. */
async function startOnNextBoot(): Promise<platformStandIns.ServerStandIn> {
    const [machine, other] = [...deployment.machines.machines.values()];
    const server = machine!.server!;
    await drain(other!);
    await waitForPoll(server);
    deployment.machines.rebootSilently(machine!, darkTime, registrationDelay);
    await submitLastingTask();
    await deployment.waitFor("the task runs", () => server.runningTasks.length === 1);
    return server;
}

/** Lets the other server take tasks, and waits until the task starts there. */
async function assertStartsOnceGone(): Promise<void> {
    const { history, machines } = deployment.machines;
    const other = [...machines.values()][1]!;
    deployment.machines.resize(other, other.capacity);
    await deployment.waitFor("the task starts on the other server", () => history.length === 2);
    assert.equal(deployment.findDuplicateRuns(), []);
    assert.is(history[0]!.how, "lapsed");
}

suite("a task starts elsewhere while it runs on a server's next boot, which confirmed it before a cut", async () => {
    const server = await startOnNextBoot();
    await deployment.waitFor("the next boot has confirmed the start", () => hasLogged("start-on-another-boot"));
    await timers.setTimeout(1500);
    server.mode = platformStandIns.ServerMode.silent;
    await assertStartsOnceGone();
});

suite("a task starts elsewhere while it runs on a server's next boot, whose response a cut lost", async () => {
    const [machine] = [...deployment.machines.machines.values()];
    machine!.server!.mode = platformStandIns.ServerMode.muteStarts;
    const server = await startOnNextBoot();
    server.mode = platformStandIns.ServerMode.silent;
    await assertStartsOnceGone();
});

suite(
    "a task starts again while it runs on a next boot, whose list was made before the start and arrived after it",
    async () => {
        const [machine, other] = [...deployment.machines.machines.values()];
        const server = machine!.server!;
        await drain(other!);
        let isRestarted = false;
        server.findLateness = path => {
            if (path === "/-/hold" && !isRestarted) {
                isRestarted = true;
                deployment.machines.rebootSilently(machine!, 0, longRegistrationDelay); // The next boot takes this poll.
            }
            return undefined;
        };
        let sendList: (() => void) | undefined;
        server.holdResponse = async path => {
            if (path === "/-/hold" && isRestarted && sendList === undefined) {
                await new Promise<void>(resolve => sendList = resolve);
            }
        };
        await deployment.waitFor("the next boot has made a list", () => sendList !== undefined);
        await submitLastingTask();
        await deployment.waitFor("the next boot has confirmed the start", () => hasLogged("start-on-another-boot"));
        sendList!();
        await deployment.waitFor("the coordinator has seen the restart", () => hasLogged("server-rebooted"));
        await timers.setTimeout(1500);
        assert.equal(deployment.findDuplicateRuns(), []);
        assert.is(deployment.machines.history.length, 1);
    },
);

suite.run();
