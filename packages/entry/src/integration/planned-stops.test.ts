/** Planned stops under load: nothing is cut off, however long it runs and whatever became of its home. */
import * as bench from "@catkinwharf/bench";
import * as fleetState from "@catkinwharf/fleet-state";
import * as testUtils from "@catkinwharf/test-utils";
import * as types from "@catkinwharf/types";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const seed = 5;
const limitMs = 40_000;
const suite = uvu.suite(`planned stops (seed ${seed})`);
const settingsOverrides = { session: bench.shortSessionTimes };

/** Fills both of a service's instances with keyed requests and resolves once all run. */
async function fillService(session: bench.Session, service: string, runMs: number): Promise<Promise<bench.Attempt>[]> {
    const { running } = session;
    const calls = Array.from({ length: 8 }, (_, index) => {
        const entry = running.entries[index % running.entries.length] as testUtils.RunningEntry;
        return bench.callOnce(entry, { id: `long-${service}-${index}`, service, runMs, timeoutMs: limitMs });
    });
    await Promise.all(calls.map((_, index) => bench.waitForRun(running, `long-${service}-${index}`)));
    return calls;
}

function isStopFinished(state: fleetState.FleetState): boolean {
    const [stop] = [...state.stops.values()];
    return stop !== undefined && fleetState.isFinished(stop) && stop.failed.length === 0;
}

async function listKilled(session: bench.Session): Promise<readonly testUtils.Execution[]> {
    const lists = session.running.backendServers.map(server => testUtils.readExecutions(server));
    return (await Promise.all(lists)).flat().filter(run => run.killed === true);
}

suite("a rack stops under load: long requests end first, and are reported when they are late", async () => {
    const small = testUtils.createSmallDeployment();
    const [profile] = small.profiles;
    assert.ok(profile !== undefined);
    const disruption = { ...profile.disruption, drainTimeoutMs: 500 };
    const deployment = { ...small, profiles: [{ ...profile, disruption }] };
    await bench.runSession({ launch: { deployment, settingsOverrides }, seed }, async session => {
        const { running } = session;
        const operator = bench.createOperator(running);
        const long = await fillService(session, "previews", 4_000);
        const loading = session.runLoad(6_000, { ...bench.steadyShape, meanUtilization: 0.1 });
        const rack = running.backendServers[0]?.rack ?? "";
        await operator.announceStop({ name: "rack", reason: "test", targets: { racks: [rack] } });
        const late = await bench.waitForStatus(operator, status => (status.stops[0]?.overdue.length ?? 0) > 0, limitMs);
        assert.is(late.stops[0]?.state, "running");
        await bench.waitForFleet(running, isStopFinished, limitMs);
        const outcomes = (await Promise.all(long)).map(attempt => attempt.outcome);
        assert.equal(outcomes, long.map(() => types.Outcome.answered));
        assert.equal(await listKilled(session), []);
        assert.equal(await session.check(await loading), []);
    });
});

suite("an instance is not rebooted under the requests of a home that was paused and replaced", async () => {
    const deployment = testUtils.createSmallDeployment(2);
    await bench.runSession({ launch: { deployment, settingsOverrides }, seed }, async session => {
        const { running } = session;
        const long = await fillService(session, "previews", 9_000);
        const before = await bench.waitForFleet(running, () => true, limitMs);
        const [instance] = fleetState.instancesOfPool(before, "previews");
        const name = instance?.instance.name ?? "";
        const paused = running.findEntry(bench.readHomeEntry(before, name) ?? "");
        const old = bench.findSession(before, paused.name) ?? "";
        testUtils.signalProcess(paused.handle, "SIGSTOP");
        const others = running.entries.filter(entry => entry !== paused);
        session.listTargets = () => others;
        const operator = bench.createOperator(running, running.entries.indexOf(others[0] as testUtils.RunningEntry));
        await operator.announceStop({ name: "one", reason: "test", targets: { instances: [name] } });
        await bench.waitForFleet(running, isStopFinished, limitMs);
        assert.equal(await listKilled(session), []);
        testUtils.signalProcess(paused.handle, "SIGCONT");
        const outcomes = (await Promise.all(long)).map(attempt => attempt.outcome);
        assert.not(outcomes.includes(types.Outcome.notRun));
        assert.equal(await session.check(await session.runLoad(500, bench.steadyShape)), []);
        assert.equal(await bench.listLateEffects(running, old), []);
    });
});

suite.run();
