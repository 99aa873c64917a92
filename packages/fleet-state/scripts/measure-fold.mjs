/**
 * Benchmark of applying entries: time per record kind and size of the stored state, for several numbers of instances.
 *
 * Usage: tsc -b && node --expose-gc packages/fleet-state/scripts/measure-fold.mjs
 */
import * as crypto from "node:crypto";
import * as fleetState from "../dist/index.js";

const sizes = [
    { instances: 72, sessions: 8, zones: 3, pools: 5 },
    { instances: 720, sessions: 40, zones: 8, pools: 12 },
    { instances: 7200, sessions: 240, zones: 8, pools: 41 },
];
const rounds = 200;
const claimCount = 100_000;
const address = { host: "10.10.10.10", port: 7400 };
const capacity = { slots: 8, connections: 64, memoryGigabytes: 256, accelerators: 2 };

class Stream {
    state = fleetState.emptyFleetState;
    times = new Map();

    /** Applies a record and stores the time taken, in us. */
    append(body) {
        const entry = {
            offset: this.state.nextOffset,
            appendedAt: this.state.nextOffset,
            body: { id: crypto.randomUUID(), ...body },
        };
        const start = process.hrtime.bigint();
        const result = fleetState.applyEntry(this.state, entry);
        const took = Number(process.hrtime.bigint() - start) / 1000;
        if (!result.verdict.applied) {
            throw new Error(`${body.kind}: ${result.verdict.ignored}`);
        }
        this.state = result.state;
        this.times.set(body.kind, [...(this.times.get(body.kind) ?? []), took]);
    }

    open(session, zone) {
        const addresses = { peerAddress: address, operatorAddress: address };
        this.append({
            kind: "session-opened",
            author: session,
            session,
            entry: session,
            availabilityZone: zone,
            ...addresses,
        });
    }

    decide(kind, body) {
        this.append({ kind, author: "session-0", epoch: 1, ...body });
    }

    release(instance) {
        const { home, generation } = this.state.instances.get(instance);
        this.append({ kind: "home-released", author: home, session: home, instance, generation });
    }
}

function fill(size) {
    const stream = new Stream();
    const profile = {
        name: "steady",
        capacity,
        availability: { maxUnavailableShare: 0.1, minimumInstances: 1 },
        disruption: { drainTimeoutMs: 60000, checkpoint: false },
        weights: { bufferCost: 1, rollOutTime: 1, moves: 1 },
    };
    stream.append({ kind: "profile-published", author: "op", profile, expectedVersion: 0 });
    for (let index = 0; index < size.sessions; index++) {
        stream.open(`session-${index}`, `zone-${index % size.zones}`);
    }
    stream.append({ kind: "lease-acquired", author: "session-0", session: "session-0", observedOffset: -1 });
    for (let index = 0; index < size.instances; index++) {
        const zone = `zone-${index % size.zones}`;
        const rack = `${zone}-rack-${Math.floor(index / size.zones / 4)}`;
        const instance = { name: `instance-${index}`, availabilityZone: zone, rack, address, ...capacity };
        stream.decide("instance-registered", { instance, pool: `pool-${index % size.pools}` });
    }
    stream.times.clear();
    return stream;
}

function configure(stream, size, round) {
    const names = Array.from({ length: size.pools }, (_, index) => `pool-${index}`);
    const pools = names.map(name => ({ name, instances: round }));
    const services = names.map(name => ({ name, profile: "steady", pool: name, timeoutMs: 1000, maxQueued: 100 }));
    const configuration = { services, pools, sparePool: "spare" };
    stream.append({ kind: "configuration-published", author: "op", configuration, expectedVersion: round });
}

/** One move, one reboot, one new registration, one restarted session and the renewals. */
function runRound(stream, size, round) {
    configure(stream, size, round);
    const moved = `instance-${round % (size.instances / 2)}`;
    const drain = `drain-${round}`;
    const pool = stream.state.instances.get(moved).pool === "spare" ? "pool-0" : "spare";
    stream.decide("drain-started", { instance: moved, drain, purpose: { kind: "move", pool }, startedAt: 0 });
    stream.release(moved);
    stream.decide("move-committed", { instance: moved, drain });
    const stop = `stop-${round}`;
    const stopped = `instance-${size.instances / 2 + round % (size.instances / 2)}`;
    const targets = { availabilityZones: [stream.state.instances.get(stopped).instance.availabilityZone] };
    stream.append({ kind: "stop-announced", author: "op", stop: { name: stop, reason: "kernel", targets } });
    stream.decide("drain-started", { instance: stopped, drain, purpose: { kind: "stop", stop }, startedAt: 0 });
    stream.release(stopped);
    stream.decide("instance-stopped", { instance: stopped, drain });
    stream.decide("instance-returned", { instance: stopped, drain, healthy: true });
    stream.append({ kind: "stop-cancelled", author: "op", stop });
    const { instance, pool: oldPool } = stream.state.instances.get(stopped);
    stream.decide("instance-unregistered", { instance: stopped });
    stream.decide("instance-registered", { instance, pool: oldPool });
    stream.open(`extra-${round}`, "zone-0");
    const { renewalOffset } = stream.state.sessions.get(`extra-${round}`);
    const author = `extra-${round}`;
    const closing = { kind: "session-closed", author, session: author, observedRenewal: renewalOffset };
    stream.append({ ...closing, reason: "goodbye" });
    const seen = { appliedOffset: stream.state.nextOffset, configurationVersion: round };
    stream.append({ kind: "session-renewed", author: "session-0", session: "session-0", ...seen });
    stream.append({ kind: "lease-renewed", author: "session-0", session: "session-0", epoch: 1 });
}

function pick(values, share) {
    return [...values].sort((left, right) => left - right)[Math.floor(values.length * share)];
}

function timeMs(work) {
    const start = performance.now();
    const result = work();
    return [performance.now() - start, result];
}

function measureFleet(size) {
    const stream = fill(size);
    for (let round = 0; round < rounds; round++) {
        runRound(stream, size, round);
    }
    console.log(`\n${size.instances} instances, ${size.sessions} sessions, ${size.pools} pools`);
    for (const [kind, times] of [...stream.times].sort(([left], [right]) => left < right ? -1 : 1)) {
        console.log(
            `${kind.padEnd(26)} median ${pick(times, 0.5).toFixed(1)} us, p99 ${pick(times, 0.99).toFixed(1)} us`,
        );
    }
    const [storeMs, stored] = timeMs(() => JSON.stringify(fleetState.storeState(stream.state)));
    const [hashMs] = timeMs(() => fleetState.hashState(stream.state));
    const [restoreMs, restored] = timeMs(() => fleetState.restoreState(JSON.parse(stored)));
    const parts = Object.entries(JSON.parse(stored)).map(([key, part]) => `${key} ${JSON.stringify(part).length}`);
    console.log(`stored ${stored.length} bytes: ${parts.join(", ")}`);
    console.log(`store ${storeMs.toFixed(1)} ms, hash ${hashMs.toFixed(1)} ms, restore ${restoreMs.toFixed(1)} ms`);
    console.log(`heap of the state: ${measureHeap(stored)} bytes`);
    if (fleetState.hashState(restored) !== fleetState.hashState(stream.state)) {
        throw new Error("the restored state differs");
    }
}

function measureHeap(stored) {
    globalThis.gc?.();
    const before = process.memoryUsage().heapUsed;
    const state = fleetState.restoreState(JSON.parse(stored));
    globalThis.gc?.();
    const used = process.memoryUsage().heapUsed - before;
    return state === undefined ? 0 : used;
}

function measureClaims() {
    globalThis.gc?.();
    const heapBefore = process.memoryUsage().heapUsed;
    const table = new fleetState.ClaimTable();
    const times = [];
    for (let index = 0; index < claimCount; index++) {
        const author = `session-${index % 240}`;
        const requestId = `request-${index}`;
        const key = `service/${String(index).padStart(36, "0")}`;
        const fingerprint = String(index).padStart(64, "0");
        const body = { kind: "key-claimed", id: requestId, author, key, session: author, requestId, fingerprint };
        const start = process.hrtime.bigint();
        table.apply({ offset: index, appendedAt: index, body });
        times.push(Number(process.hrtime.bigint() - start) / 1000);
    }
    const [median, high] = [pick(times, 0.5), pick(times, 0.99)];
    times.length = 0;
    globalThis.gc?.();
    const heap = (process.memoryUsage().heapUsed - heapBefore) / table.size;
    console.log(
        `\n${table.size} claims: median ${median.toFixed(1)} us, p99 ${high.toFixed(1)} us, ${
            heap.toFixed(0)
        } bytes of heap each`,
    );
}

for (const size of sizes) {
    measureFleet(size);
}
measureClaims();
