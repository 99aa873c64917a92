/** Applies plans to a fleet state and checks availability budgets, halts, completion of waves, moves and waits. */
import * as fleetState from "@catkinwharf/fleet-state";
import type * as schema from "@catkinwharf/schema";
import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as testFleet from "./fleet.test.js";
import * as planner from "./index.js";

const seed = 6_012_026;
const suite = uvu.suite(`plan (seed ${seed})`);

const shapes = fastCheck.record({
    poolSizes: fastCheck.array(fastCheck.integer({ min: 2, max: 9 }), { minLength: 1, maxLength: 3 }),
    spares: fastCheck.nat(3),
    maxUnavailableShare: fastCheck.constantFrom(0, 0.15, 0.3, 0.5),
    minimumInstances: fastCheck.nat(1),
    weights: fastCheck.constantFrom(
        { bufferCost: 5, rollOutTime: 1, moves: 1 },
        { bufferCost: 1, rollOutTime: 5, moves: 1 },
    ),
});

const fault = fastCheck.record({
    kind: fastCheck.constantFrom("rackLost", "rackBack", "unhealthy", "healthy", "slowVerdict", "cancel", "none"),
    /** Number of a rack (modulo 8) or of an instance; `cancel` acts only on 0. */
    target: fastCheck.nat(30),
    ticks: fastCheck.integer({ min: 1, max: 8 }),
});

type Fault = typeof fault extends fastCheck.Arbitrary<infer Value> ? Value : never;

const faults: Readonly<Record<Fault["kind"], (fleet: testFleet.Fleet, target: number) => void>> = {
    rackLost: (fleet, target) => setRackState(fleet, target, "gone"),
    rackBack: (fleet, target) => setRackState(fleet, target, "live"),
    unhealthy: (fleet, target) => fleet.unhealthy.add(`i${target}`),
    healthy: (fleet, target) => fleet.unhealthy.delete(`i${target}`),
    // Handled by the test: the drafts stay pending during one more plan.
    slowVerdict: () => undefined,
    cancel: (fleet, target) => {
        // Rare, so that most stops run on.
        // Rare, so that most stops run on.
        if (target === 0) {
            fleet.append({ kind: "stop-cancelled", stop: "stop1" });
        }
    },
    none: () => undefined,
};

function setRackState(fleet: testFleet.Fleet, target: number, state: "gone" | "live"): void {
    for (const member of fleet.members.values()) {
        if (member.rack === `r${target % 8}`) {
            fleet.members.set(member.name, { ...member, state });
        }
    }
}

/**
 * Checks for each drain in turn that the pool keeps its required instances. The fleet must be in the state before the
 * drafts are applied; `pending` more instances count as drained.
 */
function checkDrains(fleet: testFleet.Fleet, drafts: readonly planner.DecisionDraft[], pending: number): void {
    const drainCounts = new Map<string, number>();
    for (const draft of drafts) {
        const instance = fleet.state.instances.get(String(draft.instance));
        if (draft.kind !== "drain-started" || instance === undefined || instance.pool === "spare") {
            continue;
        }
        const { name } = instance.instance;
        if (fleet.unhealthy.has(name) || fleet.members.get(name)?.state !== "live") {
            continue;
        }
        const count = (drainCounts.get(instance.pool) ?? 0) + 1;
        drainCounts.set(instance.pool, count);
        const remaining = fleet.countAvailable(instance.pool) - count - pending;
        assert.ok(remaining >= fleet.countRequired(instance.pool), `${instance.pool}: ${remaining} left`);
    }
}

suite("drains keep availability budgets, whatever fails meanwhile, and none starts while a stop is halted", () => {
    fastCheck.assert(
        fastCheck.property(shapes, fastCheck.array(fault, { maxLength: 25 }), (shape, steps) => {
            const fleet = testFleet.start(shape);
            fleet.announce({ availabilityZones: testFleet.zones });
            for (const step of steps) {
                faults[step.kind](fleet, step.target);
                for (let tick = 0; tick < step.ticks; tick++) {
                    fleet.now += testFleet.tickMs;
                    const plan = fleet.plan();
                    checkDrains(fleet, plan.decisions, 0);
                    const halted = plan.waits.some(wait => wait.reason === planner.WaitReason.halted);
                    const drains = plan.decisions.filter(decision =>
                        decision.kind === "drain-started" && decision.purpose.kind === "stop"
                    );
                    assert.ok(!halted || drains.length === 0);
                    if (step.kind === "slowVerdict") {
                        const nextPlan = fleet.plan(plan.decisions);
                        const subjects = new Set(plan.decisions.map(planner.getInstanceName));
                        assert.ok(
                            nextPlan.decisions.every(decision => !subjects.has(planner.getInstanceName(decision))),
                        );
                        fleet.apply(plan.decisions);
                        checkDrains(fleet, nextPlan.decisions, 0);
                        continue;
                    }
                    fleet.apply(plan.decisions);
                    fleet.release();
                    fleet.reboot(plan.reboots);
                }
            }
        }),
        { seed, numRuns: 150 },
    );
});

suite("a wave finishes when nothing fails, and every instance is rebooted once", () => {
    fastCheck.assert(
        fastCheck.property(shapes, shape => {
            // At least one instance of each pool must be allowed to drain, otherwise the stop can't finish.
            const fleet = testFleet.start({
                ...shape,
                minimumInstances: Math.min(shape.minimumInstances, Math.min(...shape.poolSizes) - 1),
            });
            fleet.announce({ availabilityZones: testFleet.zones });
            testFleet.runUntilFinished(fleet);
            assert.ok([...fleet.members.values()].every(member => member.boot === 2));
        }),
        { seed, numRuns: 40 },
    );
});

suite("the first batch is one instance, and the wave halts while it fails after its return", () => {
    const fleet = testFleet.start(testFleet.basicShape);
    fleet.announce({ availabilityZones: testFleet.zones });
    fleet.tick();
    const first = [...fleet.state.instances.values()].filter(instance => instance.phase !== "active");
    assert.is(first.length, 1);
    assert.is(fleet.plan().waits[0]?.reason, planner.WaitReason.firstBatch);
    const { name } = (first[0] as fleetState.InstanceState).instance;
    fleet.unhealthy.add(name);
    while (fleet.state.instances.get(name)?.phase !== "active") {
        fleet.tick();
    }
    for (let tick = 0; tick < 20; tick++) {
        assert.is(fleet.tick().waits[0]?.reason, planner.WaitReason.halted);
    }
    assert.ok([...fleet.state.instances.values()].every(instance => instance.phase === "active"));
    fleet.unhealthy.delete(name);
    testFleet.runUntilFinished(fleet);
});

suite("a failing instance that was replaced from the spare pool no longer halts the wave", () => {
    const fleet = testFleet.start(testFleet.basicShape);
    fleet.announce({ availabilityZones: testFleet.zones });
    fleet.tick();
    const [first] = [...fleet.state.instances.values()].filter(instance => instance.phase !== "active");
    fleet.unhealthy.add((first as fleetState.InstanceState).instance.name);
    testFleet.runUntilFinished(fleet);
    assert.is(fleet.moves, 1);
});

suite("an instance that does not return counts as failed, and the wave continues once it is replaced", () => {
    const fleet = testFleet.start(testFleet.basicShape);
    fleet.announce({ availabilityZones: testFleet.zones });
    fleet.tick();
    const [first] = [...fleet.state.instances.values()].filter(instance => instance.phase !== "active");
    const { name } = (first as fleetState.InstanceState).instance;
    fleet.members.set(name, { ...fleet.members.get(name) as schema.platform.Member, state: "gone" });
    fleet.reboot = () => undefined;
    while (fleet.state.instances.get(name)?.phase !== "active") {
        fleet.tick();
    }
    assert.ok(fleet.state.instances.get(name)?.failedReturn);
    fleet.reboot = testFleet.Fleet.prototype.reboot;
    testFleet.runUntilFinished(fleet);
    assert.ok(fleet.state.stops.get("stop1")?.failed.includes(name));
});

suite("a loss in a pool cancels drains that have not finished", () => {
    const fleet = testFleet.start({ ...testFleet.basicShape, maxUnavailableShare: 0 });
    fleet.announce({ availabilityZones: testFleet.zones });
    fleet.release = () => undefined;
    fleet.tick();
    const [first] = [...fleet.state.instances.values()].filter(instance => instance.phase === "draining");
    const other = fleetState.instancesOfPool(fleet.state, String(first?.pool)).find(instance =>
        instance.phase === "active"
    );
    fleet.unhealthy.add(String(other?.instance.name));
    fleet.tick();
    assert.is(fleet.state.instances.get(String(first?.instance.name))?.phase, "active");
});

suite("an overdue drain is reported and not cancelled", () => {
    const fleet = testFleet.start(testFleet.basicShape);
    fleet.announce({ availabilityZones: testFleet.zones });
    fleet.release = () => undefined;
    fleet.tick();
    // Above the drain timeout of 30 s.
    fleet.now += 40_000;
    const plan = fleet.tick();
    assert.is(plan.overdue.length, 1);
    assert.is(plan.decisions.filter(decision => decision.kind !== "drain-started").length, 0);
});

suite("cancelling a stop cancels its drains and completes the reboots of stopped instances", () => {
    const fleet = testFleet.start(testFleet.basicShape);
    fleet.announce({ availabilityZones: testFleet.zones });
    fleet.tick();
    fleet.tick();
    fleet.append({ kind: "stop-cancelled", stop: "stop1" });
    testFleet.runUntilFinished(fleet);
    assert.ok([...fleet.state.instances.values()].every(instance => instance.phase === "active"));
});

suite("a burst of demand shorter than two minutes causes no move, sustained demand moves a spare instance", () => {
    fastCheck.assert(
        fastCheck.property(fastCheck.integer({ min: 1, max: 119 }), fastCheck.nat(30), (burstSeconds, offset) => {
            const fleet = testFleet.start(testFleet.basicShape);
            for (let second = 0; second < 500; second++) {
                const isBurst = second >= 200 + offset && second < 200 + offset + burstSeconds;
                // Five times the 56 slots of the pool (7 instances with 8 slots each).
                record(fleet, isBurst ? 56 * 5 : 20);
                fleet.tick();
            }
            assert.is(fleet.moves, 0);
        }),
        { seed, numRuns: 20 },
    );
    // All 56 slots of the pool are busy for 300 s.
    const fleet = testFleet.start(testFleet.basicShape);
    for (let second = 0; second < 300; second++) {
        record(fleet, 56);
        fleet.tick();
    }
    assert.is(fleet.moves, 1);
});

function record(fleet: testFleet.Fleet, busySlots: number): void {
    fleet.demand.record({ service: "pool0", busySlots, queued: 0, observedAt: fleet.now });
}

suite("spare instances are borrowed for the slowest pools when roll-out time has the highest weight", () => {
    const shape = {
        ...testFleet.basicShape,
        poolSizes: [7, 7],
        maxUnavailableShare: 0.15,
        weights: { bufferCost: 1, rollOutTime: 5, moves: 1 },
    };
    const [withBorrowing, budgetOnly] = [testFleet.start(shape), testFleet.start(shape)];
    budgetOnly.policy = planner.policies["budget-only"];
    for (const fleet of [withBorrowing, budgetOnly]) {
        fleet.announce({ availabilityZones: testFleet.zones });
    }
    const [withBorrowingMs, budgetOnlyMs] = [
        testFleet.runUntilFinished(withBorrowing),
        testFleet.runUntilFinished(budgetOnly),
    ];
    assert.is(withBorrowing.moves, 2);
    assert.ok(withBorrowingMs < budgetOnlyMs, `${withBorrowingMs} ${budgetOnlyMs}`);
});

suite("no drain starts, for a stop or a move, while the home of the instance does not renew its session", () => {
    const fleet = testFleet.start(testFleet.basicShape);
    fleet.announce({ availabilityZones: ["z2"] });
    // Just above the default maximum lag of a home's session renewal.
    fleet.now += 3_001;
    fleet.renew("s-z1");
    fleet.renew("s-z3");
    const plan = fleet.plan();
    assert.equal(plan.decisions.filter(decision => decision.kind === "drain-started"), []);
    assert.is(plan.waits[0]?.reason, planner.WaitReason.homeUnreachable);
    fleet.renew("s-z2");
    assert.ok(fleet.plan().decisions.some(decision => decision.kind === "drain-started"));
});

suite("instances whose home does not renew its session don't count as available", () => {
    const fleet = testFleet.start({ ...testFleet.basicShape, spares: 0 });
    fleet.announce({ availabilityZones: ["z1"] });
    // Just above the default maximum lag of a home's session renewal.
    fleet.now += 3_001;
    fleet.renew("s-z1");
    fleet.renew("s-z3");
    const plan = fleet.plan();
    assert.equal(plan.decisions.filter(decision => decision.kind === "drain-started"), []);
    assert.is(plan.waits[0]?.reason, planner.WaitReason.budget);
    fleet.renew("s-z2");
    assert.ok(fleet.plan().decisions.some(decision => decision.kind === "drain-started"));
});

suite("no drain starts without a configuration or with a stale membership list", () => {
    const fleet = testFleet.start(testFleet.basicShape);
    fleet.announce({ availabilityZones: testFleet.zones });
    const input = {
        state: fleet.state,
        members: [...fleet.members.values()],
        unhealthy: fleet.unhealthy,
        reboots: fleet.reboots,
        demand: fleet.demand,
        observations: fleet.observations,
        policy: fleet.policy,
        now: fleet.now,
    };
    const missing = planner.plan({ ...input, state: { ...fleet.state, configuration: undefined } });
    assert.equal(missing.decisions, []);
    assert.is(missing.waits[0]?.reason, planner.WaitReason.configurationMissing);
    // Just above the maximum age of the membership list.
    const stale = planner.plan({ ...input, membersReadAt: fleet.now - 61_000 });
    assert.equal(stale.decisions, []);
    assert.is(stale.waits[0]?.reason, planner.WaitReason.membershipStale);
});

suite.run();
