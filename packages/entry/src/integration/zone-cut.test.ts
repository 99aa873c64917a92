/**
 * Network partition between an availability zone and both the other one and the platform: both sides go on serving, and
 * no instance of the zone that is cut off is drained.
 */
import * as bench from "@catkinwharf/bench";
import * as fleetState from "@catkinwharf/fleet-state";
import * as schema from "@catkinwharf/schema";
import * as testUtils from "@catkinwharf/test-utils";
import * as types from "@catkinwharf/types";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const seed = 8;
const testTimeoutMs = 30_000;
const zones = ["zone-a", "zone-b"];
const suite = uvu.suite(`zone cut (seed ${seed})`);
const launch: testUtils.LaunchOptions = {
    deployment: testUtils.createSmallDeployment(2),
    proxied: true,
    settingsOverrides: {
        session: bench.shortSessionTimes,
        log: { timeoutMs: 500, longPollMs: 200 },
        planning: { shortPoolMs: 200 },
    },
};

function listEntries(session: bench.Session, zone: string): readonly testUtils.RunningEntry[] {
    return session.running.entries.filter(entry => entry.availabilityZone === zone);
}

/** Runs load through the entry instances of one zone. */
async function runZoneLoad(session: bench.Session, zone: string, durationMs: number): Promise<readonly bench.Call[]> {
    const caller = new bench.Caller({
        maxAttempts: 3,
        retryDelayMs: 100,
        listTargets: () => listEntries(session, zone),
        random: () => session.random.next(),
    });
    const calls = await bench.runLoad({
        deployment: session.running.deployment,
        shape: bench.steadyShape,
        seed: seed * 100 + zones.indexOf(zone),
        durationMs,
        timeoutMs: 3_000,
        caller,
        scale: 0.5,
    });
    await caller.close();
    return calls;
}

/**
 * Waits until the zone's sessions have not been renewed for longer than the fence time and none of them holds the
 * coordinator lease. Returns the offset at which the log ends then.
 */
async function waitForLapsedSessions(session: bench.Session, zone: string): Promise<number> {
    const state = await bench.waitForFleetState(session.running, ({ sessions, lease }) => {
        const newestRenewal = Math.max(...[...sessions.values()].map(one => one.renewedAt));
        const cutSessions = [...sessions.values()].filter(one => one.availabilityZone === zone);
        return cutSessions.every(one => newestRenewal - one.renewedAt > bench.shortSessionTimes.fenceMs)
            && cutSessions.every(one => one.session !== lease.session);
    }, testTimeoutMs);
    return state.nextOffset;
}

async function listDrains(session: bench.Session, from: number, zone: string): Promise<readonly unknown[]> {
    const records = await bench.readFoldedRecords(session.running);
    return records.slice(from).filter(({ result: { record, verdict, state } }) =>
        record?.kind === "drain-started" && verdict.applied
        && state.instances.get(record.instance)?.instance.availabilityZone === zone
    );
}

/** Reads the status of the coordinator, because no other entry instance knows why a stop waits. */
async function readCoordinator(session: bench.Session): Promise<schema.operator.StatusAnswer> {
    const { running } = session;
    const { coordinator } = await bench.createOperatorClient(running).readStatus();
    const index = running.entries.findIndex(entry => coordinator.startsWith(`${entry.name}.`));
    return bench.createOperatorClient(running, index).readStatus();
}

async function checkBothSidesServe(session: bench.Session): Promise<readonly bench.Call[]> {
    const callsByZone = await Promise.all(zones.map(zone => runZoneLoad(session, zone, 5_000)));
    for (const calls of callsByZone) {
        const reads = calls.filter(call => call.key === undefined);
        assert.ok(reads.length > 0);
        assert.equal(bench.countFinalOutcomes(reads), [{ label: types.Outcome.answered, calls: reads.length }]);
    }
    for (const zone of zones) {
        const [first, second] = listEntries(session, zone);
        assert.ok(first !== undefined && second !== undefined);
        const key = await bench.requestTicket(first);
        const id = `ticket-${zone}`;
        const outcomes = [await bench.callOnce(second, { id, key }), await bench.callOnce(first, { id, key })];
        assert.equal(outcomes.map(attempt => attempt.outcome), [types.Outcome.answered, types.Outcome.answered]);
        assert.is(await bench.countRuns(session.running, id), 1);
    }
    return callsByZone.flat();
}

suite("both sides of a partition go on serving, a stop waits, and all recovers once it has healed", async () => {
    await bench.runSession({ launch, seed }, async session => {
        const { running } = session;
        const operator = bench.createOperatorClient(running, 0);
        await testUtils.cutZone(running, "zone-b");
        const cutOffset = await waitForLapsedSessions(session, "zone-b");
        const targets = { availabilityZones: zones };
        assert.is((await operator.announceStop({ name: "all", reason: "test", targets })).status, "accepted");
        assert.is((await operator.publishConfiguration(running.configuration(), 1)).status, "accepted");
        const calls = await checkBothSidesServe(session);
        assert.is((await readCoordinator(session)).stops[0]?.state, "waiting");
        assert.equal(await listDrains(session, cutOffset, "zone-b"), []);
        await testUtils.healZone(running, "zone-b");
        await bench.waitForFleetState(running, state => {
            const [stop] = [...state.stops.values()];
            return stop !== undefined && fleetState.isFinished(stop) && stop.failed.length === 0;
        }, testTimeoutMs);
        const after = await session.runLoad(1_000, bench.steadyShape, 0.5);
        const versions = running.entries.map((_, index) => bench.createOperatorClient(running, index).readStatus());
        assert.equal((await Promise.all(versions)).map(status => status.configurationVersion), [2, 2, 2, 2]);
        assert.equal(await session.check([...calls, ...after]), []);
    });
});

suite.run();
