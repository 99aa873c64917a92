/** Target sizes of pools and moves between them, under alternating bursts. */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as scheduling from "./index.js";
import * as fixtures from "./testing/fixtures.js";

const suite = uvu.suite("pools");
const policy = scheduling.defaultPoolPolicy;
const standbyPool = fixtures.createDemand("off", { standby: true });

function listMoves(
    demands: readonly scheduling.PoolDemand[],
    instances: readonly scheduling.PoolInstance[],
    now: number,
): string[] {
    return scheduling.planMoves(demands, instances, policy, now).moves.map(move => `${move.instance}>${move.to}`);
}

suite("a burst takes empty instances from pools whose burst is over, then from the standby pool", () => {
    const instances = [
        fixtures.createInstance("a1", "a"),
        fixtures.createInstance("b1", "b", { emptySince: 0 }),
        fixtures.createInstance("b2", "b"),
        fixtures.createInstance("b3", "b"),
        fixtures.createInstance("o1", "off", { emptySince: 0 }),
    ];
    const demands = [fixtures.createDemand("a", { arriving: 24 }), fixtures.createDemand("b"), standbyPool];
    assert.equal(listMoves(demands, instances, 1000), ["b1>a", "o1>a"]);
});

suite("an instance that runs something never moves", () => {
    const instances = [fixtures.createInstance("a1", "a"), fixtures.createInstance("b1", "b")];
    const demands = [fixtures.createDemand("a", { arriving: 100 }), fixtures.createDemand("b"), standbyPool];
    assert.equal(listMoves(demands, instances, 60_000), []);
});

suite("instances that are being moved into a pool count, so that a burst doesn't cause the same moves twice", () => {
    const instances = [
        fixtures.createInstance("a1", "a"),
        fixtures.createInstance("a2", "a", { available: false, arriving: true }),
        fixtures.createInstance("o1", "off", { emptySince: 0 }),
    ];
    assert.equal(listMoves([fixtures.createDemand("a", { arriving: 16 }), standbyPool], instances, 1000), []);
});

suite("an instance that no pool needs moves to standby after its idle time, not before", () => {
    const instances = ["a1", "a2", "a3"].map(id => fixtures.createInstance(id, "a", { emptySince: 0 }));
    const demands = [fixtures.createDemand("a"), standbyPool];
    assert.equal(listMoves(demands, instances, policy.idleBeforeStandby - 1), []);
    assert.equal(listMoves(demands, instances, policy.idleBeforeStandby), ["a1>off"]);
});

suite("the floor keeps instances for long-running tasks", () => {
    const instances = ["a1", "a2", "a3"].map(id => fixtures.createInstance(id, "a", { emptySince: 0 }));
    assert.equal(listMoves([fixtures.createDemand("a", { floor: 3 }), standbyPool], instances, 60_000), []);
});

suite("a backlog of jobs that can wait longer needs fewer instances", () => {
    const tolerant = fixtures.createDemand("a", { backlog: 60, allowedWait: 3000 });
    const urgent = fixtures.createDemand("a", { backlog: 60, allowedWait: 1000 });
    assert.ok(
        scheduling.computeTargetSize(tolerant, 10, 10, policy) < scheduling.computeTargetSize(urgent, 10, 10, policy),
    );
});

suite("a backlog that the pool works off before a moved instance is usable needs only the minimum size", () => {
    const demand = fixtures.createDemand("a", { backlog: 10 });
    assert.is(scheduling.computeTargetSize(demand, 20, 10, policy), policy.minInstances);
});

suite("a pool keeps its minimum size for a burst that arrives while no machine can be moved", () => {
    const instances = ["a1", "a2", "a3"].map(id => fixtures.createInstance(id, "a", { emptySince: 0 }));
    assert.equal(listMoves([fixtures.createDemand("a"), standbyPool], instances, 60_000), ["a1>off"]);
});

suite("a small pool without a usable instance gets one, though another pool's burst needs all", () => {
    const instances = [
        fixtures.createInstance("a1", "a", { available: false }),
        ...["b1", "b2", "b3"].map(id => fixtures.createInstance(id, "b")),
        ...["o1", "o2", "o3"].map(id => fixtures.createInstance(id, "off", { emptySince: 0 })),
    ];
    const demands = [
        fixtures.createDemand("b", { arriving: 300 }),
        fixtures.createDemand("a", { backlog: 5 }),
        standbyPool,
    ];
    const moves = scheduling.planMoves(demands, instances, { ...policy, minInstances: 1 }, 1000).moves;
    assert.is(moves.filter(move => move.to === "a").length, 1);
    assert.is(moves.filter(move => move.to === "b").length, 2);
});

suite("instances of an unreachable availability zone are moved last", () => {
    const instances = [
        fixtures.createInstance("a1", "a"),
        fixtures.createInstance("o1", "off", { emptySince: 0, zoneUnreachable: true }),
        fixtures.createInstance("o2", "off", { emptySince: 500 }),
    ];
    assert.equal(listMoves([fixtures.createDemand("a", { arriving: 10 }), standbyPool], instances, 1000), ["o2>a"]);
});

/** Ten busy instances in `a`, whose burst is over but has left a backlog, and two in `b`, whose burst begins. */
function createOverlappingBursts(): scheduling.PoolInstance[] {
    return [
        ...Array.from({ length: 10 }, (_, i) => fixtures.createInstance(`a${i}`, "a", { busyFor: 1000 - 100 * i })),
        ...["b1", "b2"].map(id => fixtures.createInstance(id, "b")),
    ];
}

function listReleased(
    instances: readonly scheduling.PoolInstance[],
    arriving: number,
    priority = 0,
): readonly string[] {
    const demands = [
        fixtures.createDemand("a", { arriving: 80, priority }),
        fixtures.createDemand("b", { arriving }),
        standbyPool,
    ];
    return scheduling.planMoves(demands, instances, policy, 10_000).release;
}

suite("a pool whose burst is over drains instances for another pool's burst, soonest empty first", () => {
    assert.equal(listReleased(createOverlappingBursts(), 80), ["a9", "a8", "a7", "a6"]);
    assert.is(listReleased(createOverlappingBursts(), 80, 1).length, 6, "a pool with a lower priority drains more");
});

suite("no instance is drained for a small shortage, or when there are enough standby instances", () => {
    assert.equal(listReleased(createOverlappingBursts(), 24), []);
    const off = Array.from({ length: 8 }, (_, i) => fixtures.createInstance(`o${i}`, "off", { emptySince: 0 }));
    assert.equal(listReleased([...createOverlappingBursts(), ...off], 80), []);
});

suite("an instance with long-running tasks is never drained for a burst, and a drained one moves at once", () => {
    const pinned = createOverlappingBursts().map(one =>
        one.id === "a9" ? { ...one, busyFor: Number.POSITIVE_INFINITY } : one
    );
    assert.not(listReleased(pinned, 80).includes("a9"));
    const emptied = createOverlappingBursts().map(one => one.id === "a9" ? { ...one, emptySince: 10_000 } : one);
    const demands = [
        fixtures.createDemand("a", { arriving: 80 }),
        fixtures.createDemand("b", { arriving: 80 }),
        standbyPool,
    ];
    assert.equal(listMoves(demands, emptied, 10_000), ["a9>b"]);
});

suite.run();
