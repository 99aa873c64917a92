import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as appendQueue from "./append-queue.js";

const limits: appendQueue.AppendLimits = { batchWaitMs: 5, maxBatch: 3, maxBacklog: 4, appendsPerSecond: 10 };
const never = Number.POSITIVE_INFINITY;

class Scene {
    readonly queue: appendQueue.AppendQueue;
    readonly outcomes = new Map<string, string>();

    constructor(changes: Partial<appendQueue.AppendLimits> = {}) {
        this.queue = new appendQueue.AppendQueue({ ...limits, ...changes });
    }

    add(id: string, now: number, deadline = never): void {
        this.queue.add({ id }, deadline, now, outcome => {
            this.outcomes.set(id, outcome.match(offset => `offset ${offset}`, error => error.fault));
        });
    }

    take(now: number): string {
        return this.queue.takeBatch(now).map(record => record.id).join(" ");
    }

    read(offset: number, id: string): void {
        this.queue.observeEntries([{ offset, body: { id } }]);
    }
}

const suite = uvu.suite("append queue");

suite("waits for company, keeps the order and the size of batches", () => {
    const scene = new Scene();
    scene.add("a", 100);
    assert.is(scene.take(104), "");
    assert.is(scene.queue.computeNextWake(104), 105);
    ["b", "c", "d"].forEach(id => scene.add(id, 104));
    assert.is(scene.take(104), "a b c");
    assert.is(scene.take(200), "", "one append at a time");
    scene.queue.markAnswered(7);
    assert.is(scene.take(200), "d");
    scene.read(8, "b");
    assert.is(scene.outcomes.get("b"), "offset 8");
});

suite("never appends an unknown record again before a later read reached the head", () => {
    const scene = new Scene();
    ["a", "b"].forEach(id => scene.add(id, 0));
    assert.is(scene.take(10), "a b");
    scene.add("c", 11);
    scene.queue.markUnknown(50, 60);
    assert.is(scene.take(1000), "", "nothing passes an unknown record");
    assert.is(scene.queue.observeHead(49), 0, "this read began before the append failed");
    assert.is(scene.take(1000), "");
    scene.read(3, "a");
    assert.is(scene.queue.observeHead(50), 1);
    assert.is(scene.take(59), "", "backoff");
    assert.is(scene.take(1000), "b c");
    assert.is(scene.outcomes.get("a"), "offset 3");
});

suite("drops a record that was never sent at its deadline, and doubts one that was", () => {
    const scene = new Scene({ maxBatch: 1 });
    scene.add("sent", 0, 100);
    scene.add("waits", 0, 100);
    assert.is(scene.take(10), "sent");
    scene.queue.expire(99);
    assert.is(scene.outcomes.size, 0);
    scene.queue.expire(100);
    assert.is(scene.outcomes.get("sent"), "unanswered");
    assert.is(scene.outcomes.get("waits"), "unreachable");
    scene.queue.markUnknown(101, 101);
    scene.queue.observeHead(200);
    assert.is(scene.take(1000), "", "neither is sent again");
});

suite("queues a record without effect again, and doubts one that an earlier append may have brought in", () => {
    const scene = new Scene();
    scene.add("a", 0, 500);
    scene.take(10);
    scene.queue.markWithoutEffect(40);
    assert.is(scene.take(39), "");
    assert.is(scene.take(110), "a");
    scene.queue.markUnknown(120, 120);
    scene.queue.observeHead(130);
    assert.is(scene.take(300), "a");
    scene.queue.markWithoutEffect(400);
    scene.queue.expire(500);
    assert.is(scene.outcomes.get("a"), "unanswered");
});

suite("bounds the backlog", () => {
    const scene = new Scene();
    ["a", "b", "c", "d", "e"].forEach(id => scene.add(id, 0));
    assert.is(scene.outcomes.get("e"), "backlog-full");
    assert.is(scene.outcomes.size, 1);
});

suite("keeps to the budget of appends a second", () => {
    const scene = new Scene({ maxBatch: 1, maxBacklog: 1000 });
    Array.from({ length: 100 }, (_, index) => scene.add(`${index}`, 0));
    let appends = 0;
    for (let now = 0; now <= 2000; now++) {
        if (scene.take(now) !== "") {
            scene.queue.markAnswered(appends);
            appends += 1;
        }
    }
    assert.ok(appends >= 20 && appends <= 23, `${appends} appends in two seconds`);
});

suite("fails only the refused record of a batch", () => {
    const scene = new Scene({ appendsPerSecond: 1000 });
    ["a", "bad", "c"].forEach(id => scene.add(id, 0));
    scene.take(10);
    scene.queue.markRefused("status 400");
    assert.is(scene.take(20), "a");
    scene.queue.markAnswered(0);
    assert.is(scene.take(30), "bad");
    scene.queue.markRefused("status 400");
    assert.is(scene.take(40), "c");
    assert.equal([...scene.outcomes], [["bad", "refused"]]);
});

suite("doubts records whose place was skipped", () => {
    const scene = new Scene();
    ["a", "b"].forEach(id => scene.add(id, 0));
    scene.take(10);
    scene.queue.markAnswered(5);
    scene.queue.observeSkip(6);
    assert.equal([...scene.outcomes], [["a", "unanswered"]]);
});

suite.run();
