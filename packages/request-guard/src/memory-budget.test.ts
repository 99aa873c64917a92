/** Guards against bodies that together exceed the budget, and against one client that takes it from the others. */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as memoryBudget from "./memory-budget.js";

const suite = uvu.suite("memory budget");

function createHolder(address: string, since: number): memoryBudget.Holder {
    return { address, since, held: 0 };
}

suite("the oldest item of the address that holds most gives up its memory", () => {
    const budget = new memoryBudget.MemoryBudget(100);
    const ordinary = createHolder("a", 1);
    const crowd = [5, 3, 4].map(since => createHolder("b", since));
    budget.set(ordinary, 30);
    crowd.forEach(item => budget.set(item, 20));
    assert.is(budget.findExcess(), undefined);
    budget.set(crowd[0]!, 31);
    assert.is(budget.findExcess(), crowd[1]);
    budget.set(crowd[1]!, 0);
    assert.is(budget.findExcess(), undefined);
    assert.is(budget.held, 81);
});

suite("an item is kept as long as newer ones haven't brought the whole budget", () => {
    const budget = new memoryBudget.MemoryBudget(100);
    const slow = createHolder("a", 50);
    // A crowd at the same address fills the budget all the time, each body later than the one before.
    for (let since = 0; since < 50; since++) {
        budget.set(createHolder("a", since), 10);
        for (let excess = budget.findExcess(); excess !== undefined; excess = budget.findExcess()) {
            budget.set(excess, 0);
        }
    }
    budget.set(slow, 10);
    for (let since = 51; since < 60; since++) {
        budget.set(createHolder("a", since), 10);
        for (let excess = budget.findExcess(); excess !== undefined; excess = budget.findExcess()) {
            assert.is.not(excess, slow);
            budget.set(excess, 0);
        }
    }
    assert.is(slow.held, 10);
});

suite("an item that grows and ends leaves nothing behind", () => {
    const budget = new memoryBudget.MemoryBudget(10);
    const item = createHolder("a", 0);
    [4, 8, 11].forEach(bytes => budget.set(item, bytes));
    assert.is(budget.findExcess(), item);
    budget.set(item, 0);
    assert.is(budget.held, 0);
});

suite.run();
