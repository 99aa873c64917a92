import type * as schema from "@catkinwharf/schema";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as fleetState from "./index.js";
import * as records from "./records.test.js";

const suite = uvu.suite("instances and stops");

suite("registering a known instance again updates its address but not its pool, zone or rack", () => {
    const other = records.register("i1");
    const instance = other["instance"] as schema.log.Instance;
    const moved = { ...instance, address: { host: "10.0.0.9", port: 2 } };
    const state = records.replay([
        ...records.setupRows,
        [{ ...other, instance: moved }, records.applied],
        [records.register("i1", "blue"), "wrong-phase"],
        [records.register("i1", "red", "b"), "wrong-zone"],
        [{ ...other, instance: { ...instance, rack: "r9" } }, "already-known"],
    ]);
    assert.equal(records.getInstance(state).instance, moved);
    assert.is(records.getInstance(state).generation, 1);
});

suite("an instance registered again under the same name gets a higher generation", () => {
    const state = records.replay([
        ...records.setupRows,
        [records.coordinatorRecord("instance-unregistered", "s1", 1, { instance: "i1" }), records.applied],
        [records.coordinatorRecord("instance-unregistered", "s1", 1, { instance: "i1" }), "instance-unknown"],
        [records.register("i1", "blue"), records.applied],
        [records.release("i1", 1), "stale-generation"],
    ]);
    assert.is(records.getInstance(state).generation, 2);
});

suite("a move changes the pool only after the home released the instance", () => {
    const state = records.replay([
        ...records.configuredRows,
        [records.drain("i9", { kind: "move", pool: "blue" }), "instance-unknown"],
        [records.drain("i1", { kind: "move", pool: "red" }), "pool-unknown"],
        [records.drain("i1", { kind: "move", pool: "green" }), "pool-unknown"],
        [records.drain("i1", { kind: "move", pool: "blue" }), records.applied],
        [records.drain("i1", { kind: "move", pool: "blue" }), "wrong-phase"],
        [records.drainStep("move-committed", "i1"), "not-released"],
        [records.release("i1", 0), "stale-generation"],
        [{ ...records.release("i1", 1), author: "s2" }, "wrong-author"],
        [records.release("i1", 1), records.applied],
        [{ ...records.drainStep("move-committed", "i1"), drain: "other" }, "drain-unknown"],
        [records.drainStep("instance-stopped", "i1"), "wrong-phase"],
        [records.drainStep("move-committed", "i1"), records.applied],
        [records.release("i1", 3), "wrong-phase"],
    ]);
    assert.equal({ ...records.getInstance(state), instance: undefined }, {
        instance: undefined,
        pool: "blue",
        phase: "active",
        drain: undefined,
        home: "s1",
        nextHome: undefined,
        generation: 3,
        failedReturn: false,
    });
});

suite("cancelling a drain makes the instance active again in its old pool", () => {
    const draining: readonly records.Row[] = [...records.configuredRows, [
        records.drain("i1", { kind: "move", pool: "spare" }),
        records.applied,
    ]];
    const kept = records.replay([...draining, [records.drainStep("drain-cancelled", "i1"), records.applied]]);
    assert.equal([
        records.getInstance(kept).phase,
        records.getInstance(kept).home,
        records.getInstance(kept).generation,
    ], [
        "active",
        "s1",
        1,
    ]);
    const released = records.replay([...draining, [records.release("i1", 1), records.applied], [
        records.drainStep("drain-cancelled", "i1"),
        records.applied,
    ]]);
    assert.equal([
        records.getInstance(released).pool,
        records.getInstance(released).home,
        records.getInstance(released).generation,
    ], [
        "red",
        "s1",
        3,
    ]);
});

suite("a planned stop drains and reboots its instances and records each return", () => {
    const state = records.replay([
        ...records.configuredRows,
        [records.register("i2"), records.applied],
        [records.announce("stop", { instances: ["i2", "i9"], racks: ["a-rack"] }), records.applied],
        [records.announce("stop", {}), "conflict"],
        [records.register("i3"), records.applied],
        [records.drain("i1", { kind: "stop", stop: "none" }), "stop-unknown"],
        [records.drain("i3", { kind: "stop", stop: "stop" }), "not-covered"],
        [records.drain("i1", { kind: "stop", stop: "stop" }), records.applied],
        [records.release("i1", 1), records.applied],
        [records.drainStep("instance-returned", "i1", { healthy: true }), "wrong-phase"],
        [records.drainStep("instance-stopped", "i1"), records.applied],
        [records.drainStep("drain-cancelled", "i1"), "wrong-phase"],
        [records.drainStep("instance-returned", "i1", { healthy: false }), records.applied],
        [records.drain("i1", { kind: "stop", stop: "stop" }), "not-covered"],
        [records.drain("i2", { kind: "stop", stop: "stop" }), records.applied],
        [records.release("i2", 1), records.applied],
        [records.drainStep("instance-stopped", "i2"), records.applied],
    ]);
    assert.equal([
        records.getInstance(state).phase,
        records.getInstance(state).failedReturn,
        records.getInstance(state).home,
    ], [
        "active",
        true,
        "s1",
    ]);
    assert.equal(state.stops.get("stop")?.failed, ["i1"]);
    assert.equal(state.stops.get("stop")?.remaining, ["i2"]);
    const finished = records.replay(
        [[records.drainStep("instance-returned", "i2", { healthy: true }), records.applied]],
        state,
    );
    assert.equal(finished.stops.get("stop")?.returned, ["i2"]);
});

suite("a cancelled stop waits only for the instances being drained or rebooted for it", () => {
    const state = records.replay([
        ...records.configuredRows,
        [records.register("i2"), records.applied],
        [records.announce("stop", { availabilityZones: ["a"] }), records.applied],
        [records.drain("i1", { kind: "stop", stop: "stop" }), records.applied],
        [{ kind: "stop-cancelled", author: "s1", stop: "stop" }, records.applied],
        [{ kind: "stop-cancelled", author: "s1", stop: "stop" }, "stop-cancelled"],
        [{ kind: "stop-cancelled", author: "s1", stop: "none" }, "stop-unknown"],
        [records.drain("i2", { kind: "stop", stop: "stop" }), "stop-cancelled"],
    ]);
    assert.equal(state.stops.get("stop")?.remaining, ["i1"]);
    const afterCancellation = records.replay([[records.drainStep("drain-cancelled", "i1"), records.applied]], state);
    assert.equal(afterCancellation.stops.get("stop")?.remaining, []);
});

suite("an unregistered instance counts as failed in the stops that wait for it", () => {
    const state = records.replay([
        ...records.setupRows,
        [records.announce("stop", { instances: ["i1"] }), records.applied],
        [records.coordinatorRecord("instance-unregistered", "s1", 1, { instance: "i1" }), records.applied],
    ]);
    assert.equal([state.stops.get("stop")?.remaining, state.stops.get("stop")?.failed], [[], ["i1"]]);
});

suite("only the newest finished stops are kept", () => {
    const rows = Array.from(
        { length: 203 },
        (_, index): records.Row => [records.announce(`stop-${index}`, {}), records.applied],
    );
    const state = records.replay([...records.setupRows, [
        records.announce("open", { instances: ["i1"] }),
        records.applied,
    ], ...rows]);
    assert.is(state.stops.size, fleetState.maxFinishedStops + 1);
    assert.ok(state.stops.has("open"));
    assert.not(state.stops.has("stop-2"));
    assert.ok(state.stops.has("stop-3"));
});

suite.run();
