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
});

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

suite.run();
