import type * as platformStandIns from "@catkinwharf/platform-stand-ins";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as judgement from "./judgement.js";

const suite = uvu.suite("judgement");
const terms = [{ epoch: 1, node: "entry-0" }, { epoch: 2, node: "entry-1" }];

function createRun(fields: Partial<platformStandIns.RunRecord>): platformStandIns.RunRecord {
    return {
        server: "i-1",
        task: "a.0.0.0",
        run: 1,
        startedAt: 100,
        endedAt: 200,
        how: "done",
        fencingToken: 1,
        acknowledgedAt: undefined,
        ...fields,
    };
}

function createOrder(holder: string, fencingToken: number, machine = "m-1"): platformStandIns.ReceivedOrder {
    return { kind: "upkeep", machine, holder, fencingToken, interrupted: [] };
}

suite("a run that starts while another of its task is under way is a duplicate", () => {
    const later = createRun({ run: 2, server: "i-2", startedAt: 150, fencingToken: 2 });
    assert.is(judgement.findDuplicateRuns([createRun({}), later], terms).length, 1);
    assert.is(judgement.findDuplicateRuns([createRun({ endedAt: undefined }), later], terms).length, 1);
    assert.match(judgement.findDuplicateRuns([createRun({}), later], terms)[0]!, /entry-1.* while .*entry-0/);
});

suite("a token is taken for one of another epoch, whether the coordinator counts its tokens or uses its epoch", () => {
    const counted = [{ epoch: 65_536, node: "entry-0" }, { epoch: 131_072, node: "entry-1" }];
    const findNodes = (token: number, known: readonly judgement.Term[]) =>
        judgement.findTerms(token, known).map(({ node }) => node);
    assert.equal([1, 2].map(token => findNodes(token, terms)), [["entry-0"], ["entry-1"]]);
    assert.equal([65_536, 131_071, 131_072, 131_073].map(token => findNodes(token, counted)), [
        ["entry-0"],
        ["entry-0"],
        ["entry-1"],
        ["entry-1"],
    ]);
    assert.equal(findNodes(2, [...terms, { epoch: 2, node: "entry-2" }]), ["entry-1", "entry-2"]);
    assert.equal(findNodes(3, counted), []);
});

suite("a duplicate is named after another process than the one that ordered it with a later token", () => {
    const counted = [{ epoch: 65_536, node: "entry-0" }, { epoch: 131_072, node: "entry-1" }];
    const earlier = createRun({ fencingToken: 65_540 });
    const later = createRun({ run: 2, server: "i-2", startedAt: 150, fencingToken: 131_075 });
    const found = judgement.findDuplicateRuns([earlier, later], counted);
    assert.is(found.length, 1);
    assert.match(found[0]!, /entry-1.* while .*entry-0/);
});

suite("a run that starts after an acknowledged end as done is a duplicate", () => {
    const later = createRun({ run: 2, startedAt: 250 });
    assert.is(judgement.findDuplicateRuns([createRun({ acknowledgedAt: 220 }), later], terms).length, 1);
    assert.is(judgement.findDuplicateRuns([createRun({ acknowledgedAt: 300 }), later], terms).length, 1);
});

suite("a run after an end that wasn't acknowledged, or wasn't done, is none", () => {
    const later = createRun({ run: 2, startedAt: 250 });
    assert.equal(judgement.findDuplicateRuns([createRun({}), later], terms), []);
    assert.equal(judgement.findDuplicateRuns([createRun({ how: "lapsed", acknowledgedAt: 220 }), later], terms), []);
    assert.equal(judgement.findDuplicateRuns([createRun({}), createRun({ task: "b.0.0.0" })], terms), []);
});

suite("two processes that order a machine with one token, or coordinate in one epoch, are found", () => {
    const orders = [createOrder("entry-0", 1), createOrder("entry-1", 1)];
    assert.is(judgement.findConcurrentCoordinators(orders, terms).length, 1);
    assert.is(judgement.findConcurrentCoordinators([], [...terms, { epoch: 2, node: "entry-0" }]).length, 1);
});

suite("an order with a lower token after one with a higher token is found, in turn they aren't", () => {
    const inTurn = [createOrder("entry-0", 1), createOrder("entry-1", 2), createOrder("entry-0", 1, "m-2")];
    assert.equal(judgement.findConcurrentCoordinators(inTurn, terms), []);
    assert.is(judgement.findConcurrentCoordinators([...inTurn, createOrder("entry-0", 1)], terms).length, 1);
});

suite.run();
