import * as fc from "fast-check";
import * as neverthrow from "neverthrow";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as fence from "./fence.js";
import * as pauseDetector from "./pause-detector.js";
import * as sessionCloser from "./session-closer.js";

const seed = 996;
const times = {
    renewMs: 1_000,
    fenceMs: 6_000,
    fenceMarginMs: 2_000,
    secondLimitMs: 45_000,
    leaseMs: 6_000,
    heartbeatMs: 500,
    peerTimeoutMs: 2_000,
};
const { PeerReachability, Permission } = fence;

const suite = uvu.suite(`fence (seed ${seed})`);

suite("the permission to dispatch depends on the age of the newest renewal and the reachability of peers", () => {
    const table = [
        [undefined, [], 0, Permission.fenced],
        [0, [PeerReachability.unreachable], 5_999, Permission.fresh],
        [0, [PeerReachability.answering, PeerReachability.gone], 600_000, Permission.sheltered],
        [0, [], 600_000, Permission.sheltered],
        [0, [PeerReachability.answering, PeerReachability.unreachable], 44_999, Permission.limited],
        [0, [PeerReachability.answering, PeerReachability.unreachable], 45_000, Permission.fenced],
    ] as const;
    for (const [confirmedAt, zonePeers, now, expected] of table) {
        assert.is(fence.decidePermission({ confirmedAt, resumedAt: undefined, zonePeers, times }, now), expected);
    }
});

suite("never closes a session that may still dispatch", () => {
    const time = fc.integer({ min: 0, max: 120_000 });
    const delay = fc.integer({ min: 0, max: 60_000 });
    fc.assert(
        fc.property(time, delay, fc.option(time, { nil: undefined }), delay, delay, fc.boolean(), (
            renewalSentAt,
            renewalDelay,
            heartbeatSentAt,
            heartbeatDelay,
            later,
            closerSeesHolder,
        ) => {
            const renewalReadAt = renewalSentAt + renewalDelay;
            const heartbeatAnsweredAt = heartbeatSentAt === undefined ? undefined : heartbeatSentAt + heartbeatDelay;
            const now = Math.max(renewalReadAt, heartbeatAnsweredAt ?? 0) + later;
            const holderReachability = fence.classifyPeer(
                { gone: false, answeredHeartbeatSentAt: heartbeatSentAt },
                times,
                now,
            );
            const holder = fence.decidePermission({
                confirmedAt: renewalSentAt,
                resumedAt: undefined,
                zonePeers: [holderReachability],
                times,
            }, now);
            const closable = fence.listClosableSessions({
                candidates: [{
                    session: "holder",
                    renewalReadAt,
                    heartbeatAnsweredAt,
                    reachability: closerSeesHolder ? PeerReachability.answering : PeerReachability.unreachable,
                }],
                fresh: true,
                times,
            }, now);
            return closable.length === 0 || holder === Permission.fenced;
        }),
        { seed, numRuns: 2_000 },
    );
});

suite("after a long pause, only a renewal sent since then permits dispatching", () => {
    const decide = (confirmedAt: number, resumedAt: number): fence.Permission =>
        fence.decidePermission({ confirmedAt, resumedAt, zonePeers: [PeerReachability.gone], times }, 20_000);
    assert.is(decide(0, 10_000), Permission.fenced);
    assert.is(decide(10_001, 10_000), Permission.sheltered);
    assert.is(decide(15_000, 16_000), Permission.fresh);
    const pauses = new pauseDetector.PauseDetector(3_000, 0);
    pauses.observe(2_999);
    assert.is(pauses.resumedAt, undefined);
    pauses.observe(6_000);
    assert.is(pauses.resumedAt, 6_000);
});

suite("does not promise to keep a session that an unconfirmed attempt may still close", async () => {
    const sessions = new Map([["paused", { renewalOffset: 7, session: "paused", availabilityZone: "z1" }]]);
    const state = { sessions };
    const closer = new sessionCloser.SessionCloser({
        view: { state, renewalReadAt: () => 0, propose: () => Promise.resolve(neverthrow.err({})) },
        directory: { heartbeatAnsweredAt: () => undefined, classifyByAnswer: () => PeerReachability.unreachable },
        times,
        availabilityZone: "z1",
        isFresh: () => true,
        readSession: () => "own",
    } as unknown as sessionCloser.SessionCloserOptions);
    closer.closeExpiredSessions(46_999);
    assert.ok(closer.canPromiseToKeep("paused"));
    closer.closeExpiredSessions(47_000);
    await Promise.resolve();
    assert.not(closer.canPromiseToKeep("paused"));
    sessions.set("paused", { renewalOffset: 8, session: "paused", availabilityZone: "z1" });
    assert.ok(closer.canPromiseToKeep("paused"));
    sessions.clear();
    assert.not(closer.canPromiseToKeep("paused"));
});

suite("closes a session once the wait is over, unless it answers heartbeats or the closer is not fresh", () => {
    const candidate = {
        session: "lost",
        renewalReadAt: 0,
        heartbeatAnsweredAt: 1_000,
        reachability: PeerReachability.gone,
    };
    const list = (now: number, reachability: fence.PeerReachability, fresh = true): number =>
        fence.listClosableSessions({ candidates: [{ ...candidate, reachability }], fresh, times }, now).length;
    assert.is(list(8_999, PeerReachability.gone), 0);
    assert.is(list(9_000, PeerReachability.gone), 1);
    assert.is(list(46_999, PeerReachability.unreachable), 0);
    assert.is(list(47_000, PeerReachability.unreachable), 1);
    assert.is(list(47_000, PeerReachability.answering), 0);
    assert.is(list(47_000, PeerReachability.unreachable, false), 0);
});

suite.run();
