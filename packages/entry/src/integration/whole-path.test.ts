import * as bench from "@catkinwharf/bench";
import * as testUtils from "@catkinwharf/test-utils";
import * as undici from "undici";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as golden from "./golden-session.js";

const seed = 1;
/** Limit of the readiness polls after SIGTERM. */
const maxReadinessPolls = 400;
/** Time in ms between two readiness polls. */
const readinessPollMs = 5;
const suite = uvu.suite(`whole path (seed ${seed})`);

suite("serves requests, publishes a configuration, and shuts down without interrupting a request", async () => {
    const launch = { deployment: testUtils.createSmallDeployment() };
    await bench.runSession({ launch, seed }, async session => {
        const [entryA, entryB] = session.running.entries;
        assert.ok(entryA !== undefined && entryB !== undefined);
        golden.compareSession("whole-path", await golden.recordSession(entryA.callerUrl, entryB.callerUrl));
        await publishThroughOneEntry(session);
        await stopUnderLoad(session, entryB);
    });
});

/** A configuration published through one entry instance takes effect on the other. */
async function publishThroughOneEntry(session: bench.Session): Promise<void> {
    const first = bench.createOperatorClient(session.running, 0);
    const second = bench.createOperatorClient(session.running, 1);
    const configuration = session.running.configuration();
    const stale = await second.publishConfiguration(configuration, 0);
    assert.is(stale.status, "conflict");
    assert.is(stale.version, 1);
    const answer = await first.publishConfiguration(configuration, 1);
    assert.is(answer.status, "accepted");
    const status = await bench.waitForStatus(second, seen => seen.configurationVersion === 2, 10_000);
    assert.is(status.configurationVersion, 2);
}

/** Fails if the process exits or stays ready without having reported that it is not ready. */
async function waitUntilNotReady(stopped: testUtils.RunningEntry): Promise<void> {
    for (let poll = 0; poll < maxReadinessPolls; poll += 1) {
        const response = await undici.request(`${stopped.operatorUrl}/readyz`);
        await response.body.dump();
        if (response.statusCode === 503) {
            return;
        }
        await new Promise(resolve => setTimeout(resolve, readinessPollMs));
    }
    assert.unreachable("the process stayed ready after SIGTERM");
}

async function stopUnderLoad(session: bench.Session, stopped: testUtils.RunningEntry): Promise<void> {
    const load = session.runLoad(3_000, bench.steadyShape);
    await new Promise(resolve => setTimeout(resolve, 1_000));
    testUtils.signalProcess(stopped.handle, "SIGTERM");
    session.listTargets = () => session.running.entries.filter(entry => entry.name !== stopped.name);
    await waitUntilNotReady(stopped);
    const exit = await stopped.handle.exited;
    assert.is(exit.code, 0, stopped.handle.readOutput());
    const calls = await load;
    assert.equal(await session.check(calls), []);
    const lost = calls.flatMap(call => call.attempts).filter(attempt => attempt.outcome === "lost");
    assert.equal(lost, []);
}

suite.run();
