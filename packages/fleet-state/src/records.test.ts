/** Records shared by the tests of this package, and a test that they follow the schema. */
import * as schema from "@catkinwharf/schema";
import * as process from "node:process";
import * as url from "node:url";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as fleetState from "./index.js";

export type Body = Record<string, unknown>;

/** A record and its expected verdict: "applied" or the reason for which it is ignored. */
export type Row = readonly [record: Body, expected: string];

export const applied = "applied";
const address = { host: "10.0.0.1", port: 1 };

export function open(session: string, zone = "a"): Body {
    return {
        kind: "session-opened",
        author: session,
        session,
        entry: `entry-${session}`,
        availabilityZone: zone,
        peerAddress: address,
        operatorAddress: address,
    };
}

export function renew(session: string): Body {
    return { kind: "session-renewed", author: session, session, appliedOffset: 1, configurationVersion: 0 };
}

export function close(session: string, observedRenewal: number, reason: string, author = session): Body {
    return { kind: "session-closed", author, session, observedRenewal, reason };
}

export function acquire(session: string, observedOffset: number): Body {
    return { kind: "lease-acquired", author: session, session, observedOffset };
}

export function coordinatorRecord(kind: string, author: string, epoch: number, body: Body): Body {
    return { kind, author, epoch, ...body };
}

export function register(name: string, pool = "red", zone = "a", epoch = 1): Body {
    const size = { slots: 8, connections: 64, memoryGigabytes: 64, accelerators: 0 };
    const instance = { name, availabilityZone: zone, rack: `${zone}-rack`, address, ...size };
    return coordinatorRecord("instance-registered", "s1", epoch, { instance, pool });
}

export function drain(instance: string, purpose: Body): Body {
    return coordinatorRecord("drain-started", "s1", 1, { instance, drain: `d-${instance}`, purpose, startedAt: 5 });
}

export function drainStep(kind: string, instance: string, fields: Body = {}): Body {
    return coordinatorRecord(kind, "s1", 1, { instance, drain: `d-${instance}`, ...fields });
}

export function release(instance: string, generation: number, session = "s1"): Body {
    return { kind: "home-released", author: session, session, instance, generation };
}

export function announce(name: string, targets: Body): Body {
    return { kind: "stop-announced", author: "s1", stop: { name, reason: "kernel", targets } };
}

const profile = {
    name: "steady",
    capacity: { slots: 8, connections: 64, memoryGigabytes: 64, accelerators: 0 },
    availability: { maxUnavailableShare: 0.25, minimumInstances: 1 },
    disruption: { drainTimeoutMs: 1000, checkpoint: false },
    weights: { bufferCost: 1, rollOutTime: 1, moves: 1 },
};

export function publishProfile(expectedVersion: number): Body {
    return { kind: "profile-published", author: "s1", profile, expectedVersion };
}

export function configure(expectedVersion: number, change: Body = {}): Body {
    const service = { name: "weigh", profile: "steady", pool: "red", timeoutMs: 1000, maxQueued: 10 };
    const pools = [{ name: "red", instances: 2 }, { name: "blue", instances: 1 }];
    const configuration = { services: [service], pools, sparePool: "spare", ...change };
    return { kind: "configuration-published", author: "s1", configuration, expectedVersion };
}

/** Applies the records at offsets 0, 1, ... and checks each verdict. */
export function replay(rows: readonly Row[], initial = fleetState.emptyFleetState): fleetState.FleetState {
    let state = initial;
    for (const [record, expected] of rows) {
        const offset = state.nextOffset;
        const body = { id: `r-${offset}`, ...record };
        const result = fleetState.applyEntry(state, { offset, appendedAt: offset * 100, body });
        assert.is(result.verdict.ignored ?? applied, expected, `offset ${offset}: ${JSON.stringify(record)}`);
        state = result.state;
    }
    return state;
}

/** Session s1 holds the lease under epoch 1 (offset 1), and instance i1 is registered in pool red (offset 2). */
export const setupRows: readonly Row[] = [[open("s1"), applied], [acquire("s1", -1), applied], [
    register("i1"),
    applied,
]];
export const configuredRows: readonly Row[] = [...setupRows, [publishProfile(0), applied], [configure(0), applied]];

export function getInstance(state: fleetState.FleetState, name = "i1"): fleetState.InstanceState {
    return state.instances.get(name) ?? assert.unreachable(`no instance ${name}`) as never;
}

const suite = uvu.suite("records");

suite("the records used by the tests follow the schema", () => {
    const bodies = [
        ...configuredRows.map(([body]) => body),
        renew("s1"),
        close("s1", 0, "goodbye"),
        announce("stop", {}),
    ];
    for (const body of [...bodies, release("i1", 1), drain("i1", { kind: "stop", stop: "stop" })]) {
        assert.ok(schema.validators.logFleetRecord({ id: "r", ...body }), String(body["kind"]));
    }
});

if (process.argv[1] === url.fileURLToPath(import.meta.url)) {
    suite.run();
}
