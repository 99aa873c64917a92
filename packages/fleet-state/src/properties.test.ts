/** Properties that hold at every offset of any history. */
import * as fc from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as histories from "./histories.test.js";
import * as idWindow from "./id-window.js";
import * as fleetState from "./index.js";
import * as shardedMap from "./sharded-map.js";

const suite = uvu.suite("properties of the fold");

function check(name: string, property: (steps: readonly histories.Step[]) => void): void {
    suite(name, () => {
        fc.assert(fc.property(histories.intents, wanted => property(histories.run(wanted))), histories.parameters);
    });
}

function zoneOf(state: fleetState.FleetState, session: string | undefined): string | undefined {
    return session === undefined ? undefined : state.sessions.get(session)?.availabilityZone;
}

check("homes are open sessions of the instance's zone, and the preferred one has it or gets it next", steps => {
    for (const { after } of steps) {
        for (const [name, instance] of after.instances) {
            const zone = instance.instance.availabilityZone;
            const sessions = fleetState.openSessionsOfZone(after, zone).map(session => session.session);
            const inUse = instance.phase === "active" || instance.phase === "draining";
            const preferred = inUse ? fleetState.chooseHome(name, sessions) : undefined;
            assert.is(instance.nextHome ?? instance.home, preferred);
            assert.ok(instance.home === undefined || zoneOf(after, instance.home) === zone);
            assert.ok(instance.home !== undefined || instance.phase !== "draining");
        }
    }
});

check("a home changes only under a higher generation, and generations never fall", steps => {
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

/** Whether the step ended the right of the drained instance's home to send it work. */
function endsHome(step: histories.Step, name: string, drained: fleetState.InstanceState): boolean {
    const record = step.record;
    if (!step.verdict.applied || record === undefined) {
        return false;
    }
    return record.kind === "home-released"
        ? record.instance === name && record.session === drained.home && record.generation === drained.generation
        : record.kind === "session-closed" && record.session === drained.home;
}

check("an instance is in one pool, which only a commit after the home's release changes", steps => {
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

check("versions go up one at a time, by a record that saw the version before", steps => {
    for (const { before, after, record } of steps) {
        const rise = (after.configuration?.version ?? 0) - (before.configuration?.version ?? 0);
        assert.ok(rise === 0 ? after.configuration === before.configuration : rise === 1);
        if (rise === 1) {
            assert.ok(record?.kind === "configuration-published");
            assert.is(record.expectedVersion, before.configuration?.version ?? 0);
        }
        for (const [name, profile] of before.profiles) {
            assert.ok([0, 1].includes((after.profiles.get(name)?.version ?? 0) - profile.version));
        }
    }
});

check("an epoch has one holder, and a decision under any other epoch changes nothing", steps => {
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

check("a session is closed at its newest renewal only and never opens again, and ids apply once", steps => {
    const closed = new Set<string>();
    const ids = new Set<string>();
    for (const { before, after, record, verdict } of steps) {
        if (verdict.applied && record?.kind === "session-closed") {
            closed.add(record.session);
            assert.is(before.sessions.get(record.session)?.renewalOffset, record.observedRenewal);
            const closerZone = zoneOf(before, record.author);
            assert.ok(record.reason !== "fenced" || closerZone === zoneOf(before, record.session));
            assert.ok(closerZone !== undefined);
        }
        if (verdict.applied && record !== undefined && !record.kind.endsWith("-renewed")) {
            assert.not(ids.has(record.id));
            ids.add(record.id);
        }
        assert.not([...after.sessions.keys()].some(session => closed.has(session)));
    }
});

check("a stop waits for no instance that is gone, and what it waits for never grows", steps => {
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

suite("a snapshot at any cut with the tail gives the whole log's state, and the fold is deterministic", () => {
    fc.assert(
        fc.property(histories.intents, fc.nat(), (wanted, place) => {
            const steps = histories.run(wanted);
            const cut = place % steps.length;
            const kept = JSON.stringify(fleetState.storeState(steps[cut]?.after ?? fleetState.emptyFleetState));
            const restored = fleetState.restoreState(JSON.parse(kept)) ?? assert.unreachable() as never;
            const end = steps.slice(cut + 1).reduce((state, step) => {
                const result = fleetState.applyEntry(state, step.entry);
                assert.equal(result.verdict, step.verdict);
                return result.state;
            }, restored);
            const again = histories.run(wanted).at(-1)?.after ?? fleetState.emptyFleetState;
            const whole = steps.at(-1)?.after ?? fleetState.emptyFleetState;
            assert.is(fleetState.hashState(end), fleetState.hashState(whole));
            assert.is(fleetState.hashState(again), fleetState.hashState(whole));
        }),
        histories.parameters,
    );
});

suite("the fold is total, and the offset never falls", () => {
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

suite("the window of ids keeps the newest and gives itself back", () => {
    const ids = Array.from({ length: 2000 }, (_, index) => `id-${index}`);
    const window = ids.reduce((kept, id) => idWindow.addId(kept, id), idWindow.createIdWindow(500));
    assert.ok(ids.slice(-500).every(id => idWindow.hasId(window, id)));
    assert.ok(idWindow.listIds(window).length <= 500 + 250);
    assert.equal(idWindow.restoreIds(500, idWindow.listIds(window)), window);
});

suite("a sharded map acts as a map, and its older copies stay as they were", () => {
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
