/** Moves of instances to another pool, under load and while the home of the moving instance is paused. */
import * as bench from "@catkinwharf/bench";
import * as fleetState from "@catkinwharf/fleet-state";
import * as testUtils from "@catkinwharf/test-utils";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const seed = 6;
const testTimeoutMs = 40_000;
const suite = uvu.suite(`moves (seed ${seed})`);
const launch: testUtils.LaunchOptions = {
    deployment: { ...testUtils.createSmallDeployment(2), spareInstances: 0 },
    settingsOverrides: { session: bench.shortSessionTimes, planning: { shortPoolMs: 200 } },
};

function findMovingInstance(state: fleetState.FleetState): fleetState.InstanceState | undefined {
    return [...state.instances.values()].find(instance => instance.drain?.purpose.kind === "move");
}

suite("a move whose home is paused waits for its requests, and the home has no effect after it resumes", async () => {
    await bench.runSession({ launch, seed }, async session => {
        const { running } = session;
        await waitForZoneRoutes(running);
        const longCalls = Array.from({ length: 8 }, (_, index) => {
            const entry = running.entries[index % running.entries.length] as testUtils.RunningEntry;
            return bench.callOnce(entry, { id: `long-${index}`, runMs: 9_000, timeoutMs: testTimeoutMs });
        });
        await Promise.all(longCalls.map((_, index) => bench.waitForRun(running, `long-${index}`)));
        const operator = bench.createOperatorClient(running);
        const shifted = bench.shiftPlannedInstance(running.configuration());
        await bench.publishUntilAccepted(() => operator.publishConfiguration(shifted, 1));
        const stateDuringMove = await bench.waitForFleetState(
            running,
            state => findMovingInstance(state) !== undefined,
            testTimeoutMs,
        );
        const name = findMovingInstance(stateDuringMove)?.instance.name ?? "";
        const pausedEntry = running.findEntry(bench.findHomeEntry(stateDuringMove, name) ?? "");
        const expiredSession = bench.findSession(stateDuringMove, pausedEntry.name) ?? "";
        testUtils.signalProcess(pausedEntry.handle, "SIGSTOP");
        session.listTargets = () => running.entries.filter(entry => entry !== pausedEntry);
        const load = session.runLoad(8_000, { ...bench.steadyShape, meanUtilization: 0.05 });
        await bench.waitForFleetState(running, state => state.instances.get(name)?.pool === "previews", testTimeoutMs);
        testUtils.signalProcess(pausedEntry.handle, "SIGCONT");
        await bench.waitForFleetState(
            running,
            state => bench.findSession(state, pausedEntry.name) !== undefined,
            testTimeoutMs,
        );
        await Promise.all(longCalls);
        assert.equal(await session.check(await load), []);
        assert.equal(await bench.listRecordsAppliedAfterClose(running, expiredSession), []);
        await checkMove(session, name);
    });
});

/**
 * Waits until each entry instance routes requests to the server homed in its own availability zone, so that the long
 * calls are split evenly over both servers. An entry instance that knows no free slots there yet routes them elsewhere.
 */
async function waitForZoneRoutes(running: testUtils.RunningDeployment): Promise<void> {
    const state = await bench.waitForFleetState(running, () => true, testTimeoutMs);
    const homes = fleetState.instancesOfPool(state, "invoices").map(({ instance }) => ({
        instance: instance.name,
        entry: running.findEntry(bench.findHomeEntry(state, instance.name) ?? ""),
    }));
    assert.equal(homes.map(({ entry }) => entry.availabilityZone).sort(), ["zone-a", "zone-b"]);
    await Promise.all(running.entries.map(async entry => {
        const home = homes.find(candidate => candidate.entry.availabilityZone === entry.availabilityZone);
        const server = running.backendServers.find(candidate => candidate.instance === home?.instance);
        assert.ok(server !== undefined);
        const timeoutAt = performance.now() + testTimeoutMs;
        for (let attempt = 1; !await runsOn(server, entry, `route-${entry.name}-${attempt}`); attempt++) {
            assert.ok(performance.now() < timeoutAt, `${entry.name} routes no request to ${server.instance}`);
        }
    }));
}

/** Sends a short call through an entry instance and returns whether the server ran it. */
async function runsOn(
    server: testUtils.RunningBackendServer,
    entry: testUtils.RunningEntry,
    id: string,
): Promise<boolean> {
    await bench.callOnce(entry, { id });
    return (await testUtils.readExecutions(server)).some(run => run.path === `/calls/${id}`);
}

/** Asserts that the instance moved once, after the last of its requests had ended. */
async function checkMove(session: bench.Session, name: string): Promise<void> {
    const commits = (await bench.readFoldedRecords(session.running)).filter(({ result: { record, verdict } }) =>
        record?.kind === "move-committed" && verdict.applied
    );
    assert.is(commits.length, 1);
    const server = session.running.backendServers.find(candidate => candidate.instance === name);
    assert.ok(server !== undefined);
    const runs = (await testUtils.readExecutions(server)).filter(run => run.path.startsWith("/calls/long-"));
    assert.is(runs.length, 4);
    assert.ok(runs.every(run => (run.end ?? Infinity) <= (commits[0]?.entry.appendedAt ?? 0)));
}

suite.run();
