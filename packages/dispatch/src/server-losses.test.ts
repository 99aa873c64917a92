/** What proves the loss of a server: a list of machines, also a first one, but not while the server may run on. */
import * as platform from "@catkinwharf/platform";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as serverLosses from "./server-losses.js";

const suite = uvu.suite("server losses");
const { up, down, moving } = platform.machineCalls.MachineState;
const none: ReadonlySet<string> = new Set();

type Machine = platform.machineCalls.Machine;

function list(rows: readonly (readonly [string, Machine["state"], string])[], complete = true, requestedAt = 100) {
    const machines = rows.map(([id, state, server]) => ({ id, state, server }) as Machine);
    return { machines, complete, requestedAt };
}

function contact(id: string, overrides: Partial<serverLosses.ServerContact> = {}): serverLosses.ServerContact {
    return { id, reachable: false, lastAnswerAt: 50, hasRuns: true, ...overrides };
}

function listKinds(losses: readonly serverLosses.ServerLoss[]): string[] {
    return losses.map(({ server, kind }) => `${server} ${kind}`);
}

suite("a server is lost once its machine is listed without it, by a crash or an order", () => {
    for (
        const [state, ordered, kind] of [
            [down, none, "crash"],
            [up, none, "crash"],
            [moving, none, "ordered"],
            [up, new Set(["m-1"]), "ordered"],
        ] as const
    ) {
        const losses = new serverLosses.ServerLosses();
        assert.equal(losses.apply(list([["m-1", up, "i-1"]]), [contact("i-1")], none), []);
        assert.equal(listKinds(losses.apply(list([["m-1", state, ""]]), [contact("i-1")], ordered)), [`i-1 ${kind}`]);
        assert.equal(losses.apply(list([["m-1", state, ""]]), [contact("i-1")], ordered), []);
    }
    const losses = new serverLosses.ServerLosses();
    losses.apply(list([["m-1", up, "i-1"]]), [], none);
    losses.recordOrder("i-1");
    assert.equal(listKinds(losses.apply(list([["m-1", up, "i-2"]]), [contact("i-1")], none)), ["i-1 ordered"]);
});

suite("the loss of a server is forgotten, as it is listed before its poll fails", () => {
    const losses = new serverLosses.ServerLosses();
    losses.apply(list([["m-1", up, "i-1"]]), [contact("i-1", { reachable: true })], none);
    assert.equal(losses.apply(list([["m-1", down, ""]]), [contact("i-1", { reachable: true })], none), []);
    // It has responded after the list was requested.
    assert.equal(losses.apply(list([["m-1", down, ""]]), [contact("i-1", { lastAnswerAt: 101 })], none), []);
    assert.equal(listKinds(losses.apply(list([["m-1", down, ""]]), [contact("i-1")], none)), ["i-1 crash"]);
});

suite("a server that no list has named is lost after several complete lists in a row without it, not before", () => {
    const losses = new serverLosses.ServerLosses();
    const contacts = [contact("i-1")];
    const missing = list([["m-1", down, ""]]);
    const listTimes = (count: number, one = missing) =>
        Array.from({ length: count }, () => listKinds(losses.apply(one, contacts, none))).flat();
    assert.equal(listTimes(serverLosses.missedListsUntilGone - 1), []);
    assert.equal(listTimes(1, list([["m-1", down, ""]], false)), []);
    // It runs on, cut off.
    assert.equal(listTimes(20, list([["m-1", up, "i-1"]])), []);
    assert.equal(listTimes(1, list([["m-2", up, ""]])), []);
    assert.equal(listTimes(1, list([["m-1", up, "i-1"]])), []);
    const unnamed = new serverLosses.ServerLosses();
    const kinds = Array.from({ length: 5 }, () => listKinds(unnamed.apply(missing, contacts, none)));
    assert.equal(kinds, [[], [], [], [], ["i-1 unlisted"]]);
});

suite("a server that lists omit although it responds is taken for lost when it is cut off", () => {
    const losses = new serverLosses.ServerLosses();
    losses.apply(list([]), [contact("i-1", { reachable: true })], none);
    for (let i = 0; i < 10; i++) {
        assert.equal(losses.apply(list([]), [contact("i-1")], none), []);
    }
});

suite.run();
