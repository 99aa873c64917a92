/**
 * Tests when the checker reports a request that started on a draining backend server: 5 s after the start of the drain,
 * or later if the home's availability zone was partitioned and the home could not learn of the drain.
 */
import * as testUtils from "@catkinwharf/test-utils";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as guaranteeChecker from "./guarantee-checker.js";

const suite = uvu.suite("guarantee checker");
const address = { host: "127.0.0.1", port: 1 };
const drainAt = 10_000;
const instance = {
    name: "i-1",
    availabilityZone: "zone-a",
    rack: "r1",
    address,
    slots: 1,
    connections: 1,
    memoryGigabytes: 1,
    accelerators: 0,
};
const profile = testUtils.createSmallDeployment().profiles[0];
const services = [{ name: "previews", profile: "standard", pool: "previews", timeoutMs: 1_000, maxQueued: 1 }];
const pools = [{ name: "previews", instances: 1 }];
const stop = { name: "s", reason: "r", targets: { instances: ["i-1"] } };
const records = [
    { kind: "session-opened", entry: "e", availabilityZone: "zone-a", peerAddress: address, operatorAddress: address },
    { kind: "lease-acquired", observedOffset: -1 },
    { kind: "profile-published", profile, expectedVersion: 0 },
    { kind: "configuration-published", configuration: { services, pools, sparePool: "spare" }, expectedVersion: 0 },
    { kind: "instance-registered", instance, pool: "previews", epoch: 1 },
    { kind: "stop-announced", stop },
    {
        kind: "drain-started",
        instance: "i-1",
        drain: "d",
        purpose: { kind: "stop", stop: "s" },
        startedAt: 0,
        epoch: 1,
    },
];
const needsSession = new Set(["session-opened", "lease-acquired"]);
const fleetEntries = records.map((record, offset) => ({
    offset,
    appendedAt: offset === records.length - 1 ? drainAt : 0,
    body: { id: `r${offset}`, author: "e.1", ...record, ...(needsSession.has(record.kind) ? { session: "e.1" } : {}) },
}));

function countViolations(start: number, zoneCuts: readonly testUtils.ZoneCut[]): number {
    const run = {
        instance: "i-1",
        requestId: "q",
        service: "previews",
        method: "GET",
        path: "/p",
        source: "",
        cut: false,
    };
    const executions = [{ ...run, start }];
    const emptyEvidence = { calls: [], versions: new Map(), sources: new Map() };
    return guaranteeChecker.checkGuarantees({ ...emptyEvidence, executions, fleetEntries, zoneCuts }).length;
}

suite("a draining server may receive requests for 5 s, and longer only if a zone cut hid the drain", () => {
    const cut = (availabilityZone: string, from: number, until: number | undefined): testUtils.ZoneCut[] => [
        { availabilityZone, from, until },
    ];
    assert.is(countViolations(15_000, []), 0);
    assert.is(countViolations(15_001, []), 1);
    assert.is(countViolations(60_000, cut("zone-a", 12_000, undefined)), 0);
    assert.is(countViolations(25_000, cut("zone-a", 9_000, 20_000)), 0);
    assert.is(countViolations(25_001, cut("zone-a", 9_000, 20_000)), 1);
    assert.is(countViolations(16_000, cut("zone-a", 15_000, 20_000)), 1);
    assert.is(countViolations(16_000, cut("zone-a", 0, 10_000)), 1);
    assert.is(countViolations(16_000, cut("zone-b", 9_000, 20_000)), 1);
});

suite.run();
