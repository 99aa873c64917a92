/** A small simulated fleet for the planner's tests, and tests of the registration of its instances. */
import * as fleetState from "@catkinwharf/fleet-state";
import type * as schema from "@catkinwharf/schema";
import * as url from "node:url";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as planner from "./index.js";

export const zones = ["z1", "z2", "z3"];
export const tickMs = 1000;
const coordinator = "s-z1";

export interface Shape {
    readonly poolSizes: readonly number[];
    readonly spares: number;
    readonly maxUnavailableShare: number;
    readonly minimumInstances: number;
    readonly weights: schema.log.Weights;
}

export const basicShape: Shape = {
    poolSizes: [7, 6],
    spares: 2,
    maxUnavailableShare: 0.3,
    minimumInstances: 1,
    weights: { bufferCost: 5, rollOutTime: 1, moves: 1 },
};

/** A simulated fleet, whose state changes only by the drafts of plans and by the test's own records. */
export class Fleet {
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
        const total = shape.poolSizes.reduce((sum, size) => sum + size, shape.spares);
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
            availability: {
                maxUnavailableShare: this.shape.maxUnavailableShare,
                minimumInstances: this.shape.minimumInstances,
            },
            disruption: { drainTimeoutMs: 30_000, checkpoint: false },
            weights: this.shape.weights,
        };
        this.append({ kind: "profile-published", profile, expectedVersion: 0 });
        this.append({ kind: "configuration-published", expectedVersion: 0, configuration: this.createConfiguration() });
    }

    createConfiguration(): schema.log.Configuration {
        const pools = this.shape.poolSizes.map((instances, index) => ({ name: `pool${index}`, instances }));
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
        // The records of the coordinator's decisions carry its epoch.
        const epoch = /^(?:instance|drain|move)-/u.test(String(body["kind"])) ? { epoch: 1 } : {};
        const application = fleetState.applyEntry(this.state, {
            offset: this.state.nextOffset,
            appendedAt: this.now,
            body: { ...body, ...epoch, author, id: `id${this.state.nextOffset}` },
        });
        this.state = application.state;
        return application.verdict;
    }

    renew(session: string): void {
        this.append({ kind: "session-renewed", session, appliedOffset: 0, configurationVersion: 1 }, session);
    }

    plan(pending: readonly planner.DecisionDraft[] = []): planner.Plan {
        const observation = {
            state: this.state,
            members: [...this.members.values()],
            unhealthy: this.unhealthy,
            reboots: this.reboots,
        };
        this.observations.observe(observation, this.now);
        return planner.plan({
            ...observation,
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

    /** Creates one plan and applies it. Homes release instances immediately; a reboot takes `rebootMs`. */
    tick(): planner.Plan {
        this.now += tickMs;
        const plan = this.plan();
        this.apply(plan.decisions);
        this.release();
        this.reboot(plan.reboots);
        return plan;
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

    reboot(requests: readonly planner.RequestedReboot[]): void {
        for (const { instance, drain } of requests) {
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

    /**
     * Number of a pool's instances that can serve, counted without the planner and its rules for settling and homes.
     */
    countAvailable(pool: string): number {
        return [...this.state.instances.values()].filter(({ pool: own, phase, instance: { name } }) =>
            own === pool && phase === "active" && !this.unhealthy.has(name)
            && this.members.get(name)?.state === "live"
        ).length;
    }

    countRequired(pool: string): number {
        const total = this.shape.poolSizes[Number(pool.slice(4))] ?? 0;
        const allowed = Math.max(1, Math.floor(this.shape.maxUnavailableShare * total + 1e-9));
        return Math.max(this.shape.minimumInstances, total - allowed);
    }

    listPools(): string[] {
        return this.shape.poolSizes.map((_size, index) => `pool${index}`);
    }
}

/** Creates a fleet and runs two ticks, after which its instances are registered in their pools. */
export function start(shape: Shape): Fleet {
    const fleet = new Fleet(shape);
    fleet.tick();
    fleet.tick();
    return fleet;
}

/** Runs the fleet until the stop is finished. Returns the simulated duration in ms. */
export function runUntilFinished(fleet: Fleet, stop = "stop1", maxTicks = 2000): number {
    const startedAt = fleet.now;
    for (let index = 0; index < maxTicks; index++) {
        fleet.tick();
        if (fleetState.isFinished(fleet.state.stops.get(stop) as fleetState.StopState)) {
            return fleet.now - startedAt;
        }
    }
    throw new Error(`${stop} did not finish`);
}

const suite = uvu.suite("registration");

suite("registration fills the pools as planned, spread over racks and zones, and the spare pool last", () => {
    const fleet = start(basicShape);
    assert.is(fleetState.instancesOfPool(fleet.state, "pool0").length, 7);
    assert.is(fleetState.instancesOfPool(fleet.state, "pool1").length, 6);
    assert.is(fleetState.instancesOfPool(fleet.state, "spare").length, 2);
    const racks = fleetState.instancesOfPool(fleet.state, "pool1").map(instance => instance.instance.rack);
    assert.ok(Math.max(...racks.map(rack => racks.filter(other => other === rack).length)) <= 2);
});

suite(
    "a changed address is registered, a lost instance is unregistered, instances of a partitioned zone are kept",
    () => {
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
        for (const other of fleet.members.values()) {
            fleet.members.set(other.name, other.availabilityZone === "z2" ? { ...other, state: "gone" } : other);
        }
        const before = fleet.state.instances.size;
        fleet.tick();
        fleet.now += 3_600_000;
        fleet.tick();
        assert.is(fleet.state.instances.size, before);
    },
);

// Other test files import the fleet, so the suite runs only when this file is the entry point.
if (process.argv[1] === url.fileURLToPath(import.meta.url)) {
    suite.run();
}
