/**
 * Fencing of entry instances: one that was paused until its session expired has no effect once it resumes, and requests
 * homed at other entry instances go on.
 */
import * as bench from "@catkinwharf/bench";
import * as fleetState from "@catkinwharf/fleet-state";
import * as testUtils from "@catkinwharf/test-utils";
import * as types from "@catkinwharf/types";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const seed = 4;
const testTimeoutMs = 20_000;
const suite = uvu.suite(`fences (seed ${seed})`);
const pausedEntry = "entry-zone-a-1";
const restartedEntry = "entry-zone-a-2";

function createLaunchOptions(changes: Partial<testUtils.LaunchOptions["deployment"]> = {}): testUtils.LaunchOptions {
    const deployment = { ...testUtils.createSmallDeployment(2), ...changes };
    return { deployment, settingsOverrides: { session: bench.shortSessionTimes, planning: { shortPoolMs: 200 } } };
}

/** Sends calls through one entry instance, each with a single attempt. */
function callThrough(session: bench.Session, entry: string, count: number, runMs: number): Promise<bench.Call[]> {
    const caller = new bench.Caller({
        maxAttempts: 1,
        retryDelayMs: 1,
        listTargets: () => [session.running.findEntry(entry)],
        random: () => session.random.next(),
    });
    const calls = Array.from({ length: count }, (_, index) =>
        caller.call({
            id: `${entry}-${runMs}-${index}`,
            service: session.service(index % 2).name,
            method: "GET",
            key: undefined,
            urgency: 3,
            timeoutMs: testTimeoutMs,
            fields: { "stand-in-service-ms": String(runMs) },
            dueAt: Date.now(),
        }));
    return Promise.all(calls).finally(() => caller.close());
}

suite("a paused coordinator whose neighbour restarted does nothing once it wakes", async () => {
    await bench.runSession({ launch: createLaunchOptions(), seed }, async session => {
        const { running } = session;
        session.listTargets = () => running.entries.filter(entry => entry.availabilityZone === "zone-b");
        await running.killEntry(restartedEntry);
        const stateWithoutNeighbour = await bench.waitForFleetState(
            running,
            state => bench.findSession(state, restartedEntry) === undefined && state.lease.session !== undefined,
            testTimeoutMs,
        );
        const expiredSession = bench.findSession(stateWithoutNeighbour, pausedEntry);
        assert.ok(expiredSession !== undefined);
        testUtils.signalProcess(running.findEntry(pausedEntry).handle, "SIGSTOP");
        const callsWhilePaused = callThrough(session, pausedEntry, 20, 50);
        await running.startEntry(restartedEntry);
        await bench.waitForFleetState(running, state => !state.sessions.has(expiredSession), testTimeoutMs);
        const operator = bench.createOperatorClient(
            running,
            running.entries.findIndex(entry => entry.name === restartedEntry),
        );
        const shifted = bench.shiftPlannedInstance(running.configuration());
        await bench.publishUntilAccepted(() => operator.publishConfiguration(shifted, 1));
        await bench.waitForFleetState(
            running,
            state => fleetState.instancesOfPool(state, "spare").length === 0,
            testTimeoutMs,
        );
        const load = session.runLoad(1_500, bench.steadyShape);
        testUtils.signalProcess(running.findEntry(pausedEntry).handle, "SIGCONT");
        await bench.waitForFleetState(
            running,
            state => bench.findSession(state, pausedEntry) !== undefined,
            testTimeoutMs,
        );
        const calls = [...await load, ...await callsWhilePaused];
        assert.equal(await session.check(calls), []);
        assert.equal(await bench.listRecordsAppliedAfterClose(running, expiredSession), []);
    });
});

suite("entry instances killed during a platform outage don't interrupt requests homed at the others", async () => {
    await bench.runSession({ launch: createLaunchOptions(), seed }, async session => {
        const { running } = session;
        const state = await bench.waitForFleetState(running, () => true, testTimeoutMs);
        const homeNames = fleetState.instancesOfPool(state, "previews").map(({ instance }) =>
            bench.findHomeEntry(state, instance.name)
        );
        const homeEntries = running.entries.filter(entry => homeNames.includes(entry.name));
        assert.is(homeEntries.length, 2);
        const killedNames = running.entries.filter(entry => !homeEntries.includes(entry)).map(entry => entry.name);
        session.listTargets = () => homeEntries;
        await testUtils.setFaults(running.platform.controlPort, { down: true });
        const index = running.entries.indexOf(homeEntries[0] as testUtils.RunningEntry);
        await Promise.all(killedNames.map(name => running.killEntry(name)));
        await bench.waitForStatus(bench.createOperatorClient(running, index), status => status.blind, testTimeoutMs);
        const calls = await session.runLoad(bench.shortSessionTimes.secondLimitMs + 1_000, bench.steadyShape, 0.5);
        const reads = calls.filter(call => call.key === undefined && call.service === "previews");
        assert.equal(bench.countFinalOutcomes(reads), [{ label: types.Outcome.answered, calls: reads.length }]);
        await Promise.all(killedNames.map(name => running.startEntry(name)));
        await testUtils.setFaults(running.platform.controlPort, { down: false });
        await running.waitReady();
        await bench.waitUntilFilled(bench.createOperatorClient(running, index));
        assert.equal(await session.check(calls), []);
    });
});

suite.run();
