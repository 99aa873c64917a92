/**
 * Pending decisions, which keep the coordinator from making a decision twice, and delayed hand-overs, which keep it
 * from handing over an instance whose requests still run.
 */
import * as fleetState from "@catkinwharf/fleet-state";
import * as planner from "@catkinwharf/planner";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as handOverGate from "./hand-over-gate.js";
import * as pendingDecisions from "./pending-decisions.js";

const suite = uvu.suite("decisions");
const address = { host: "127.0.0.1", port: 1 };
const drain: planner.DecisionDraft = {
    kind: "drain-started",
    instance: "i1",
    drain: "d1",
    purpose: { kind: "move", pool: "other" },
    startedAt: 0,
};

function append(state: fleetState.FleetState, body: Record<string, unknown>, appendedAt = 0): fleetState.FleetState {
    const entry = { offset: state.nextOffset, appendedAt, body: { id: `r${state.nextOffset}`, author: "s1", ...body } };
    return fleetState.applyEntry(state, entry).state;
}

function openSession(): fleetState.FleetState {
    const addresses = { peerAddress: address, operatorAddress: address };
    const body = { kind: "session-opened", session: "s1", entry: "e1", availabilityZone: "z1", ...addresses };
    const opened = append(fleetState.emptyFleetState, body);
    return append(opened, { kind: "lease-acquired", session: "s1", observedOffset: -1 });
}

suite("a decision stays pending until its record is read back", () => {
    const pending = new pendingDecisions.PendingDecisions();
    const state = openSession();
    pending.add("late", drain, state.lease.epoch, 0);
    assert.equal(pending.list(state), [drain]);
    assert.not(pending.isStuck(29_999));
    assert.ok(pending.isStuck(30_000));
    assert.equal(pending.list(append(state, { ...drain, id: "late", epoch: 1 })), []);
});

suite("a decision stays pending until its lease ends; from then on its record is ignored", () => {
    const pending = new pendingDecisions.PendingDecisions();
    const state = openSession();
    pending.add("late", drain, state.lease.epoch, 0);
    const released = append(state, { kind: "lease-released", session: "s1", epoch: 1 });
    assert.equal(pending.list(released), []);
    const late = { offset: released.nextOffset, appendedAt: 0, body: { ...drain, id: "late", author: "s1", epoch: 1 } };
    assert.is(fleetState.applyEntry(released, late).verdict.ignored, fleetState.IgnoreReason.staleEpoch);
});

suite(
    "a released instance is handed over once a report taken after the release shows no task, or after the longest wait",
    () => {
        let unchecked = 0;
        const gate = new handOverGate.HandOverGate({ maxWaitMs: 1_000, onUnchecked: () => unchecked += 1 });
        const handOver: planner.DecisionDraft = { kind: "instance-stopped", instance: "i1", drain: "d1" };
        const report = { instance: "i1", asOf: 500, runningTasks: 0, memoryGigabytes: 0 };
        const state = openSession();
        assert.equal(gate.filter([handOver, drain], state, [report], 0), [drain]);
        const renewal = { kind: "session-renewed", session: "s1", appliedOffset: 0, configurationVersion: 0 };
        const renewed = append(state, renewal, 600);
        assert.equal(gate.filter([handOver], renewed, [report], 1), []);
        assert.equal(gate.filter([handOver], renewed, [{ ...report, asOf: 600, runningTasks: 1 }], 2), []);
        assert.equal(gate.filter([handOver], renewed, [{ ...report, asOf: 600 }], 3), [handOver]);
        assert.is(unchecked, 0);
        assert.equal(gate.filter([handOver], renewed, [], 1_000), [handOver]);
        assert.is(unchecked, 1);
    },
);

suite.run();
