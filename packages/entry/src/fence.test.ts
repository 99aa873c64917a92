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
const { Contact, Permission } = fence;

const suite = uvu.suite(`fence (seed ${seed})`);

suite("permits by contact and age", () => {
    const table = [
        [undefined, [], 0, Permission.fenced],
        [0, [Contact.unreachable], 5_999, Permission.fresh],
        [0, [Contact.answering, Contact.gone], 600_000, Permission.sheltered],
        [0, [], 600_000, Permission.sheltered],
        [0, [Contact.answering, Contact.unreachable], 44_999, Permission.limited],
        [0, [Contact.answering, Contact.unreachable], 45_000, Permission.fenced],
    ] as const;
    for (const [confirmedAt, zoneContacts, now, expected] of table) {
        assert.is(fence.decidePermission({ confirmedAt, resumedAt: undefined, zoneContacts, times }, now), expected);
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
            const promisedAt = heartbeatSentAt === undefined ? undefined : heartbeatSentAt + heartbeatDelay;
            const now = Math.max(renewalReadAt, promisedAt ?? 0) + later;
            const holderContact = fence.classifyContact({ gone: false, answeredAt: heartbeatSentAt }, times, now);
            const holder = fence.decidePermission({
                confirmedAt: renewalSentAt,
                resumedAt: undefined,
                zoneContacts: [holderContact],
                times,
            }, now);
            const closable = fence.listClosable({
                candidates: [{
                    session: "holder",
                    renewalReadAt,
                    promisedAt,
                    contact: closerSeesHolder ? Contact.answering : Contact.unreachable,
                }],
                fresh: true,
                times,
            }, now);
            return closable.length === 0 || holder === Permission.fenced;
        }),
        { seed, numRuns: 2_000 },
    );
});

suite("permits nothing after a long pause but on a renewal sent since, whatever was known before", () => {
    const decide = (confirmedAt: number, resumedAt: number): fence.Permission =>
        fence.decidePermission({ confirmedAt, resumedAt, zoneContacts: [Contact.gone], times }, 20_000);
    assert.is(decide(0, 10_000), Permission.fenced);
    assert.is(decide(10_001, 10_000), Permission.sheltered);
    assert.is(decide(15_000, 16_000), Permission.fresh);
    const pauses = new pauseDetector.PauseDetector(3_000, 0);
    pauses.look(2_999);
    assert.is(pauses.resumedAt, undefined);
    pauses.look(6_000);
    assert.is(pauses.resumedAt, 6_000);
});

suite("promises nothing to a session that a try to close may still end", async () => {
    const sessions = new Map([["paused", { renewalOffset: 7, session: "paused", availabilityZone: "z1" }]]);
    const state = { sessions };
    const closer = new sessionCloser.SessionCloser({
        view: { state, renewalReadAt: () => 0, propose: () => Promise.resolve(neverthrow.err({})) },
        directory: { promisedAt: () => undefined, contact: () => Contact.unreachable },
        times,
        availabilityZone: "z1",
        isFresh: () => true,
        readSession: () => "own",
    } as unknown as sessionCloser.CloserParts);
    closer.look(46_999);
    assert.ok(closer.keeps("paused"));
    closer.look(47_000);
    await Promise.resolve();
    assert.not(closer.keeps("paused"));
    sessions.set("paused", { renewalOffset: 8, session: "paused", availabilityZone: "z1" });
    assert.ok(closer.keeps("paused"));
    sessions.clear();
    assert.not(closer.keeps("paused"));
});

suite("closes a lost session in the end", () => {
    const candidate = { session: "lost", renewalReadAt: 0, promisedAt: 1_000, contact: Contact.gone };
    const list = (now: number, contact: fence.Contact, fresh = true): number =>
        fence.listClosable({ candidates: [{ ...candidate, contact }], fresh, times }, now).length;
    assert.is(list(8_999, Contact.gone), 0);
    assert.is(list(9_000, Contact.gone), 1);
    assert.is(list(46_999, Contact.unreachable), 0);
    assert.is(list(47_000, Contact.unreachable), 1);
    assert.is(list(47_000, Contact.answering), 0);
    assert.is(list(47_000, Contact.unreachable, false), 0);
});

suite.run();
