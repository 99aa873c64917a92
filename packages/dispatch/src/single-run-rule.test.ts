import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as singleRunRule from "./testing/single-run-rule.js";

const suite = uvu.suite("single run rule");

function createRun(number: number, server: string): { run: singleRunRule.ServerRun; end: () => void; } {
    let underWay = true;
    return { run: { task: "a", number, server, isUnderWay: () => underWay }, end: () => underWay = false };
}

suite("judges runs at once, and starts after an end that is acknowledged before or later", () => {
    const rule = new singleRunRule.SingleRunRule(() => 5);
    const first = createRun(1, "s1");
    const second = createRun(2, "s2");
    const third = createRun(3, "s3");
    const fourth = createRun(4, "s4");
    rule.recordStart(first.run);
    rule.recordStart(second.run);
    assert.equal(rule.violations, [{ at: 5, task: "a", runs: ["1 on s1", "2 on s2"], how: "at once" }]);
    first.end();
    second.end();
    rule.recordDone(second.run);
    rule.recordStart(third.run);
    assert.is(rule.violations.length, 1);
    rule.recordAcknowledgement(second.run);
    assert.equal(rule.violations.slice(1), [{ at: 5, task: "a", runs: ["2 on s2", "3 on s3"], how: "after its end" }]);
    third.end();
    rule.recordStart(fourth.run);
    assert.equal(rule.violations.slice(2), [{ at: 5, task: "a", runs: ["2 on s2", "4 on s4"], how: "after its end" }]);
});

suite.run();
