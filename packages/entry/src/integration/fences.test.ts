/** Entry instances that are paused, woken and replaced: what they must no longer do, and what goes on without them. */
import * as bench from "@catkinwharf/bench";
import * as fleetState from "@catkinwharf/fleet-state";
import * as testUtils from "@catkinwharf/test-utils";
import * as types from "@catkinwharf/types";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const seed = 4;
const limitMs = 20_000;
const suite = uvu.suite(`fences (seed ${seed})`);
const paused = "entry-zone-a-1";
const neighbour = "entry-zone-a-2";

function launch(change: Partial<testUtils.LaunchOptions["deployment"]> = {}): testUtils.LaunchOptions {
    const deployment = { ...testUtils.createSmallDeployment(2), ...change };
    return { deployment, settingsOverrides: { session: bench.shortSessionTimes, planning: { shortPoolMs: 200 } } };
}

/** Sends calls to one entry instance, once each. */
function callThrough(session: bench.Session, entry: string, count: number, runMs: number): Promise<bench.Call[]> {
    const caller = new bench.Caller({
        maxAttempts: 1,
        retryMs: 1,
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
            timeoutMs: limitMs,
            fields: { "stand-in-service-ms": String(runMs) },
            dueAt: Date.now(),
        }));
    return Promise.all(calls).finally(() => caller.close());
}

suite("a paused coordinator whose neighbour restarted does nothing once it wakes", async () => {
    await bench.runSession({ launch: launch(), seed }, async session => {
        const { running } = session;
        session.listTargets = () => running.entries.filter(entry => entry.availabilityZone === "zone-b");
        await running.killEntry(neighbour);
        const alone = await bench.waitForFleet(
            running,
            state => bench.findSession(state, neighbour) === undefined && state.lease.session !== undefined,
            limitMs,
        );
        const old = bench.findSession(alone, paused);
        assert.ok(old !== undefined);
        testUtils.signalProcess(running.findEntry(paused).handle, "SIGSTOP");
        const late = callThrough(session, paused, 20, 50);
        await running.startEntry(neighbour);
        await bench.waitForFleet(running, state => !state.sessions.has(old), limitMs);
        const operator = bench.createOperator(running, running.entries.findIndex(entry => entry.name === neighbour));
        await operator.publishConfiguration(bench.shiftPlan(running.configuration()), 1);
        await bench.waitForFleet(running, state => fleetState.instancesOfPool(state, "spare").length === 0, limitMs);
        const loading = session.runLoad(1_500, bench.steadyShape);
        testUtils.signalProcess(running.findEntry(paused).handle, "SIGCONT");
        await bench.waitForFleet(running, state => bench.findSession(state, paused) !== undefined, limitMs);
        const calls = [...await loading, ...await late];
        assert.equal(await session.check(calls), []);
        assert.equal(await bench.listLateEffects(running, old), []);
    });
});

suite("entry instances killed during a platform outage don't stop what is homed at the others", async () => {
    await bench.runSession({ launch: launch(), seed }, async session => {
        const { running } = session;
        const state = await bench.waitForFleet(running, () => true, limitMs);
        const homes = fleetState.instancesOfPool(state, "previews").map(({ instance }) =>
            bench.readHomeEntry(state, instance.name)
        );
        const others = running.entries.filter(entry => homes.includes(entry.name));
        assert.is(others.length, 2);
        const killed = running.entries.filter(entry => !others.includes(entry)).map(entry => entry.name);
        session.listTargets = () => others;
        await testUtils.setFaults(running.platform.controlPort, { down: true });
        const index = running.entries.indexOf(others[0] as testUtils.RunningEntry);
        await Promise.all(killed.map(name => running.killEntry(name)));
        await bench.waitForStatus(bench.createOperator(running, index), status => status.blind, limitMs);
        const calls = await session.runLoad(bench.shortSessionTimes.secondLimitMs + 1_000, bench.steadyShape, 0.5);
        const reads = calls.filter(call => call.key === undefined && call.service === "previews");
        assert.equal(bench.countFinals(reads), [{ label: types.Outcome.answered, calls: reads.length }]);
        await Promise.all(killed.map(name => running.startEntry(name)));
        await testUtils.setFaults(running.platform.controlPort, { down: false });
        await running.waitReady();
        await bench.waitUntilFilled(bench.createOperator(running, index));
        assert.equal(await session.check(calls), []);
    });
});

suite.run();
