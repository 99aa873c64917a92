/**
 * Target sizes of pools and moves between them, under alternating bursts.
 *
 * An instance has 10 cores, of which placement fills 8.5; every pool keeps 2 instances. A burst also needs instances
 * for the backlog that builds up during the 1.5 s of a move.
 */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as scheduling from "./index.js";
import * as fixtures from "./testing/fixtures.js";

const suite = uvu.suite("pools");
const policy = scheduling.defaultPoolPolicy;
const standbyDemand = fixtures.createDemand("standby", { standby: true });

function listMoves(
    demands: readonly scheduling.PoolDemand[],
    instances: readonly scheduling.PoolInstance[],
    now: number,
    reserve = 0,
): string[] {
    return scheduling.planMoves(demands, instances, policy, reserve, now).moves.map(move =>
        `${move.instance}>${move.to}`
    );
}

suite("a burst takes empty instances from pools without work, then from the standby pool", () => {
    // `a` needs 6 instances, but `b` keeps its minimum of 2.
    const instances = [
        fixtures.createInstance("a1", "a"),
        fixtures.createInstance("b1", "b", { emptySince: 0 }),
        fixtures.createInstance("b2", "b"),
        fixtures.createInstance("b3", "b"),
        fixtures.createInstance("o1", "standby", { emptySince: 0 }),
    ];
    const demands = [fixtures.createDemand("a", { arrivingCores: 24 }), fixtures.createDemand("b"), standbyDemand];
    assert.equal(listMoves(demands, instances, 1000), ["b1>a", "o1>a"]);
});

suite("an instance that runs tasks never moves", () => {
    const instances = [fixtures.createInstance("a1", "a"), fixtures.createInstance("b1", "b")];
    const demands = [fixtures.createDemand("a", { arrivingCores: 100 }), fixtures.createDemand("b"), standbyDemand];
    assert.equal(listMoves(demands, instances, 60_000), []);
});

suite("instances that are being moved into a pool count as held, so a burst doesn't cause the same moves twice", () => {
    const instances = [
        fixtures.createInstance("a1", "a"),
        fixtures.createInstance("a2", "a", { available: false, beingMovedIn: true }),
        fixtures.createInstance("o1", "standby", { emptySince: 0 }),
    ];
    // 16 cores need both instances of `a`, and no third one.
    assert.equal(listMoves([fixtures.createDemand("a", { arrivingCores: 16 }), standbyDemand], instances, 1000), []);
});

suite("an instance that no pool needs moves to standby when it has been empty for long enough, not before", () => {
    const instances = ["a1", "a2", "a3"].map(id => fixtures.createInstance(id, "a", { emptySince: 0 }));
    const demands = [fixtures.createDemand("a"), standbyDemand];
    assert.equal(listMoves(demands, instances, policy.emptyTimeBeforeStandby - 1), []);
    assert.equal(listMoves(demands, instances, policy.emptyTimeBeforeStandby), ["a1>standby"]);
});

suite("a burst finds the instances on their way to standby that were idle shortly before it", () => {
    const instances = ["a1", "a2", "a3", "a4", "b1", "b2", "b3", "b4"]
        .map(id => fixtures.createInstance(id, id.slice(0, 1), { emptySince: 0 }));
    const idle = [fixtures.createDemand("a"), fixtures.createDemand("b"), standbyDemand];
    const burst = [fixtures.createDemand("a", { arrivingCores: 60 }), fixtures.createDemand("b"), standbyDemand];
    const peakNeed = new scheduling.PeakNeed(policy.peakWindow);
    const toStandby: number[] = [];
    // Every eighth second brings a burst of `a` that needs all instances.
    for (let now = 0; now < 50_000; now += 100) {
        const demands = now >= 8000 && now < 32_000 && now % 8000 < 1000 ? burst : idle;
        const reserve = peakNeed.find(now);
        const plan = scheduling.planMoves(demands, instances, policy, reserve, now);
        peakNeed.record(plan.needed, now);
        if (plan.moves.some(move => move.to === standbyDemand.service)) {
            toStandby.push(now);
        }
    }
    // The last burst ends just before 25 s.
    assert.ok(toStandby.length > 0);
    assert.ok(toStandby[0]! >= 24_900 + policy.peakWindow, `moved to standby at ${toStandby[0]}`);
});

suite("no instance leaves before a whole window has been observed, or all unused ones leave at once", () => {
    const peakNeed = new scheduling.PeakNeed(10_000);
    assert.is(peakNeed.find(0), Number.POSITIVE_INFINITY);
    peakNeed.record(20, 0, 100);
    assert.is(peakNeed.find(0), 100);
    assert.is(peakNeed.find(5000), 60);
    peakNeed.record(40, 5000, 80);
    assert.is(peakNeed.find(5000), 70);
    assert.is(peakNeed.find(10_000), 40);
    // The need that was seen last still counts; what was in service at first doesn't.
    assert.is(peakNeed.find(14_000), 40);
});

suite("instances beyond the largest recent need move to standby", () => {
    const instances = ["a1", "a2", "a3", "a4", "a5"].map(id => fixtures.createInstance(id, "a", { emptySince: 0 }));
    const demands = [fixtures.createDemand("a"), standbyDemand];
    assert.equal(listMoves(demands, instances, 60_000, 4), ["a1>standby"]);
    assert.equal(listMoves(demands, instances, 60_000, Number.POSITIVE_INFINITY), []);
});

suite("the floor keeps empty instances that long-running tasks need", () => {
    const instances = ["a1", "a2", "a3"].map(id => fixtures.createInstance(id, "a", { emptySince: 0 }));
    assert.equal(listMoves([fixtures.createDemand("a", { floor: 3 }), standbyDemand], instances, 60_000), []);
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

suite("a pool keeps its minimum size, for a burst that arrives while no instance can be moved", () => {
    const instances = ["a1", "a2", "a3"].map(id => fixtures.createInstance(id, "a", { emptySince: 0 }));
    assert.equal(listMoves([fixtures.createDemand("a"), standbyDemand], instances, 60_000), ["a1>standby"]);
});

suite("a small pool without a usable instance gets one, though another pool's burst needs all", () => {
    const instances = [
        fixtures.createInstance("a1", "a", { available: false }),
        ...["b1", "b2", "b3"].map(id => fixtures.createInstance(id, "b")),
        ...["o1", "o2", "o3"].map(id => fixtures.createInstance(id, "standby", { emptySince: 0 })),
    ];
    const demands = [
        fixtures.createDemand("b", { arrivingCores: 300 }),
        fixtures.createDemand("a", { backlog: 5 }),
        standbyDemand,
    ];
    const moves = scheduling.planMoves(demands, instances, { ...policy, minInstances: 1 }, 0, 1000).moves;
    assert.is(moves.filter(move => move.to === "a").length, 1);
    assert.is(moves.filter(move => move.to === "b").length, 2);
});

suite("instances of an unreachable availability zone are moved last", () => {
    // 10 cores need a second instance.
    const instances = [
        fixtures.createInstance("a1", "a"),
        fixtures.createInstance("o1", "standby", { emptySince: 0, zoneUnreachable: true }),
        fixtures.createInstance("o2", "standby", { emptySince: 500 }),
    ];
    assert.equal(listMoves([fixtures.createDemand("a", { arrivingCores: 10 }), standbyDemand], instances, 1000), [
        "o2>a",
    ]);
});

/** Ten busy instances in `a`, of which `a9` is the next to become empty, then `a8`, and two in `b`. */
function createBusyInstances(): scheduling.PoolInstance[] {
    return [
        ...Array.from({ length: 10 }, (_, i) => fixtures.createInstance(`a${i}`, "a", { busyFor: 1000 - 100 * i })),
        ...["b1", "b2"].map(id => fixtures.createInstance(id, "b")),
    ];
}

/** Drained instances while 80 cores of work arrive at `a`, which needs all its ten instances for it. */
function listDrained(
    instances: readonly scheduling.PoolInstance[],
    arrivingAtB: number,
    priorityOfA = 0,
): readonly string[] {
    const demands = [
        fixtures.createDemand("a", { arrivingCores: 80, priority: priorityOfA }),
        fixtures.createDemand("b", { arrivingCores: arrivingAtB }),
        standbyDemand,
    ];
    return scheduling.planMoves(demands, instances, policy, 0, 10_000).toDrain;
}

suite("of two pools with equal work, the larger one drains down to its share, soonest empty instances first", () => {
    // The share of `a` in the twelve instances is a half, and with a lower priority than that of `b` a third.
    assert.equal(listDrained(createBusyInstances(), 80), ["a9", "a8", "a7", "a6"]);
    assert.is(
        listDrained(createBusyInstances(), 80, 1).length,
        6,
        "a pool with a lower priority drains more instances",
    );
});

suite("no instance is drained for a small shortage, or when there are enough standby instances", () => {
    // 24 cores give `b` a share of 3 instances, one more than it holds.
    assert.equal(listDrained(createBusyInstances(), 24), []);
    // These cover the 8 instances that `b` lacks.
    const standbyInstances = Array.from(
        { length: 8 },
        (_, i) => fixtures.createInstance(`o${i}`, "standby", { emptySince: 0 }),
    );
    assert.equal(listDrained([...createBusyInstances(), ...standbyInstances], 80), []);
});

suite("an instance with long-running tasks is never drained for a burst, and a drained one moves at once", () => {
    const withLongRunning = createBusyInstances().map(one =>
        one.id === "a9" ? { ...one, busyFor: Number.POSITIVE_INFINITY } : one
    );
    assert.not(listDrained(withLongRunning, 80).includes("a9"));
    const emptied = createBusyInstances().map(one => one.id === "a9" ? { ...one, emptySince: 10_000 } : one);
    const demands = [
        fixtures.createDemand("a", { arrivingCores: 80 }),
        fixtures.createDemand("b", { arrivingCores: 80 }),
        standbyDemand,
    ];
    assert.equal(listMoves(demands, emptied, 10_000), ["a9>b"]);
});

suite.run();
