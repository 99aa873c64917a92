/** Entry instances that are paused, woken and replaced: what they must no longer do, and what goes on without them. */
import * as bench from "@catkinwharf/bench";
import * as fleetState from "@catkinwharf/fleet-state";
import * as testUtils from "@catkinwharf/test-utils";
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

function findSession(state: fleetState.FleetState | undefined, entry: string): string | undefined {
    return [...state?.sessions.values() ?? []].find(session => session.entry === entry)?.session;
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

/** Records that a session appended after another closed it, and that had an effect. */
async function listLateEffects(session: bench.Session, closed: string): Promise<readonly unknown[]> {
    const records = await bench.readJudgedRecords(session.running);
    const end = records.findIndex(({ application }) =>
        application.record?.kind === "session-closed" && application.record.session === closed
        && application.verdict.applied
    );
    assert.ok(end >= 0);
    return records.slice(end + 1)
        .filter(({ application }) => application.record?.author === closed && application.verdict.applied)
        .map(({ entry }) => entry.body);
}

function shiftPlan(session: bench.Session): ReturnType<typeof session.running.configuration> {
    const configuration = session.running.configuration();
    const [first, second] = configuration.pools;
    assert.ok(first !== undefined && second !== undefined);
    return {
        ...configuration,
        pools: [{ ...first, instances: first.instances - 1 }, { ...second, instances: second.instances + 1 }],
    };
}

suite("a paused coordinator whose neighbour restarted does nothing once it wakes", async () => {
    await bench.runSession({ launch: launch(), seed }, async session => {
        const { running } = session;
        session.listTargets = () => running.entries.filter(entry => entry.availabilityZone === "zone-b");
        await running.killEntry(neighbour);
        const alone = await bench.waitForFleet(
            running,
            state => findSession(state, neighbour) === undefined && state.lease.session !== undefined,
            limitMs,
        );
        const old = findSession(alone, paused);
        assert.ok(old !== undefined);
        testUtils.signalProcess(running.findEntry(paused).handle, "SIGSTOP");
        const late = callThrough(session, paused, 20, 50);
        await running.startEntry(neighbour);
        await bench.waitForFleet(running, state => !state.sessions.has(old), limitMs);
        const operator = bench.createOperator(running, running.entries.findIndex(entry => entry.name === neighbour));
        await operator.publishConfiguration(shiftPlan(session), 1);
        await bench.waitForFleet(running, state => fleetState.instancesOfPool(state, "spare").length === 0, limitMs);
        const loading = session.runLoad(1_500, bench.steadyShape);
        testUtils.signalProcess(running.findEntry(paused).handle, "SIGCONT");
        await bench.waitForFleet(running, state => findSession(state, paused) !== undefined, limitMs);
        const calls = [...await loading, ...await late];
        assert.equal(await session.check(calls), []);
        assert.equal(await listLateEffects(session, old), []);
    });
});

suite.run();
