/** Plans driven through the fold: budgets, halts, waves that finish, registration, moves and waits. */
import * as fleetState from "@catkinwharf/fleet-state";
import type * as schema from "@catkinwharf/schema";
import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as planner from "./index.js";

const seed = 6_012_026;
const suite = uvu.suite(`plan (seed ${seed})`);
const zones = ["z1", "z2", "z3"];
const tickMs = 1000;
const coordinator = "s-z1";

interface Shape {
    readonly sizes: readonly number[];
    readonly spares: number;
    readonly share: number;
    readonly minimum: number;
    readonly weights: schema.log.Weights;
}

const basicShape: Shape = {
    sizes: [7, 6],
    spares: 2,
    share: 0.3,
    minimum: 1,
    weights: { bufferCost: 5, rollOutTime: 1, moves: 1 },
};

/** A fleet of members whose state only the drafts of plans and the test's own steps change. */
class Fleet {
    state = fleetState.emptyFleetState;
    now = 1_000_000;
    readonly members = new Map<string, schema.platform.Member>();
    readonly unhealthy = new Set<string>();
    readonly reboots = new Map<string, schema.platform.RebootAnswer>();
    readonly demand = new planner.DemandHistory();
    readonly observations = new planner.Observations();
    readonly rebootStarts = new Map<string, number>();
    readonly shape: Shape;
    policy: planner.Policy = planner.policies.chosen;
    moves = 0;
    rebootMs = 5000;

    constructor(shape: Shape) {
        this.shape = shape;
        for (const zone of zones) {
            this.append({
                kind: "session-opened",
                session: `s-${zone}`,
                entry: `e-${zone}`,
                availabilityZone: zone,
                peerAddress: { host: "127.0.0.1", port: 1 },
                operatorAddress: { host: "127.0.0.1", port: 2 },
            }, `s-${zone}`);
        }
        this.append({ kind: "lease-acquired", session: coordinator, observedOffset: -1 });
        const total = shape.sizes.reduce((sum, size) => sum + size, shape.spares);
        for (let index = 0; index < total; index++) {
            this.addMember(index);
        }
        this.publish();
    }

    addMember(index: number): void {
        const rack = Math.floor(index / 4);
        this.members.set(`i${index}`, {
            name: `i${index}`,
            role: "backend-server",
            availabilityZone: zones[rack % zones.length] as string,
            rack: `r${rack}`,
            address: { host: "127.0.0.1", port: 1000 + index },
            state: "live",
            boot: 1,
            slots: 8,
            connections: 64,
            memoryGigabytes: 64,
            accelerators: 0,
        });
    }

    publish(): void {
        const profile: schema.log.Profile = {
            name: "p",
            capacity: { slots: 8, connections: 64, memoryGigabytes: 64, accelerators: 0 },
            availability: { maxUnavailableShare: this.shape.share, minimumInstances: this.shape.minimum },
            disruption: { drainTimeoutMs: 30_000, checkpoint: false },
            weights: this.shape.weights,
        };
        this.append({ kind: "profile-published", profile, expectedVersion: 0 });
        this.append({ kind: "configuration-published", expectedVersion: 0, configuration: this.configure() });
    }

    configure(): schema.log.Configuration {
        const pools = this.shape.sizes.map((instances, index) => ({ name: `pool${index}`, instances }));
        const services = pools.map(pool => ({
            name: pool.name,
            profile: "p",
            pool: pool.name,
            timeoutMs: 1000,
            maxQueued: 100,
        }));
        return { services, pools, sparePool: "spare" };
    }

    append(body: Record<string, unknown>, author = coordinator): fleetState.Verdict {
        const epoch = /^(?:instance|drain|move)-/u.test(String(body["kind"])) ? { epoch: 1 } : {};
        const application = fleetState.applyEntry(this.state, {
            offset: this.state.nextOffset,
            appendedAt: this.now,
            body: { ...body, ...epoch, author, id: `id${this.state.nextOffset}` },
        });
        this.state = application.state;
        return application.verdict;
    }

    plan(pending: readonly planner.DecisionDraft[] = []): planner.Plan {
        const sighting = {
            state: this.state,
            members: [...this.members.values()],
            unhealthy: this.unhealthy,
            reboots: this.reboots,
        };
        this.observations.observe(sighting, this.now);
        return planner.plan({
            ...sighting,
            demand: this.demand,
            observations: this.observations,
            policy: this.policy,
            pending,
            now: this.now,
        });
    }

    apply(drafts: readonly planner.DecisionDraft[]): void {
        for (const draft of drafts) {
            const verdict = this.append({ ...draft });
            assert.ok(verdict.applied, `${JSON.stringify(draft)}: ${verdict.ignored}`);
            this.moves += draft.kind === "move-committed" ? 1 : 0;
        }
    }

    /** One plan, applied at once; homes release at once; reboots take their time. */
    tick(): planner.Plan {
        this.now += tickMs;
        const made = this.plan();
        this.apply(made.decisions);
        this.release();
        this.reboot(made.reboots);
        return made;
    }

    release(): void {
        for (const instance of this.state.instances.values()) {
            if (instance.phase === "draining") {
                const { home: session, generation } = instance;
                const body = { kind: "home-released", session, instance: instance.instance.name, generation };
                this.append(body, session);
            }
        }
    }

    reboot(pending: readonly planner.PendingReboot[]): void {
        for (const { instance, drain } of pending) {
            const startedAt = this.rebootStarts.get(drain) ?? this.now;
            this.rebootStarts.set(drain, startedAt);
            const member = this.members.get(instance);
            if (member !== undefined && this.now - startedAt >= this.rebootMs && !this.reboots.has(drain)) {
                this.reboots.set(drain, { state: "done", boot: member.boot + 1 });
                this.members.set(instance, { ...member, boot: member.boot + 1, state: "live" });
            }
        }
    }

    announce(targets: schema.log.StopTargets, name = "stop1"): void {
        this.append({ kind: "stop-announced", stop: { name, reason: "test", targets } });
    }

    /** Instances of a pool that can serve, by the definition of the schema and not the planner's own. */
    countAvailable(pool: string): number {
        return [...this.state.instances.values()].filter(({ pool: own, phase, instance: { name } }) =>
            own === pool && phase === "active" && !this.unhealthy.has(name)
            && this.members.get(name)?.state === "live"
        ).length;
    }

    countPromised(pool: string): number {
        const registered = fleetState.instancesOfPool(this.state, pool).length;
        const planned = this.shape.sizes[Number(pool.slice(4))] ?? 0;
        const total = Math.min(planned, registered);
        const allowed = Math.max(1, Math.floor(this.shape.share * total + 1e-9));
        return Math.max(this.shape.minimum, total - allowed);
    }

    listPools(): string[] {
        return this.shape.sizes.map((_size, index) => `pool${index}`);
    }
}

function start(shape: Shape): Fleet {
    const fleet = new Fleet(shape);
    fleet.tick();
    fleet.tick();
    return fleet;
}

function finish(fleet: Fleet, stop = "stop1", maxTicks = 2000): number {
    const startedAt = fleet.now;
    for (let index = 0; index < maxTicks; index++) {
        fleet.tick();
        if (fleetState.isFinished(fleet.state.stops.get(stop) as fleetState.StopState)) {
            return fleet.now - startedAt;
        }
    }
    throw new Error(`${stop} did not finish`);
}

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

const faults: Readonly<Record<Fault["kind"], (fleet: Fleet, subject: number) => void>> = {
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

function setRack(fleet: Fleet, subject: number, state: "gone" | "live"): void {
    for (const member of fleet.members.values()) {
        if (member.rack === `r${subject % 8}`) {
            fleet.members.set(member.name, { ...member, state });
        }
    }
}

/** Checks the drafts against the state before them, draft by draft. */
function checkDrains(fleet: Fleet, drafts: readonly planner.DecisionDraft[], pending: number): void {
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
            const fleet = start(shape);
            fleet.announce({ availabilityZones: zones });
            for (const step of steps) {
                faults[step.kind](fleet, step.subject);
                for (let tick = 0; tick < step.ticks; tick++) {
                    fleet.now += tickMs;
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
            const fleet = start({ ...shape, minimum: Math.min(shape.minimum, Math.min(...shape.sizes) - 1) });
            fleet.announce({ availabilityZones: zones });
            finish(fleet);
            assert.ok([...fleet.members.values()].every(member => member.boot === 2));
        }),
        { seed, numRuns: 40 },
    );
});

suite("registration fills the pools as planned, spread over racks and zones, and the spare pool last", () => {
    const fleet = start(basicShape);
    assert.is(fleetState.instancesOfPool(fleet.state, "pool0").length, 7);
    assert.is(fleetState.instancesOfPool(fleet.state, "pool1").length, 6);
    assert.is(fleetState.instancesOfPool(fleet.state, "spare").length, 2);
    const racks = fleetState.instancesOfPool(fleet.state, "pool1").map(one => one.instance.rack);
    assert.ok(Math.max(...racks.map(rack => racks.filter(other => other === rack).length)) <= 2);
});

suite("a changed address is registered anew, an absent instance unregistered after long, a lost zone never", () => {
    const fleet = start(basicShape);
    const member = fleet.members.get("i0") as schema.platform.Member;
    fleet.members.set("i0", { ...member, address: { host: "127.0.0.2", port: 9 } });
    fleet.tick();
    assert.is(fleet.state.instances.get("i0")?.instance.address.host, "127.0.0.2");
    fleet.members.set("i0", { ...member, state: "gone" });
    fleet.tick();
    fleet.now += 600_000;
    fleet.tick();
    assert.not(fleet.state.instances.has("i0"));
    for (const one of fleet.members.values()) {
        fleet.members.set(one.name, one.availabilityZone === "z2" ? { ...one, state: "gone" } : one);
    }
    const before = fleet.state.instances.size;
    fleet.tick();
    fleet.now += 3_600_000;
    fleet.tick();
    assert.is(fleet.state.instances.size, before);
});

suite("the first batch is one instance, and a failing return halts the wave until it recovers", () => {
    const fleet = start(basicShape);
    fleet.announce({ availabilityZones: zones });
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
    finish(fleet);
});

suite("a failing return that was replaced from the spare pool no longer halts the wave", () => {
    const fleet = start(basicShape);
    fleet.announce({ availabilityZones: zones });
    fleet.tick();
    const [first] = [...fleet.state.instances.values()].filter(one => one.phase !== "active");
    fleet.unhealthy.add((first as fleetState.InstanceState).instance.name);
    finish(fleet);
    assert.is(fleet.moves, 1);
});

suite("an instance that does not come back is given up, and the wave goes on when it is replaced", () => {
    const fleet = start(basicShape);
    fleet.announce({ availabilityZones: zones });
    fleet.tick();
    const [first] = [...fleet.state.instances.values()].filter(one => one.phase !== "active");
    const { name } = (first as fleetState.InstanceState).instance;
    fleet.members.set(name, { ...fleet.members.get(name) as schema.platform.Member, state: "gone" });
    fleet.reboot = () => undefined;
    while (fleet.state.instances.get(name)?.phase !== "active") {
        fleet.tick();
    }
    assert.ok(fleet.state.instances.get(name)?.failedReturn);
    fleet.reboot = Fleet.prototype.reboot;
    finish(fleet);
    assert.ok(fleet.state.stops.get("stop1")?.failed.includes(name));
});

suite("a loss in a pool calls back instances that are still draining", () => {
    const fleet = start({ ...basicShape, share: 0 });
    fleet.announce({ availabilityZones: zones });
    fleet.release = () => undefined;
    fleet.tick();
    const [first] = [...fleet.state.instances.values()].filter(one => one.phase === "draining");
    const other = fleetState.instancesOfPool(fleet.state, String(first?.pool)).find(one => one.phase === "active");
    fleet.unhealthy.add(String(other?.instance.name));
    fleet.tick();
    assert.is(fleet.state.instances.get(String(first?.instance.name))?.phase, "active");
});

suite("a drain that lasts too long is reported and goes on", () => {
    const fleet = start(basicShape);
    fleet.announce({ availabilityZones: zones });
    fleet.release = () => undefined;
    fleet.tick();
    fleet.now += 40_000;
    const made = fleet.tick();
    assert.is(made.overdue.length, 1);
    assert.is(made.decisions.filter(one => one.kind !== "drain-started").length, 0);
});

suite("a cancelled stop calls back what drains, and reboots what was stopped", () => {
    const fleet = start(basicShape);
    fleet.announce({ availabilityZones: zones });
    fleet.tick();
    fleet.tick();
    fleet.append({ kind: "stop-cancelled", stop: "stop1" });
    finish(fleet);
    assert.ok([...fleet.state.instances.values()].every(one => one.phase === "active"));
});

suite("a burst shorter than the least span moves nothing, sustained demand one spare instance or more", () => {
    fastCheck.assert(
        fastCheck.property(fastCheck.integer({ min: 1, max: 119 }), fastCheck.nat(30), (burstSeconds, offset) => {
            const fleet = start(basicShape);
            for (let second = 0; second < 500; second++) {
                const bursts = second >= 200 + offset && second < 200 + offset + burstSeconds;
                record(fleet, bursts ? 56 * 5 : 20);
                fleet.tick();
            }
            assert.is(fleet.moves, 0);
        }),
        { seed, numRuns: 20 },
    );
    const fleet = start(basicShape);
    for (let second = 0; second < 300; second++) {
        record(fleet, 56);
        fleet.tick();
    }
    assert.is(fleet.moves, 1);
});

function record(fleet: Fleet, busySlots: number): void {
    fleet.demand.record({ service: "pool0", busySlots, queued: 0, observedAt: fleet.now });
}

suite("where roll-out time weighs most, spare instances are borrowed for the critical pools", () => {
    const shape = { ...basicShape, sizes: [7, 7], share: 0.15, weights: { bufferCost: 1, rollOutTime: 5, moves: 1 } };
    const [quick, plain] = [start(shape), start(shape)];
    plain.policy = planner.policies["budget-only"];
    for (const fleet of [quick, plain]) {
        fleet.announce({ availabilityZones: zones });
    }
    const [quickMs, plainMs] = [finish(quick), finish(plain)];
    assert.is(quick.moves, 2);
    assert.ok(quickMs < plainMs, `${quickMs} ${plainMs}`);
});

suite("nothing is decided without a configuration or with a stale membership list", () => {
    const fleet = start(basicShape);
    fleet.announce({ availabilityZones: zones });
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
