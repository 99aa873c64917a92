/** Plans driven through the fold: budgets, halts, waves that finish, moves and waits. */
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
    sizes: fastCheck.array(fastCheck.integer({ min: 2, max: 9 }), { minLength: 1, maxLength: 3 }),
    spares: fastCheck.nat(3),
    share: fastCheck.constantFrom(0, 0.15, 0.3, 0.5),
    minimum: fastCheck.nat(1),
    weights: fastCheck.constantFrom(
        { bufferCost: 5, rollOutTime: 1, moves: 1 },
        { bufferCost: 1, rollOutTime: 5, moves: 1 },
    ),
});

const fault = fastCheck.record({
    kind: fastCheck.constantFrom("rackLost", "rackBack", "unhealthy", "healthy", "slowVerdict", "cancel", "none"),
    subject: fastCheck.nat(30),
    ticks: fastCheck.integer({ min: 1, max: 8 }),
});

type Fault = typeof fault extends fastCheck.Arbitrary<infer Value> ? Value : never;

const faults: Readonly<Record<Fault["kind"], (fleet: testFleet.Fleet, subject: number) => void>> = {
    rackLost: (fleet, subject) => setRack(fleet, subject, "gone"),
    rackBack: (fleet, subject) => setRack(fleet, subject, "live"),
    unhealthy: (fleet, subject) => fleet.unhealthy.add(`i${subject}`),
    healthy: (fleet, subject) => fleet.unhealthy.delete(`i${subject}`),
    slowVerdict: () => undefined,
    cancel: (fleet, subject) => {
        if (subject === 0) {
            fleet.append({ kind: "stop-cancelled", stop: "stop1" });
        }
    },
    none: () => undefined,
};

function setRack(fleet: testFleet.Fleet, subject: number, state: "gone" | "live"): void {
    for (const member of fleet.members.values()) {
        if (member.rack === `r${subject % 8}`) {
            fleet.members.set(member.name, { ...member, state });
        }
    }
}

/** Checks the drafts against the state before them, draft by draft. */
function checkDrains(fleet: testFleet.Fleet, drafts: readonly planner.DecisionDraft[], pending: number): void {
    const out = new Map<string, number>();
    for (const draft of drafts) {
        const instance = fleet.state.instances.get(String(draft.instance));
        if (draft.kind !== "drain-started" || instance === undefined || instance.pool === "spare") {
            continue;
        }
        const { name } = instance.instance;
        if (fleet.unhealthy.has(name) || fleet.members.get(name)?.state !== "live") {
            continue;
        }
        const count = (out.get(instance.pool) ?? 0) + 1;
        out.set(instance.pool, count);
        const left = fleet.countAvailable(instance.pool) - count - pending;
        assert.ok(left >= fleet.countPromised(instance.pool), `${instance.pool}: ${left} left`);
    }
}

suite("no drain breaks an availability budget, whatever is lost meanwhile, and none starts while halted", () => {
    fastCheck.assert(
        fastCheck.property(shapes, fastCheck.array(fault, { maxLength: 25 }), (shape, steps) => {
            const fleet = testFleet.start(shape);
            fleet.announce({ availabilityZones: testFleet.zones });
            for (const step of steps) {
                faults[step.kind](fleet, step.subject);
                for (let tick = 0; tick < step.ticks; tick++) {
                    fleet.now += testFleet.tickMs;
                    const made = fleet.plan();
                    checkDrains(fleet, made.decisions, 0);
                    const halted = made.waits.some(wait => wait.reason === planner.WaitReason.halted);
                    const drains = made.decisions.filter(one =>
                        one.kind === "drain-started" && one.purpose.kind === "stop"
                    );
                    assert.ok(!halted || drains.length === 0);
                    if (step.kind === "slowVerdict") {
                        const again = fleet.plan(made.decisions);
                        const subjects = new Set(made.decisions.map(planner.getSubject));
                        assert.ok(again.decisions.every(one => !subjects.has(planner.getSubject(one))));
                        fleet.apply(made.decisions);
                        checkDrains(fleet, again.decisions, 0);
                        continue;
                    }
                    fleet.apply(made.decisions);
                    fleet.release();
                    fleet.reboot(made.reboots);
                }
            }
        }),
        { seed, numRuns: 150 },
    );
});

suite("a wave finishes when nothing fails, and every instance is rebooted once", () => {
    fastCheck.assert(
        fastCheck.property(shapes, shape => {
            const fleet = testFleet.start({ ...shape, minimum: Math.min(shape.minimum, Math.min(...shape.sizes) - 1) });
            fleet.announce({ availabilityZones: testFleet.zones });
            testFleet.finish(fleet);
            assert.ok([...fleet.members.values()].every(member => member.boot === 2));
        }),
        { seed, numRuns: 40 },
    );
});

suite("the first batch is one instance, and a failing return halts the wave until it recovers", () => {
    const fleet = testFleet.start(testFleet.basicShape);
    fleet.announce({ availabilityZones: testFleet.zones });
    fleet.tick();
    const first = [...fleet.state.instances.values()].filter(one => one.phase !== "active");
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
    assert.ok([...fleet.state.instances.values()].every(one => one.phase === "active"));
    fleet.unhealthy.delete(name);
    testFleet.finish(fleet);
});

suite("a failing return that was replaced from the spare pool no longer halts the wave", () => {
    const fleet = testFleet.start(testFleet.basicShape);
    fleet.announce({ availabilityZones: testFleet.zones });
    fleet.tick();
    const [first] = [...fleet.state.instances.values()].filter(one => one.phase !== "active");
    fleet.unhealthy.add((first as fleetState.InstanceState).instance.name);
    testFleet.finish(fleet);
    assert.is(fleet.moves, 1);
});

suite("an instance that does not come back is given up, and the wave goes on when it is replaced", () => {
    const fleet = testFleet.start(testFleet.basicShape);
    fleet.announce({ availabilityZones: testFleet.zones });
    fleet.tick();
    const [first] = [...fleet.state.instances.values()].filter(one => one.phase !== "active");
    const { name } = (first as fleetState.InstanceState).instance;
    fleet.members.set(name, { ...fleet.members.get(name) as schema.platform.Member, state: "gone" });
    fleet.reboot = () => undefined;
    while (fleet.state.instances.get(name)?.phase !== "active") {
        fleet.tick();
    }
    assert.ok(fleet.state.instances.get(name)?.failedReturn);
    fleet.reboot = testFleet.Fleet.prototype.reboot;
    testFleet.finish(fleet);
    assert.ok(fleet.state.stops.get("stop1")?.failed.includes(name));
});

suite("a loss in a pool calls back instances that are still draining", () => {
    const fleet = testFleet.start({ ...testFleet.basicShape, share: 0 });
    fleet.announce({ availabilityZones: testFleet.zones });
    fleet.release = () => undefined;
    fleet.tick();
    const [first] = [...fleet.state.instances.values()].filter(one => one.phase === "draining");
    const other = fleetState.instancesOfPool(fleet.state, String(first?.pool)).find(one => one.phase === "active");
    fleet.unhealthy.add(String(other?.instance.name));
    fleet.tick();
    assert.is(fleet.state.instances.get(String(first?.instance.name))?.phase, "active");
});

suite("a drain that lasts too long is reported and goes on", () => {
    const fleet = testFleet.start(testFleet.basicShape);
    fleet.announce({ availabilityZones: testFleet.zones });
    fleet.release = () => undefined;
    fleet.tick();
    fleet.now += 40_000;
    const made = fleet.tick();
    assert.is(made.overdue.length, 1);
    assert.is(made.decisions.filter(one => one.kind !== "drain-started").length, 0);
});

suite("a cancelled stop calls back what drains, and reboots what was stopped", () => {
    const fleet = testFleet.start(testFleet.basicShape);
    fleet.announce({ availabilityZones: testFleet.zones });
    fleet.tick();
    fleet.tick();
    fleet.append({ kind: "stop-cancelled", stop: "stop1" });
    testFleet.finish(fleet);
    assert.ok([...fleet.state.instances.values()].every(one => one.phase === "active"));
});

suite("a burst shorter than the least span moves nothing, sustained demand one spare instance or more", () => {
    fastCheck.assert(
        fastCheck.property(fastCheck.integer({ min: 1, max: 119 }), fastCheck.nat(30), (burstSeconds, offset) => {
            const fleet = testFleet.start(testFleet.basicShape);
            for (let second = 0; second < 500; second++) {
                const bursts = second >= 200 + offset && second < 200 + offset + burstSeconds;
                record(fleet, bursts ? 56 * 5 : 20);
                fleet.tick();
            }
            assert.is(fleet.moves, 0);
        }),
        { seed, numRuns: 20 },
    );
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

suite("where roll-out time weighs most, spare instances are borrowed for the critical pools", () => {
    const shape = {
        ...testFleet.basicShape,
        sizes: [7, 7],
        share: 0.15,
        weights: { bufferCost: 1, rollOutTime: 5, moves: 1 },
    };
    const [quick, plain] = [testFleet.start(shape), testFleet.start(shape)];
    plain.policy = planner.policies["budget-only"];
    for (const fleet of [quick, plain]) {
        fleet.announce({ availabilityZones: testFleet.zones });
    }
    const [quickMs, plainMs] = [testFleet.finish(quick), testFleet.finish(plain)];
    assert.is(quick.moves, 2);
    assert.ok(quickMs < plainMs, `${quickMs} ${plainMs}`);
});

suite("no drain starts whose home would not hear of it, for a stop or a move", () => {
    const fleet = testFleet.start(testFleet.basicShape);
    fleet.announce({ availabilityZones: ["z2"] });
    fleet.now += 3_001;
    fleet.renew("s-z1");
    fleet.renew("s-z3");
    const cutOff = fleet.plan();
    assert.equal(cutOff.decisions.filter(one => one.kind === "drain-started"), []);
    assert.is(cutOff.waits[0]?.reason, planner.WaitReason.homeUnreachable);
    fleet.renew("s-z2");
    assert.ok(fleet.plan().decisions.some(one => one.kind === "drain-started"));
});

suite("instances whose home is silent don't count towards a promise", () => {
    const fleet = testFleet.start({ ...testFleet.basicShape, spares: 0 });
    fleet.announce({ availabilityZones: ["z1"] });
    fleet.now += 3_001;
    fleet.renew("s-z1");
    fleet.renew("s-z3");
    const cutOff = fleet.plan();
    assert.equal(cutOff.decisions.filter(one => one.kind === "drain-started"), []);
    assert.is(cutOff.waits[0]?.reason, planner.WaitReason.budget);
    fleet.renew("s-z2");
    assert.ok(fleet.plan().decisions.some(one => one.kind === "drain-started"));
});

suite("nothing is decided without a configuration or with a stale membership list", () => {
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
    const stale = planner.plan({ ...input, membersReadAt: fleet.now - 61_000 });
    assert.equal(stale.decisions, []);
    assert.is(stale.waits[0]?.reason, planner.WaitReason.membershipStale);
});

suite.run();
