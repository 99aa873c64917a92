import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as fleetState from "./index.js";
import * as records from "./records.test.js";

const suite = uvu.suite("sessions, lease and configuration");

suite("a malformed entry only advances the offset", () => {
    const bodies = [undefined, 1, "x", [], {}, { kind: "no-such" }, { ...records.open("s1"), id: "x", extra: 1 }];
    for (const body of bodies) {
        const result = fleetState.applyEntry(fleetState.emptyFleetState, { offset: 4, appendedAt: 0, body });
        assert.is(result.verdict.ignored, "malformed");
        assert.equal(result.state, { ...fleetState.emptyFleetState, nextOffset: 5 });
    }
});

suite("an entry whose offset or id was already applied changes nothing", () => {
    const state = records.replay([[{ ...records.open("s1"), id: "same" }, records.applied], [{
        ...records.open("s2"),
        id: "same",
    }, "duplicate"]]);
    const again = fleetState.applyEntry(state, {
        offset: 0,
        appendedAt: 0,
        body: { ...records.open("s3"), id: "other" },
    });
    assert.is(again.state, state);
    assert.is(again.verdict.ignored, "duplicate");
    assert.equal([...state.sessions.keys()], ["s1"]);
});

suite(
    "of two publications with the same expected version the first is applied, the second is a conflict and reads the version",
    () => {
        const state = records.replay([...records.configuredRows, [records.configure(0), "conflict"], [
            records.configure(1),
            records.applied,
        ], [
            records.configure(9),
            "conflict",
        ]]);
        assert.is(state.configuration?.version, 2);
        const body = { id: "late", ...records.configure(1) };
        const late = fleetState.applyEntry(state, { offset: state.nextOffset, appendedAt: 0, body });
        assert.equal(late.verdict, { applied: false, ignored: "conflict", version: 2 });
        records.replay([...records.configuredRows, [records.publishProfile(0), "conflict"], [
            records.publishProfile(1),
            records.applied,
        ]]);
    },
);

suite("an invalid configuration is ignored with the reason", () => {
    const service = { name: "weigh", profile: "steady", pool: "red", timeoutMs: 1000, maxQueued: 10 };
    records.replay([
        [records.configure(0), "profile-unknown"],
        [records.publishProfile(0), records.applied],
        [records.configure(0, { services: [service, service] }), "service-repeated"],
        [
            records.configure(0, { pools: [{ name: "red", instances: 1 }, { name: "red", instances: 2 }] }),
            "pool-repeated",
        ],
        [records.configure(0, { sparePool: "red" }), "pool-repeated"],
        [records.configure(0, { pools: [{ name: "blue", instances: 1 }] }), "pool-not-listed"],
        [records.configure(0), records.applied],
    ]);
});

suite("a session is opened once and renewed only by itself", () => {
    const state = records.replay([
        [records.open("s1"), records.applied],
        [records.open("s1"), "already-known"],
        [{ ...records.open("s2"), author: "s1" }, "wrong-author"],
        [records.renew("s1"), records.applied],
        [{ ...records.renew("s1"), author: "s2" }, "wrong-author"],
        [records.renew("s9"), "session-unknown"],
    ]);
    assert.is(state.sessions.get("s1")?.renewalOffset, 3);
    assert.is(state.sessions.get("s1")?.renewedAt, 300);
});

suite("a session is closed only by an authorized author that observed its newest renewal", () => {
    const state = records.replay([
        [records.open("s1"), records.applied],
        [records.open("s2"), records.applied],
        [records.open("far", "b"), records.applied],
        [records.renew("s1"), records.applied],
        [records.close("s1", 0, "fenced", "s2"), "stale-renewal"],
        [records.close("s1", 3, "fenced", "far"), "wrong-zone"],
        [records.close("s1", 3, "fenced", "gone"), "session-unknown"],
        [records.close("s1", 3, "goodbye", "s2"), "wrong-author"],
        [records.close("s1", 3, "fenced", "s2"), records.applied],
        [records.close("s1", 3, "fenced", "s2"), "session-unknown"],
        [records.renew("s1"), "session-unknown"],
        [records.open("s1"), "session-closed"],
        [records.close("far", 2, "operator", "gone"), "session-unknown"],
        [records.close("far", 2, "operator", "s2"), records.applied],
        [records.close("s2", 1, "goodbye"), records.applied],
    ]);
    assert.is(state.sessions.size, 0);
});

suite("acquiring the lease is a compare-and-set, and its epoch never decreases", () => {
    const state = records.replay([
        [records.open("s1"), records.applied],
        [records.open("s2"), records.applied],
        [records.acquire("s9", -1), "session-unknown"],
        [{ ...records.acquire("s1", -1), author: "s2" }, "wrong-author"],
        [records.acquire("s1", -1), records.applied],
        [records.acquire("s2", -1), "conflict"],
        [{ kind: "lease-renewed", author: "s1", session: "s1", epoch: 1 }, records.applied],
        [records.acquire("s2", 4), "conflict"],
        [records.acquire("s2", 6), records.applied],
        [{ kind: "lease-renewed", author: "s1", session: "s1", epoch: 1 }, "stale-epoch"],
        [records.register("i1"), "stale-epoch"],
        [{ kind: "lease-released", author: "s2", session: "s2", epoch: 2 }, records.applied],
        [records.acquire("s1", 11), records.applied],
        [records.close("s1", 0, "goodbye"), records.applied],
    ]);
    assert.equal(state.lease, { session: undefined, epoch: 3, offset: 12, renewedAt: 1200 });
});

suite("a new session that hashing prefers becomes the home after the old home released the instance", () => {
    const names = Array.from({ length: 50 }, (_, index) => `other-${index}`);
    const preferred = names.find(name => fleetState.chooseHome("i1", ["s1", name]) === name) ?? "";
    const opened = records.replay([...records.setupRows, [records.open(preferred), records.applied]]);
    assert.equal([
        records.getInstance(opened).home,
        records.getInstance(opened).nextHome,
        records.getInstance(opened).generation,
    ], [
        "s1",
        preferred,
        1,
    ]);
    const released = records.replay([[records.release("i1", 1), records.applied], [
        records.release("i1", 1),
        "stale-generation",
    ]], opened);
    assert.equal([
        records.getInstance(released).home,
        records.getInstance(released).nextHome,
        records.getInstance(released).generation,
    ], [
        preferred,
        undefined,
        2,
    ]);
    const closed = records.replay([[records.close(preferred, 3, "goodbye"), records.applied]], opened);
    assert.equal([records.getInstance(closed).home, records.getInstance(closed).nextHome], ["s1", undefined]);
});

suite("closing a session reassigns the homes of its active instances and releases its draining ones", () => {
    const state = records.replay([
        ...records.configuredRows,
        [records.register("i2"), records.applied],
        [records.drain("i2", { kind: "move", pool: "blue" }), records.applied],
        [records.close("s1", 0, "goodbye"), records.applied],
    ]);
    assert.equal([
        records.getInstance(state).home,
        records.getInstance(state).phase,
        records.getInstance(state).generation,
    ], [
        undefined,
        "active",
        2,
    ]);
    assert.equal([records.getInstance(state, "i2").home, records.getInstance(state, "i2").phase], [
        undefined,
        "released",
    ]);
    assert.is(state.lease.session, undefined);
    const reopened = records.replay(
        [[records.open("s2", "b"), records.applied], [records.open("s3"), records.applied]],
        state,
    );
    assert.equal([records.getInstance(reopened).home, records.getInstance(reopened, "i2").home], ["s3", undefined]);
});

suite("restoring the stored form yields the same state, and an invalid stored form is rejected", () => {
    const state = records.replay([...records.configuredRows, [
        records.drain("i1", { kind: "move", pool: "blue" }),
        records.applied,
    ]]);
    const stored = JSON.parse(JSON.stringify(fleetState.storeState(state)));
    assert.equal(fleetState.restoreState(stored), state);
    assert.is(fleetState.restoreState({ ...stored, lease: 1 }), undefined);
    assert.is(fleetState.restoreState(undefined), undefined);
});

suite("rendezvous hashing balances homes and moves only the instances of a removed session", () => {
    const sessions = ["s1", "s2", "s3", "s4"];
    const names = Array.from({ length: 1000 }, (_, index) => `instance-${index}`);
    const homes = names.map(name => fleetState.chooseHome(name, sessions));
    const fewer = names.map(name => fleetState.chooseHome(name, sessions.slice(0, 3).reverse()));
    for (const session of sessions) {
        assert.ok(homes.filter(home => home === session).length > 180);
    }
    assert.ok(homes.every((home, index) => home === "s4" || home === fewer[index]));
    assert.is(fleetState.chooseHome("i1", []), undefined);
});

suite.run();
