/** Guards against a legal body that is refused in calm, and against a crowd of small chunks that isn't held up. */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as chunkBudget from "./chunk-budget.js";

const suite = uvu.suite("chunk budget");

function send(budget: chunkBudget.ChunkBudget, chunks: number, now: number): number {
    return Array.from({ length: chunks }, (_, i) => budget.take(i + 1, now)).filter(Boolean).length;
}

suite("bodies in small chunks use the budget up, and it becomes whole again", () => {
    const budget = new chunkBudget.ChunkBudget(1000, 0);
    assert.is(send(budget, 900, 0), 900);
    assert.is(send(budget, 900, 0), 64 + 164);
    assert.is(send(budget, 900, 5000), 64 + 500);
    assert.is(send(budget, 1064, 50_000), 1064);
    assert.is(budget.left, 0);
});

suite("a body of few small chunks is taken however many others there are", () => {
    const budget = new chunkBudget.ChunkBudget(1000, 0);
    send(budget, 5000, 0);
    assert.is(send(budget, 64, 0), 64);
    assert.not(chunkBudget.isSmall(1460));
});

suite.run();
