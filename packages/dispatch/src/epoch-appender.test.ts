/** A coordinator counts only what the store says to be stored. */
import * as jobState from "@catkinwharf/job-state";
import type * as storeClient from "@catkinwharf/store";
import * as neverthrow from "neverthrow";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as epochAppender from "./epoch-appender.js";
import * as memoryStore from "./testing/memory-store.js";

const suite = uvu.suite("epoch appender");
const topic = jobState.ledgerTopic;
const epoch = 2;
const otherRecord = { key: "p:other", value: new Uint8Array([1]) };
const ownRecord = { key: "p:own", value: new Uint8Array([2]) };

/**
 * Outcome of an append with sequence number 8, after another process has appended under the same epoch up to a number
 * of its own.
 */
async function appendAfterOther(otherSequence: number) {
    const topics = new memoryStore.MemoryLog();
    const producer = { name: jobState.ledgerProducer, epoch, sequence: otherSequence };
    topics.append(topic, [otherRecord], { producer });
    const store: Pick<storeClient.StoreClient, "append"> = {
        append: (...append) => Promise.resolve(neverthrow.ok(topics.append(...append))),
    };
    let fencedCount = 0;
    const appender = new epochAppender.EpochAppender(store, topic, { epoch, sequence: 7 }, () => fencedCount += 1);
    const stored = await appender.append([ownRecord]);
    return { stored, fencedCount, keys: topics.list(topic).map(({ key }) => key) };
}

suite(
    "an end is acknowledged that isn't in the ledger, as another process holds the epoch with higher numbers",
    async () => {
        assert.equal(await appendAfterOther(100), { stored: false, fencedCount: 1, keys: [otherRecord.key] });
    },
);

suite("two processes go on storing under one epoch, as one takes over the numbers of the other", async () => {
    assert.equal(await appendAfterOther(3), { stored: false, fencedCount: 1, keys: [otherRecord.key] });
});

suite.run();
