/** Property-based tests: invariants of the fleet state at every offset of generated histories. */
import * as fc from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as histories from "./histories.test.js";
import * as idWindow from "./id-window.js";
import * as fleetState from "./index.js";
import * as shardedMap from "./sharded-map.js";

const suite = uvu.suite("properties of the fleet state");

function testProperty(name: string, property: (steps: readonly histories.Step[]) => void): void {
    suite(name, () => {
        fc.assert(
            fc.property(histories.intentLists, wanted => property(histories.runIntents(wanted))),
            histories.parameters,
        );
    });
}

function findZone(state: fleetState.FleetState, session: string | undefined): string | undefined {
    return session === undefined ? undefined : state.sessions.get(session)?.availabilityZone;
}

testProperty(
    "a home is an open session of the instance's zone, and the preferred session is the home or the next home",
    steps => {
        for (const { after } of steps) {
            for (const [name, instance] of after.instances) {
                const zone = instance.instance.availabilityZone;
                const sessions = fleetState.openSessionsOfZone(after, zone).map(session => session.session);
                const inUse = instance.phase === "active" || instance.phase === "draining";
                const preferred = inUse ? fleetState.chooseHome(name, sessions) : undefined;
                assert.is(instance.nextHome ?? instance.home, preferred);
                assert.ok(instance.home === undefined || findZone(after, instance.home) === zone);
                assert.ok(instance.home !== undefined || instance.phase !== "draining");
            }
        }
    },
);

testProperty("a change of the home increases the generation, and generations never decrease", steps => {
    const generations = new Map<string, number>();
    for (const { before, after } of steps) {
        for (const [name, instance] of after.instances) {
            assert.ok(instance.generation >= (generations.get(name) ?? 0));
            generations.set(name, instance.generation);
            const earlier = before.instances.get(name);
            assert.ok(
                earlier === undefined || earlier.home === instance.home || earlier.generation < instance.generation,
            );
        }
    }
});

/** Whether the step ended the permission of the drained instance's home to send it requests. */
function endsHome(step: histories.Step, name: string, drained: fleetState.InstanceState): boolean {
    const record = step.record;
    if (!step.verdict.applied || record === undefined) {
        return false;
    }
    return record.kind === "home-released"
        ? record.instance === name && record.session === drained.home && record.generation === drained.generation
        : record.kind === "session-closed" && record.session === drained.home;
}

testProperty("the pool of an instance changes only by a committed move after its home released it", steps => {
    for (const [index, { before, after, record, verdict }] of steps.entries()) {
        for (const [name, instance] of after.instances) {
            const earlier = before.instances.get(name);
            const zone = earlier?.instance.availabilityZone ?? instance.instance.availabilityZone;
            assert.equal([instance.instance.name, instance.instance.availabilityZone], [name, zone]);
            if (earlier === undefined || earlier.pool === instance.pool) {
                continue;
            }
            assert.ok(verdict.applied && record?.kind === "move-committed" && record.instance === name);
            const start = steps.findLastIndex((step, at) =>
                at < index && step.record?.kind === "drain-started" && step.verdict.applied
                && step.record.instance === name
            );
            const drained = steps[start]?.before.instances.get(name) ?? assert.unreachable() as never;
            const ended = steps.slice(start + 1, index).some(step => endsHome(step, name, drained));
            assert.ok(drained.home === undefined || ended);
        }
    }
});

testProperty("a version increases by one, through a record that names the previous version", steps => {
    for (const { before, after, record } of steps) {
        const increase = (after.configuration?.version ?? 0) - (before.configuration?.version ?? 0);
        assert.ok(increase === 0 ? after.configuration === before.configuration : increase === 1);
        if (increase === 1) {
            assert.ok(record?.kind === "configuration-published");
            assert.is(record.expectedVersion, before.configuration?.version ?? 0);
        }
        for (const [name, profile] of before.profiles) {
            assert.ok([0, 1].includes((after.profiles.get(name)?.version ?? 0) - profile.version));
        }
    }
});

testProperty("an epoch has one holder, and a record under any other epoch is ignored", steps => {
    const holders = new Map<number, string>();
    for (const { before, after, record, verdict } of steps) {
        const { session, epoch } = after.lease;
        assert.ok(epoch >= before.lease.epoch);
        if (session !== undefined) {
            assert.is(holders.get(epoch) ?? session, session);
            assert.ok(after.sessions.has(session));
            holders.set(epoch, session);
        }
        if (record !== undefined && "epoch" in record && verdict.applied) {
            assert.equal([before.lease.epoch, before.lease.session], [record.epoch, record.author]);
        }
        if (verdict.applied && record?.kind === "lease-acquired") {
            assert.is(record.observedOffset, before.lease.offset);
        }
        if (!verdict.applied) {
            assert.equal({ ...after, nextOffset: 0, recentIds: 0 }, { ...before, nextOffset: 0, recentIds: 0 });
        }
    }
});

testProperty(
    "a session is closed only at its newest renewal and never reopened, and each id is applied once",
    steps => {
        const closed = new Set<string>();
        const ids = new Set<string>();
        for (const { before, after, record, verdict } of steps) {
            if (verdict.applied && record?.kind === "session-closed") {
                closed.add(record.session);
                assert.is(before.sessions.get(record.session)?.renewalOffset, record.observedRenewal);
                const closerZone = findZone(before, record.author);
                assert.ok(record.reason !== "fenced" || closerZone === findZone(before, record.session));
                assert.ok(closerZone !== undefined);
            }
            if (verdict.applied && record !== undefined && !record.kind.endsWith("-renewed")) {
                assert.not(ids.has(record.id));
                ids.add(record.id);
            }
            assert.not([...after.sessions.keys()].some(session => closed.has(session)));
        }
    },
);

testProperty("a stop waits only for registered instances, and its remaining instances never increase", steps => {
    for (const { before, after } of steps) {
        for (const [name, stop] of after.stops) {
            const earlier = before.stops.get(name);
            assert.ok(stop.remaining.every(instance => after.instances.has(instance)));
            assert.ok(earlier === undefined || stop.remaining.every(instance => earlier.remaining.includes(instance)));
        }
        for (const instance of after.instances.values()) {
            const purpose = instance.drain?.purpose;
            const stop = purpose?.kind === "stop" ? after.stops.get(purpose.stop) : undefined;
            assert.ok(purpose?.kind !== "stop" || stop?.remaining.includes(instance.instance.name));
        }
    }
});

suite(
    "a snapshot at any offset plus the later entries yields the state of the whole log, and replaying is deterministic",
    () => {
        fc.assert(
            fc.property(histories.intentLists, fc.nat(), (wanted, index) => {
                const steps = histories.runIntents(wanted);
                const snapshotIndex = index % steps.length;
                const stored = JSON.stringify(
                    fleetState.storeState(steps[snapshotIndex]?.after ?? fleetState.emptyFleetState),
                );
                const restored = fleetState.restoreState(JSON.parse(stored)) ?? assert.unreachable() as never;
                const end = steps.slice(snapshotIndex + 1).reduce((state, step) => {
                    const result = fleetState.applyEntry(state, step.entry);
                    assert.equal(result.verdict, step.verdict);
                    return result.state;
                }, restored);
                const repeated = histories.runIntents(wanted).at(-1)?.after ?? fleetState.emptyFleetState;
                const whole = steps.at(-1)?.after ?? fleetState.emptyFleetState;
                assert.is(fleetState.hashState(end), fleetState.hashState(whole));
                assert.is(fleetState.hashState(repeated), fleetState.hashState(whole));
            }),
            histories.parameters,
        );
    },
);

suite("any input is accepted without an exception, and the offset never decreases", () => {
    const entries = fc.record({
        offset: fc.oneof(fc.nat(9), fc.anything()),
        appendedAt: fc.anything(),
        body: fc.anything(),
    });
    fc.assert(
        fc.property(fc.array(entries), list => {
            list.reduce((state, entry) => {
                const result = fleetState.applyEntry(state, entry as fleetState.LogEntry);
                assert.ok(result.state.nextOffset >= state.nextOffset);
                assert.is(result.verdict.ignored === undefined, result.verdict.applied);
                return result.state;
            }, fleetState.emptyFleetState);
        }),
        histories.parameters,
    );
});

suite("the id window keeps the newest ids and restores from its list", () => {
    const ids = Array.from({ length: 2000 }, (_, index) => `id-${index}`);
    const window = ids.reduce((kept, id) => idWindow.addId(kept, id), idWindow.createIdWindow(500));
    assert.ok(ids.slice(-500).every(id => idWindow.hasId(window, id)));
    assert.ok(idWindow.listIds(window).length <= 500 + 250);
    assert.equal(idWindow.restoreIds(500, idWindow.listIds(window)), window);
});

suite("a sharded map behaves like a Map, and changing a copy leaves the original unchanged", () => {
    const changes = fc.array(fc.tuple(fc.stringMatching(/^[a-e]{1,2}$/), fc.option(fc.nat(), { nil: undefined })));
    fc.assert(
        fc.property(changes, list => {
            const expected = new Map<string, number>();
            let actual = shardedMap.ShardedMap.empty<number>();
            for (const [key, value] of list) {
                const [before, copy] = [actual, [...actual]];
                actual = value === undefined ? actual.without(key) : actual.with(key, value);
                if (value === undefined) {
                    expected.delete(key);
                }
                else {
                    expected.set(key, value);
                }
                assert.equal([...before], copy);
                assert.equal(new Map(actual), expected);
                assert.equal([actual.size, actual.get(key)], [expected.size, value]);
            }
            assert.equal(new Map(shardedMap.ShardedMap.from(expected)), expected);
            const doubled = [...expected].map(([key, value]) => [key, value * 2] as const);
            assert.equal(new Map(actual.mapValues(value => value * 2)), new Map(doubled));
        }),
        histories.parameters,
    );
});

suite.run();
