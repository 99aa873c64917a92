/**
 * Planned stops under load: no request is killed, however long it runs, even if its home was paused and replaced
 * meanwhile.
 */
import * as bench from "@catkinwharf/bench";
import * as fleetState from "@catkinwharf/fleet-state";
import * as testUtils from "@catkinwharf/test-utils";
import * as types from "@catkinwharf/types";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const seed = 5;
const testTimeoutMs = 40_000;
const suite = uvu.suite(`planned stops (seed ${seed})`);
const settingsOverrides = { session: bench.shortSessionTimes };

/** Occupies all slots of a service's two instances with keyed requests and resolves once all of them run. */
async function startLongCalls(
    session: bench.Session,
    service: string,
    runMs: number,
): Promise<Promise<bench.Attempt>[]> {
    const { running } = session;
    const calls = Array.from({ length: 8 }, (_, index) => {
        const entry = running.entries[index % running.entries.length] as testUtils.RunningEntry;
        return bench.callOnce(entry, { id: `long-${service}-${index}`, service, runMs, timeoutMs: testTimeoutMs });
    });
    await Promise.all(calls.map((_, index) => bench.waitForRun(running, `long-${service}-${index}`)));
    return calls;
}

function isStopFinished(state: fleetState.FleetState): boolean {
    const [stop] = [...state.stops.values()];
    return stop !== undefined && fleetState.isFinished(stop) && stop.failed.length === 0;
}

async function listKilledRuns(session: bench.Session): Promise<readonly testUtils.Execution[]> {
    const lists = session.running.backendServers.map(server => testUtils.readExecutions(server));
    return (await Promise.all(lists)).flat().filter(run => run.killed === true);
}

suite("a stop of a rack under load waits for long requests, and reports when they are overdue", async () => {
    const small = testUtils.createSmallDeployment();
    const [profile] = small.profiles;
    assert.ok(profile !== undefined);
    const disruption = { ...profile.disruption, drainTimeoutMs: 500 };
    const deployment = { ...small, profiles: [{ ...profile, disruption }] };
    await bench.runSession({ launch: { deployment, settingsOverrides }, seed }, async session => {
        const { running } = session;
        const operator = bench.createOperatorClient(running);
        const longCalls = await startLongCalls(session, "previews", 4_000);
        const load = session.runLoad(6_000, { ...bench.steadyShape, meanUtilization: 0.1 });
        const rack = running.backendServers[0]?.rack ?? "";
        await operator.announceStop({ name: "rack", reason: "test", targets: { racks: [rack] } });
        const statusWithOverdue = await bench.waitForStatus(
            operator,
            status => (status.stops[0]?.overdue.length ?? 0) > 0,
            testTimeoutMs,
        );
        assert.is(statusWithOverdue.stops[0]?.state, "running");
        await bench.waitForFleetState(running, isStopFinished, testTimeoutMs);
        const outcomes = (await Promise.all(longCalls)).map(attempt => attempt.outcome);
        assert.equal(outcomes, longCalls.map(() => types.Outcome.answered));
        assert.equal(await listKilledRuns(session), []);
        assert.equal(await session.check(await load), []);
    });
});

suite("an instance is not rebooted while it runs requests of a home that was paused and replaced", async () => {
    const deployment = testUtils.createSmallDeployment(2);
    await bench.runSession({ launch: { deployment, settingsOverrides }, seed }, async session => {
        const { running } = session;
        const longCalls = await startLongCalls(session, "previews", 9_000);
        const stateBeforeStop = await bench.waitForFleetState(running, () => true, testTimeoutMs);
        const [instance] = fleetState.instancesOfPool(stateBeforeStop, "previews");
        const name = instance?.instance.name ?? "";
        const pausedEntry = running.findEntry(bench.findHomeEntry(stateBeforeStop, name) ?? "");
        const expiredSession = bench.findSession(stateBeforeStop, pausedEntry.name) ?? "";
        testUtils.signalProcess(pausedEntry.handle, "SIGSTOP");
        const otherEntries = running.entries.filter(entry => entry !== pausedEntry);
        session.listTargets = () => otherEntries;
        const operator = bench.createOperatorClient(
            running,
            running.entries.indexOf(otherEntries[0] as testUtils.RunningEntry),
        );
        await operator.announceStop({ name: "one", reason: "test", targets: { instances: [name] } });
        await bench.waitForFleetState(running, isStopFinished, testTimeoutMs);
        assert.equal(await listKilledRuns(session), []);
        testUtils.signalProcess(pausedEntry.handle, "SIGCONT");
        const outcomes = (await Promise.all(longCalls)).map(attempt => attempt.outcome);
        assert.not(outcomes.includes(types.Outcome.notRun));
        assert.equal(await session.check(await session.runLoad(500, bench.steadyShape)), []);
        assert.equal(await bench.listRecordsAppliedAfterClose(running, expiredSession), []);
    });
});

suite.run();
