import * as fc from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as fence from "./fence.js";

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
        assert.is(fence.decidePermission({ confirmedAt, zoneContacts, times }, now), expected);
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
