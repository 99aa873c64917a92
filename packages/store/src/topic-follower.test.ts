/**
 * Guards against records that a follower of a keyed topic applies twice or skips, and against a follower that counts as
 * out of date because nothing is written.
 */
import * as eventLog from "@catkinwharf/event-log";
import * as neverthrow from "neverthrow";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as store from "./index.js";

const suite = uvu.suite("topic follower");
const log = eventLog.createRateLimitedLog(() => {}, () => 0);
const value = new Uint8Array([1]);
const page: store.NewestResult = {
    kind: "page",
    records: [{ offset: 4, record: { key: "b", value } }, { offset: 2, record: { key: "a", value } }],
    more: false,
    end: 5,
    last: "b",
};

function createFollower(reads: store.ReadResult[], now: () => number, newestOnly = false) {
    const applied: string[] = [];
    const source: Pick<store.StoreClient, "read" | "readNewest"> = {
        readNewest: () => Promise.resolve(neverthrow.ok(page)),
        read: () => {
            const result = reads.shift();
            return result === undefined ? new Promise(() => {}) : Promise.resolve(neverthrow.ok(result));
        },
    };
    const handlers = { apply: (record: { readonly key: string; }) => void applied.push(record.key) };
    const options = { topic: "t", handlers, wait: 1000, pause: () => 0, newestOnly };
    return { applied, follower: new store.TopicFollower(source, options, log, now) };
}

suite("is up to date after reading the newest records, even if nothing is written", async () => {
    const { applied, follower } = createFollower([], () => 700);
    follower.start();
    await new Promise(resolve => setTimeout(resolve, 10));
    follower.stop();
    assert.equal(applied, ["a", "b"]);
    assert.equal([follower.loaded, follower.nextOffset, follower.caughtUpAt], [true, 5, 700]);
    assert.ok(follower.upToDate);
});

suite(
    "a follower counts as up to date after a load that took seconds, or its next read waits for a record",
    async () => {
        let now = 0;
        const waits: number[] = [];
        let respond = (_result: store.ReadResult) => {};
        const source: Pick<store.StoreClient, "read" | "readNewest"> = {
            readNewest: () => {
                now += 16_000;
                return Promise.resolve(neverthrow.ok(page));
            },
            read: async (_topic, _from, wait) => {
                waits.push(wait);
                return neverthrow.ok(await new Promise<store.ReadResult>(resolve => respond = resolve));
            },
        };
        const options = { topic: "t", handlers: { apply: () => {} }, wait: 1000, pause: () => 0 };
        const follower = new store.TopicFollower(source, options, log, () => now);
        follower.start();
        await new Promise(resolve => setTimeout(resolve, 10));
        assert.equal([follower.loaded, follower.upToDate, waits], [true, false, [0]]);
        respond({ kind: "records", records: [{ offset: 5, record: { key: "c", value } }], end: 7 });
        await new Promise(resolve => setTimeout(resolve, 10));
        assert.equal([follower.upToDate, waits], [false, [0, 0]]);
        respond({ kind: "records", records: [{ offset: 6, record: { key: "d", value } }], end: 7 });
        await new Promise(resolve => setTimeout(resolve, 10));
        assert.equal([follower.upToDate, waits], [true, [0, 0, 1000]]);
        follower.requestReload();
        assert.is(follower.upToDate, false);
        follower.stop();
    },
);

suite("skips records already applied, and reloads the newest ones after the store dropped unread records", async () => {
    // The record at offset 4 is already among the newest records.
    const records = [4, 5].map(offset => ({ offset, record: { key: `k${offset}`, value } }));
    const { applied, follower } = createFollower([
        { kind: "records", records, end: 6 },
        { kind: "expired" },
        { kind: "records", records: [], end: 5 },
    ], () => 0);
    assert.is(await follower.catchUp(), true);
    assert.equal(applied, ["a", "b", "k5"]);
    assert.is(await follower.catchUp(), true);
    assert.equal(applied, ["a", "b", "k5", "a", "b"]);
});

suite("a follower of newest records applies records that a later one of the same read replaces", async () => {
    const records = ["c", "d", "c", "e"].map((key, i) => ({ offset: 5 + i, record: { key, value } }));
    const reads = (): store.ReadResult[] => [{ kind: "records", records, end: 9 }];
    const everything = createFollower(reads(), () => 0);
    assert.is(await everything.follower.catchUp(), true);
    assert.equal(everything.applied.slice(2), ["c", "d", "c", "e"]);
    const newest = createFollower(reads(), () => 0, true);
    assert.is(await newest.follower.catchUp(), true);
    assert.equal(newest.applied.slice(2), ["d", "c", "e"]);
    assert.is(newest.follower.nextOffset, 9);
});

suite("catch-ups at the same time don't each read the backlog", async () => {
    let readCount = 0;
    const backlog = Array.from({ length: 40 }, (_, i) => ({ offset: 5 + i, record: { key: "k", value } }));
    const source: Pick<store.StoreClient, "read" | "readNewest"> = {
        readNewest: () => Promise.resolve(neverthrow.ok(page)),
        read: async (_topic, from) => {
            readCount += 1;
            await new Promise(resolve => setTimeout(resolve, 5));
            const records = backlog.filter(({ offset }) => offset >= from).slice(0, 10);
            return neverthrow.ok({ kind: "records", records, end: 45 });
        },
    };
    const options = { topic: "t", handlers: { apply: () => {} }, wait: 1000, pause: () => 0 };
    const follower = new store.TopicFollower(source, options, log, () => 0);
    assert.ok(await follower.catchUp());
    const readsOfOne = readCount;
    follower.requestReload();
    readCount = 0;
    const results = await Promise.all(Array.from({ length: 8 }, () => follower.catchUp()));
    assert.ok(results.every(Boolean));
    // A read that had begun before a call may miss what was stored in between, so the later calls share a second one.
    assert.ok(readCount <= readsOfOne + 1, `${readCount} reads, ${readsOfOne} for one catch-up`);
});

suite("a catch-up reads what was stored while an earlier one was under way", async () => {
    let end = 6;
    const source: Pick<store.StoreClient, "read" | "readNewest"> = {
        readNewest: () => Promise.resolve(neverthrow.ok(page)),
        read: async (_topic, from) => {
            const records = Array.from({ length: end - from }, (_, i) => ({
                offset: from + i,
                record: { key: `k${from + i}`, value },
            }));
            const result: store.ReadResult = { kind: "records", records, end };
            await new Promise(resolve => setTimeout(resolve, 5));
            return neverthrow.ok(result);
        },
    };
    const options = { topic: "t", handlers: { apply: () => {} }, wait: 1000, pause: () => 0 };
    const follower = new store.TopicFollower(source, options, log, () => 0);
    const first = follower.catchUp();
    await new Promise(resolve => setTimeout(resolve, 2));
    end = 7;
    assert.ok(await follower.catchUp());
    assert.is(follower.nextOffset, 7);
    assert.ok(await first);
});

/** A store whose answers a test gives one by one, in any order. */
function createManualStore() {
    const newest: ((result: store.NewestResult) => void)[] = [];
    const reads: {
        readonly from: number;
        readonly wait: number;
        readonly answer: (result: store.ReadResult) => void;
    }[] = [];
    const source: Pick<store.StoreClient, "read" | "readNewest"> = {
        readNewest: () => new Promise(resolve => newest.push(result => resolve(neverthrow.ok(result)))),
        read: (_topic, from, wait) =>
            new Promise(resolve => reads.push({ from, wait, answer: result => resolve(neverthrow.ok(result)) })),
    };
    async function waitForCall<Call>(calls: Call[], matches: (call: Call) => boolean = () => true): Promise<Call> {
        for (;;) {
            const index = calls.findIndex(matches);
            if (index >= 0) {
                return calls.splice(index, 1)[0]!;
            }
            await new Promise(resolve => setImmediate(resolve));
        }
    }
    return {
        source,
        newest,
        answerNewest: async (records: readonly number[], end: number) =>
            (await waitForCall(newest))({ ...page, records: records.map(createRecord), end }),
        takeRead: (from: number, wait: number) => waitForCall(reads, read => read.from === from && read.wait === wait),
    };
}

/** A record of the only key "a". */
function createRecord(offset: number) {
    return { offset, record: { key: "a", value } };
}

function createRecords(from: number, end: number): store.ReadResult {
    return { kind: "records", records: Array.from({ length: end - from }, (_, i) => createRecord(from + i)), end };
}

/** A follower that has read the newest records up to offset 5, and whose long poll from there has no answer yet. */
async function startFollower() {
    const manual = createManualStore();
    /** Offset of the record that the follower's owner holds. */
    const state: { offset: number | undefined; } = { offset: undefined };
    const handlers = {
        apply: (_record: object, offset: number) => void (state.offset = offset),
        reset: () => void (state.offset = undefined),
    };
    const options = { topic: "t", handlers, wait: 1000, pause: () => 0 };
    const follower = new store.TopicFollower(manual.source, options, log, () => 0);
    follower.start();
    await manual.answerNewest([4], 5);
    return { manual, state, follower, poll: await manual.takeRead(5, 1000) };
}

/** Lets everything run that waits for no further answer. */
async function settle(): Promise<void> {
    for (let i = 0; i < 10; i++) {
        await new Promise(resolve => setImmediate(resolve));
    }
}

suite("a late answer that records have expired sends a follower back behind what it has read", async () => {
    const { manual, state, follower, poll } = await startFollower();
    const caughtUp = follower.catchUp();
    (await manual.takeRead(5, 0)).answer({ kind: "expired" });
    await manual.answerNewest([7], 8);
    const lastRead = await manual.takeRead(8, 0);
    poll.answer({ kind: "expired" });
    await settle();
    const reload = manual.newest.shift(); // Its page is read before the record at offset 8 is stored.
    lastRead.answer(createRecords(8, 10));
    assert.is(await caughtUp, true);
    reload?.({ ...page, records: [createRecord(7)], end: 8 });
    await settle();
    follower.stop();
    assert.equal([follower.nextOffset, state.offset], [10, 9]);
    assert.is(reload, undefined);
});

suite("a reload that ends behind what was read meanwhile sends a follower back", async () => {
    const { manual, state, follower, poll } = await startFollower();
    const caughtUp = follower.catchUp();
    (await manual.takeRead(5, 0)).answer({ kind: "expired" });
    poll.answer(createRecords(5, 9)); // Sent before the records expired, but received later.
    await settle();
    await manual.answerNewest([6], 7);
    await settle();
    assert.equal([follower.nextOffset, state.offset], [9, 8]);
    (await manual.takeRead(9, 0)).answer(createRecords(9, 9));
    assert.is(await caughtUp, true);
    follower.stop();
});

suite("a reload that ends beyond what was read drops keys that no longer exist", async () => {
    const { manual, state, follower, poll } = await startFollower();
    poll.answer({ kind: "expired" });
    await manual.answerNewest([], 9);
    await settle();
    follower.stop();
    assert.equal([follower.nextOffset, state.offset], [9, undefined]);
});

suite("records that took long to arrive make the view look as fresh as the store's answer", async () => {
    let now = 1000;
    const records = [{ offset: 5, record: { key: "k", value } }];
    const source: Pick<store.StoreClient, "read" | "readNewest"> = {
        readNewest: () => Promise.resolve(neverthrow.ok(page)),
        read: () => {
            now += 3000; // The time of the transfer.
            return Promise.resolve(neverthrow.ok({ kind: "records", records, end: 6 }));
        },
    };
    const options = { topic: "t", handlers: { apply: () => {} }, wait: 1000, pause: () => 0 };
    const follower = new store.TopicFollower(source, options, log, () => now);
    assert.ok(await follower.catchUp());
    assert.is(follower.caughtUpAt, 1000);
});

suite("a page that fails once makes a reload begin with the first page again", async () => {
    const asked: (string | undefined)[] = [];
    const source: Pick<store.StoreClient, "read" | "readNewest"> = {
        readNewest: (_topic, after) => {
            asked.push(after);
            if (asked.length === 2) {
                return Promise.resolve(neverthrow.err({ layer: "store", fault: store.StoreFault.unknown, reason: "" }));
            }
            return Promise.resolve(neverthrow.ok({ ...page, more: after === undefined }));
        },
        read: () => Promise.resolve(neverthrow.ok({ kind: "records", records: [], end: 5 })),
    };
    const options = { topic: "t", handlers: { apply: () => {} }, wait: 1000, pause: () => 0 };
    const follower = new store.TopicFollower(source, options, log, () => 0);
    assert.ok(await follower.catchUp());
    assert.equal(asked, [undefined, "b", "b"]);
});

suite("a page without a readable key is taken for the last one, although there are more", async () => {
    const pages: store.NewestResult[] = [
        { ...page, records: [{ offset: 2, record: undefined }], more: true, last: undefined },
        page,
    ];
    const applied: string[] = [];
    const source: Pick<store.StoreClient, "read" | "readNewest"> = {
        readNewest: () => Promise.resolve(neverthrow.ok(pages.shift()!)),
        read: () => Promise.resolve(neverthrow.ok({ kind: "records", records: [], end: 5 })),
    };
    const handlers = { apply: (record: { readonly key: string; }) => void applied.push(record.key) };
    const options = { topic: "t", handlers, wait: 1000, pause: () => 0 };
    const follower = new store.TopicFollower(source, options, log, () => 0);
    assert.is(await follower.catchUp(), false);
    assert.equal([follower.loaded, applied], [false, []]);
    assert.is(await follower.catchUp(), true);
    assert.equal(applied, ["a", "b"]);
});

suite("after a record that couldn't be applied, catch-ups at the same time fail for good", async () => {
    let broken = true;
    const apply = () => {
        if (broken) {
            throw new Error("not applicable");
        }
    };
    const source: Pick<store.StoreClient, "read" | "readNewest"> = {
        readNewest: () => Promise.resolve(neverthrow.ok(page)),
        read: () => Promise.resolve(neverthrow.ok({ kind: "records", records: [], end: 5 })),
    };
    const options = { topic: "t", handlers: { apply }, wait: 1000, pause: () => 0 };
    const follower = new store.TopicFollower(source, options, log, () => 0);
    const catchUpTwice = () => Promise.allSettled([follower.catchUp(), follower.catchUp()]);
    await catchUpTwice();
    broken = false;
    assert.equal((await catchUpTwice()).map(result => result.status), ["fulfilled", "fulfilled"]);
});

suite("a record whose handler throws ends the following", async () => {
    const applied: string[] = [];
    const warnings: string[] = [];
    const failing = new Set(["a", "odd"]);
    const records = ["odd", "c"].map((key, i) => ({ offset: 5 + i, record: { key, value } }));
    const reads: store.ReadResult[] = [{ kind: "records", records, end: 7 }];
    const follower = new store.TopicFollower(
        {
            readNewest: () => Promise.resolve(neverthrow.ok(page)),
            read: () => {
                const result = reads.shift();
                return result === undefined ? new Promise(() => {}) : Promise.resolve(neverthrow.ok(result));
            },
        },
        {
            topic: "t",
            handlers: {
                apply: ({ key }) => {
                    if (failing.has(key)) {
                        throw new RangeError(key);
                    }
                    applied.push(key);
                },
            },
            wait: 1000,
            pause: () => 0,
        },
        { counts: new Map(), info: () => {}, warn: event => void warnings.push(event) },
        () => 0,
    );
    assert.is(await follower.catchUp(), true);
    assert.equal(applied, ["b", "c"]);
    assert.equal(warnings, ["record-failed", "record-failed"]);
    assert.is(follower.nextOffset, 7);
});

suite.run();
