/**
 * Measures one round of the coordinator: observing and planning, at several numbers of instances, in a quiet fleet and
 * during a planned stop of an availability zone.
 *
 * Usage: tsc -b && node packages/planner/scripts/measure-plan.mjs
 */
import * as fleetState from "@catkinwharf/fleet-state";
import * as planner from "@catkinwharf/planner";
import * as crypto from "node:crypto";

const sizes = [
    { instances: 72, zones: 3, pools: 5 },
    { instances: 720, zones: 8, pools: 12 },
    { instances: 7200, zones: 8, pools: 41 },
];
const planCount = 60;
const planIntervalMs = 250;
const address = { host: "127.0.0.1", port: 1 };
const capacity = { slots: 8, connections: 64, memoryGigabytes: 256, accelerators: 2 };

class Fleet {
    state = fleetState.emptyFleetState;
    members = [];

    append(body) {
        const entry = {
            offset: this.state.nextOffset,
            appendedAt: 0,
            body: { id: crypto.randomUUID(), author: "session-0", ...body },
        };
        const result = fleetState.applyEntry(this.state, entry);
        if (!result.verdict.applied) {
            throw new Error(`${body.kind}: ${result.verdict.ignored}`);
        }
        this.state = result.state;
    }

    add(index, size) {
        const zone = `zone-${index % size.zones}`;
        const rack = `${zone}-rack-${Math.floor(index / size.zones / 4)}`;
        const instance = { name: `instance-${index}`, availabilityZone: zone, rack, address, ...capacity };
        this.append({ kind: "instance-registered", epoch: 1, instance, pool: `pool-${index % size.pools}` });
        this.members.push({ ...instance, role: "backend-server", state: "live", boot: 1 });
    }
}

function fill(size) {
    const fleet = new Fleet();
    const weights = { bufferCost: 1, rollOutTime: 1, moves: 1 };
    const availability = { maxUnavailableShare: 0.1, minimumInstances: 1 };
    const disruption = { drainTimeoutMs: 60_000, checkpoint: false };
    const profile = { name: "steady", capacity, availability, disruption, weights };
    fleet.append({ kind: "profile-published", profile, expectedVersion: 0 });
    for (let zone = 0; zone < size.zones; zone++) {
        const session = `session-${zone}`;
        const addresses = { peerAddress: address, operatorAddress: address };
        const opened = { session, entry: session, availabilityZone: `zone-${zone}`, ...addresses };
        fleet.append({ kind: "session-opened", author: session, ...opened });
    }
    fleet.append({ kind: "lease-acquired", session: "session-0", observedOffset: -1 });
    for (let index = 0; index < size.instances; index++) {
        fleet.add(index, size);
    }
    const configuration = createConfiguration(fleet, size);
    fleet.append({ kind: "configuration-published", configuration, expectedVersion: 0 });
    return fleet;
}

function createConfiguration(fleet, size) {
    const names = Array.from({ length: size.pools }, (_, index) => `pool-${index}`);
    const services = names.map(name => ({ name, profile: "steady", pool: name, timeoutMs: 1000, maxQueued: 100 }));
    const pools = names.map(name => ({ name, instances: fleetState.instancesOfPool(fleet.state, name).length }));
    return { services, pools, sparePool: "spare" };
}

function measure(fleet) {
    const observations = new planner.Observations();
    const demand = new planner.DemandHistory();
    const times = [];
    let now = 1_000_000;
    let decisionsOfLastPlan = 0;
    for (let index = 0; index < planCount; index++) {
        now += planIntervalMs;
        const input = {
            state: fleet.state,
            members: fleet.members,
            membersReadAt: now,
            unhealthy: new Set(),
            reboots: new Map(),
            demand,
            observations,
            now,
            policy: planner.policies.chosen,
        };
        const startedAt = performance.now();
        observations.observe(input, now);
        decisionsOfLastPlan = planner.plan(input).decisions.length;
        times.push(performance.now() - startedAt);
    }
    times.sort((left, right) => left - right);
    const [median, longest] = [times[planCount / 2], times.at(-1)].map(time => time.toFixed(2));
    return `median ${median} ms, longest ${longest} ms, ${decisionsOfLastPlan} decisions`;
}

for (const size of sizes) {
    const fleet = fill(size);
    console.log(`${size.instances} instances, ${size.pools} pools, quiet: ${measure(fleet)}`);
    const stop = { name: "stop-1", reason: "kernel", targets: { availabilityZones: ["zone-0"] } };
    fleet.append({ kind: "stop-announced", stop });
    console.log(`${size.instances} instances, ${size.pools} pools, stop of a zone: ${measure(fleet)}`);
    console.log(`    membership list: ${JSON.stringify({ members: fleet.members }).length} bytes`);
}
