/** A coordinator whose heartbeats are merely late must not be replaced, and one that is gone must be replaced soon. */
import * as eventLog from "@catkinwharf/event-log";
import * as jobState from "@catkinwharf/job-state";
import * as storeClient from "@catkinwharf/store";
import * as neverthrow from "neverthrow";
import * as timers from "node:timers/promises";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as leaderElection from "./leader-election.js";
import * as serverFence from "./server-fence.js";

const suite = uvu.suite("leadership");
const seen: leaderElection.Observation = {
    leadership: {
        epoch: 3,
        node: "a",
        processStart: 1,
        resigned: false,
        ordersSettled: false,
        tenure: 0,
        lateness: 0,
        startDelay: 0,
    },
    silence: 0,
    jitter: 0,
    defers: false,
    latency: 0,
    probeResult: undefined,
};

suite("a process claims when the coordinator has been silent for the takeover timeout, not before", () => {
    assert.is(leaderElection.shouldClaim({ ...seen, silence: 1400 }, "b", 1), false);
    assert.ok(leaderElection.shouldClaim({ ...seen, silence: 1500 }, "b", 1));
    assert.is(leaderElection.shouldClaim({ ...seen, silence: 1500, jitter: 100 }, "b", 1), false);
});

suite("a silent coordinator that doesn't respond to probes is replaced sooner", () => {
    const denied = { ...seen, probeResult: storeClient.ProbeResult.denied };
    assert.is(leaderElection.shouldClaim({ ...denied, silence: 650 }, "b", 1), false);
    assert.ok(leaderElection.shouldClaim({ ...denied, silence: 700 }, "b", 1));
    assert.is(leaderElection.shouldClaim({ ...denied, silence: 1500, latency: 240 }, "b", 1), false);
});

suite("a silent coordinator that responds to probes is replaced too, but later", () => {
    const affirmed = { ...seen, probeResult: storeClient.ProbeResult.coordinating };
    assert.is(leaderElection.shouldClaim({ ...affirmed, silence: 2500 }, "b", 1), false);
    assert.ok(leaderElection.shouldClaim({ ...affirmed, silence: 3500 }, "b", 1));
});

suite("a coordinator is replaced although it is only busy, as its heartbeats said", () => {
    const busy = { ...seen, leadership: { ...seen.leadership!, lateness: 350 } };
    const silent = { ...busy, probeResult: storeClient.ProbeResult.silent };
    assert.is(leaderElection.shouldClaim({ ...silent, silence: 1600 }, "b", 1), false);
    assert.ok(leaderElection.shouldClaim({ ...silent, silence: 1700 }, "b", 1));
    assert.is(leaderElection.shouldClaim({ ...busy, silence: 2400 }, "b", 1), false);
    assert.ok(leaderElection.shouldClaim({ ...busy, silence: 2500 }, "b", 1));
    // However late it is, its successor needs time before the leases lapse, also one that defers.
    const veryLate = { ...silent, leadership: { ...seen.leadership!, lateness: 5000 }, silence: 1900 };
    assert.ok(leaderElection.shouldClaim(veryLate, "b", 1));
    assert.ok(leaderElection.shouldClaim({ ...veryLate, defers: true }, "b", 1));
});

suite("a busy coordinator that is gone is replaced as soon as any other", () => {
    const busy = { ...seen, leadership: { ...seen.leadership!, lateness: 400 } };
    const denied = { ...busy, probeResult: storeClient.ProbeResult.denied };
    assert.ok(leaderElection.shouldClaim({ ...denied, silence: 700 }, "b", 1));
});

suite("a slow store extends the takeover timeout", () => {
    assert.is(leaderElection.shouldClaim({ ...seen, silence: 2000, latency: 240 }, "b", 1), false);
    assert.ok(leaderElection.shouldClaim({ ...seen, silence: 2500, latency: 240 }, "b", 1));
});

suite("claims at once after a resignation, a restart of the coordinating process or without any earlier claim", () => {
    assert.ok(leaderElection.shouldClaim({ ...seen, leadership: { ...seen.leadership!, resigned: true } }, "b", 1));
    assert.ok(leaderElection.shouldClaim(seen, "a", 2));
    assert.is(leaderElection.shouldClaim(seen, "a", 1), false);
    assert.ok(leaderElection.shouldClaim({ ...seen, leadership: undefined }, "b", 1));
});

suite("a small process leaves the claim to a large one, but claims in the end", () => {
    const resigned = { ...seen.leadership!, resigned: true };
    for (
        const situation of [{ probeResult: storeClient.ProbeResult.silent }, { leadership: resigned }, {
            leadership: undefined,
        }]
    ) {
        const latestLargeClaim = { ...seen, ...situation, jitter: 300, silence: 1000 };
        assert.ok(leaderElection.shouldClaim(latestLargeClaim, "b", 1));
        assert.not(leaderElection.shouldClaim({ ...latestLargeClaim, defers: true, jitter: 0 }, "b", 1));
        assert.ok(leaderElection.shouldClaim({ ...latestLargeClaim, defers: true, silence: 2500 }, "b", 1));
    }
    // Not even after its own restart, which shows at once that the coordinator is gone.
    assert.not(leaderElection.shouldClaim({ ...seen, defers: true, silence: 1000 }, "a", 2));
});

suite(
    "a coordinator goes on though its starts wait long for relays, or gives up for a reset, a slow store or too soon",
    () => {
        const cutOff: leaderElection.StoreAccess = { directLoss: 1500, latency: 250, tenure: 15_000 };
        assert.ok(leaderElection.shouldHandOver(cutOff));
        assert.not(leaderElection.shouldHandOver({ ...cutOff, directLoss: 200 }));
        assert.not(leaderElection.shouldHandOver({ ...cutOff, directLoss: 0 }));
        assert.not(leaderElection.shouldHandOver({ ...cutOff, latency: 10 }));
        assert.not(leaderElection.shouldHandOver({ ...cutOff, tenure: 1000 }));
    },
);

suite("an epoch that was claimed during a shutdown has no coordinator until others miss its heartbeats", async () => {
    const stored: jobState.Leadership[] = [];
    const append: storeClient.StoreClient["append"] = (_, records) => {
        for (const { key, value } of records) {
            const record = jobState.decodeLedger(key, value);
            assert.ok(record?.kind === "leadership");
            stored.push(record.leadership);
            election.applyRecord(record);
        }
        election.stop();
        return Promise.resolve(neverthrow.ok({ kind: "stored", offset: 0, end: 1 }));
    };
    const claimed: number[] = [];
    const election = new leaderElection.LeaderElection({
        node: "a",
        processStart: 1,
        store: { append, latency: 0 } as unknown as storeClient.StoreClient,
        ledger: {
            loaded: true,
            caughtUpAt: Number.POSITIVE_INFINITY,
            nextOffset: 0,
            catchUp: () => Promise.resolve(true),
        } as unknown as storeClient.TopicFollower,
        log: eventLog.silentEventLog,
        clock: { monotonic: () => performance.now(), wall: () => Date.now() },
        onClaimed: ({ epoch }) => claimed.push(epoch),
        probeCoordinator: () => Promise.resolve(undefined),
        defers: () => false,
        isPrepared: () => true,
    });
    election.start();
    while (stored.length === 0) {
        await timers.setTimeout(10);
    }
    await timers.setTimeout(10);
    assert.equal(stored.map(({ epoch, resigned }) => ({ epoch, resigned })), [
        { epoch: serverFence.computeNextEpoch(0), resigned: false },
        { epoch: serverFence.computeNextEpoch(0), resigned: true },
    ]);
    assert.equal(claimed, []);
});

suite.run();
