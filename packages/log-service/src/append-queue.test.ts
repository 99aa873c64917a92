import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as appendQueue from "./append-queue.js";

const limits: appendQueue.AppendLimits = { batchWaitMs: 5, maxBatch: 3, maxBacklog: 4, appendsPerSecond: 10 };
const noDeadline = Number.POSITIVE_INFINITY;

class Fixture {
    readonly queue: appendQueue.AppendQueue;
    readonly outcomes = new Map<string, string>();

    constructor(changes: Partial<appendQueue.AppendLimits> = {}) {
        this.queue = new appendQueue.AppendQueue({ ...limits, ...changes });
    }

    add(id: string, now: number, deadline = noDeadline): void {
        this.queue.add({ id }, deadline, now, outcome => {
            this.outcomes.set(id, outcome.match(offset => `offset ${offset}`, error => error.fault));
        });
    }

    takeBatch(now: number): string {
        return this.queue.takeBatch(now).map(record => record.id).join(" ");
    }

    read(offset: number, id: string): void {
        this.queue.observeEntries([{ offset, body: { id } }]);
    }
}

const suite = uvu.suite("append queue");

suite("waits to fill a batch, and keeps the order and the maximum size of batches", () => {
    const fixture = new Fixture();
    fixture.add("a", 100);
    assert.is(fixture.takeBatch(104), "");
    assert.is(fixture.queue.computeNextWakeTime(104), 105);
    ["b", "c", "d"].forEach(id => fixture.add(id, 104));
    assert.is(fixture.takeBatch(104), "a b c");
    assert.is(fixture.takeBatch(200), "", "one append at a time");
    fixture.queue.markAppended(7);
    assert.is(fixture.takeBatch(200), "d");
    fixture.read(8, "b");
    assert.is(fixture.outcomes.get("b"), "offset 8");
});

suite("appends an unresolved record again only after a later read has reached the head", () => {
    const fixture = new Fixture();
    ["a", "b"].forEach(id => fixture.add(id, 0));
    assert.is(fixture.takeBatch(10), "a b");
    fixture.add("c", 11);
    fixture.queue.markUnresolved(50, 60);
    assert.is(fixture.takeBatch(1000), "", "no record overtakes an unresolved one");
    assert.is(fixture.queue.observeHead(49), 0, "the read was sent before the append failed");
    assert.is(fixture.takeBatch(1000), "");
    fixture.read(3, "a");
    assert.is(fixture.queue.observeHead(50), 1);
    assert.is(fixture.takeBatch(59), "", "backoff");
    assert.is(fixture.takeBatch(1000), "b c");
    assert.is(fixture.outcomes.get("a"), "offset 3");
});

suite("reports a record as unreachable at its deadline if it was not sent, otherwise as unanswered", () => {
    const fixture = new Fixture({ maxBatch: 1 });
    fixture.add("sent", 0, 100);
    fixture.add("waits", 0, 100);
    assert.is(fixture.takeBatch(10), "sent");
    fixture.queue.expire(99);
    assert.is(fixture.outcomes.size, 0);
    fixture.queue.expire(100);
    assert.is(fixture.outcomes.get("sent"), "unanswered");
    assert.is(fixture.outcomes.get("waits"), "unreachable");
    fixture.queue.markUnresolved(101, 101);
    fixture.queue.observeHead(200);
    assert.is(fixture.takeBatch(1000), "", "neither record is sent again");
});

suite("retries an append without effect, and reports unanswered if an earlier append may have taken effect", () => {
    const fixture = new Fixture();
    fixture.add("a", 0, 500);
    fixture.takeBatch(10);
    fixture.queue.markNotAppended(40);
    assert.is(fixture.takeBatch(39), "");
    assert.is(fixture.takeBatch(110), "a");
    fixture.queue.markUnresolved(120, 120);
    fixture.queue.observeHead(130);
    assert.is(fixture.takeBatch(300), "a");
    fixture.queue.markNotAppended(400);
    fixture.queue.expire(500);
    assert.is(fixture.outcomes.get("a"), "unanswered");
});

suite("limits the backlog", () => {
    const fixture = new Fixture();
    ["a", "b", "c", "d", "e"].forEach(id => fixture.add(id, 0));
    assert.is(fixture.outcomes.get("e"), "backlog-full");
    assert.is(fixture.outcomes.size, 1);
});

suite("limits the rate of appends", () => {
    const fixture = new Fixture({ maxBatch: 1, maxBacklog: 1000 });
    Array.from({ length: 100 }, (_, index) => fixture.add(`${index}`, 0));
    let appends = 0;
    for (let now = 0; now <= 2000; now++) {
        if (fixture.takeBatch(now) !== "") {
            fixture.queue.markAppended(appends);
            appends += 1;
        }
    }
    assert.ok(appends >= 20 && appends <= 23, `${appends} appends in two seconds`);
});

suite("fails only the rejected record of a batch", () => {
    const fixture = new Fixture({ appendsPerSecond: 1000 });
    ["a", "bad", "c"].forEach(id => fixture.add(id, 0));
    fixture.takeBatch(10);
    fixture.queue.markRefused("status 400");
    assert.is(fixture.takeBatch(20), "a");
    fixture.queue.markAppended(0);
    assert.is(fixture.takeBatch(30), "bad");
    fixture.queue.markRefused("status 400");
    assert.is(fixture.takeBatch(40), "c");
    assert.equal([...fixture.outcomes], [["bad", "refused"]]);
});

suite("reports a record as unanswered when its offset was skipped", () => {
    const fixture = new Fixture();
    ["a", "b"].forEach(id => fixture.add(id, 0));
    fixture.takeBatch(10);
    fixture.queue.markAppended(5);
    fixture.queue.observeSkip(6);
    assert.equal([...fixture.outcomes], [["a", "unanswered"]]);
});

suite.run();
