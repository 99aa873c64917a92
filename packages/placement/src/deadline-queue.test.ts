/** Compares order and removal with a plain sorted array, and covers the methods that p-queue calls. */
import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as deadlineQueue from "./deadline-queue.js";

const seed = 5_012_026;
const suite = uvu.suite(`deadline queue (seed ${seed})`);

interface Expected {
    readonly id: string;
    readonly urgency: number;
    readonly deadline: number;
    readonly run: deadlineQueue.RunFunction;
}

function runNothing(): Promise<unknown> {
    return Promise.resolve();
}

const step = fastCheck.oneof(
    { weight: 4, arbitrary: fastCheck.record({ urgency: fastCheck.nat(7), deadline: fastCheck.nat(20) }) },
    { weight: 2, arbitrary: fastCheck.constant("dequeue" as const) },
    { weight: 1, arbitrary: fastCheck.record({ remove: fastCheck.nat(60) }) },
);

function findNext(model: readonly Expected[]): Expected | undefined {
    return [...model].sort((left, right) => left.urgency - right.urgency || left.deadline - right.deadline)[0];
}

suite("dequeues by urgency, deadline and arrival, with arbitrary removals", () => {
    fastCheck.assert(
        fastCheck.property(fastCheck.array(step, { maxLength: 400 }), steps => {
            const queue = new deadlineQueue.DeadlineQueue();
            const model: Expected[] = [];
            steps.forEach((operation, index) => {
                if (operation === "dequeue") {
                    const next = findNext(model);
                    assert.is(queue.dequeue(), next?.run);
                    model.splice(0, model.length, ...model.filter(waiting => waiting !== next));
                }
                else if ("remove" in operation) {
                    const place = model.findIndex(waiting => waiting.id === `r${operation.remove}`);
                    assert.is(queue.remove(`r${operation.remove}`), place >= 0);
                    model.splice(place, place < 0 ? 0 : 1);
                }
                else {
                    const waiting = { ...operation, id: `r${index}`, run: () => runNothing() };
                    const ahead = model.filter(other =>
                        other.urgency < operation.urgency
                        || (other.urgency === operation.urgency && other.deadline <= operation.deadline)
                    );
                    assert.is(queue.countAhead(operation.urgency, operation.deadline), ahead.length);
                    queue.enqueue(waiting.run, waiting);
                    model.push(waiting);
                }
                assert.is(queue.size, model.length);
                const worst = queue.peekLast();
                assert.ok(model.every(waiting => worst !== undefined && waiting.urgency <= worst.urgency));
            });
        }),
        { seed, numRuns: 300 },
    );
});

suite("changes the priority of a request and rejects an id that is not waiting", () => {
    const queue = new deadlineQueue.DeadlineQueue();
    const [first, second] = [() => runNothing(), () => runNothing()];
    queue.enqueue(first, { id: "a", urgency: 0, deadline: 1 });
    queue.enqueue(second, { id: "b", urgency: 7, deadline: 9 });
    queue.setPriority("b", 1);
    assert.equal(queue.filter({ priority: 1 }), [second]);
    assert.is(queue.dequeue(), second);
    assert.throws(() => queue.setPriority("b", 2), /no request|"b"/iu);
});

suite.run();
