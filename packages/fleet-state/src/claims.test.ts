import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as fleetState from "./index.js";

const rememberMs = 1000;

function claim(session: string, requestId: string, key = "k"): Record<string, unknown> {
    return { kind: "key-claimed", id: `c-${requestId}`, author: session, key, session, requestId, fingerprint: "f" };
}

function release(session: string, requestId: string): Record<string, unknown> {
    return { kind: "key-released", id: `l-${requestId}`, author: session, key: "k", session, requestId };
}

function settle(session: string, requestId: string): Record<string, unknown> {
    const result = { outcome: "answered", status: 200 };
    return { kind: "key-settled", id: `s-${requestId}`, author: session, key: "k", session, requestId, ...result };
}

/** Applies records one ms apart, starting at `at`, and returns for each whether it won. */
function applyAll(table: fleetState.ClaimTable, bodies: readonly unknown[], at = 0): boolean[] {
    return bodies.map((body, index) => table.apply({ offset: table.nextOffset, appendedAt: at + index, body }).won);
}

const suite = uvu.suite("claims");

suite("the first claim wins, also when it is appended twice", () => {
    const table = new fleetState.ClaimTable(rememberMs);
    assert.equal(applyAll(table, [claim("s1", "r1"), claim("s2", "r2"), claim("s1", "r1")]), [true, false, true]);
    const lost = table.apply({ offset: 3, appendedAt: 3, body: claim("s2", "r3") });
    assert.is(lost.holder?.requestId, "r1");
    assert.is(table.get("k")?.offset, 0);
});

suite("only the holder can release or settle a claim", () => {
    const table = new fleetState.ClaimTable(rememberMs);
    applyAll(table, [claim("s1", "r1"), release("s2", "r2"), settle("s2", "r1"), {
        ...settle("s1", "r1"),
        author: "s2",
    }]);
    assert.is(table.get("k")?.settled, undefined);
    applyAll(table, [
        settle("s1", "r1"),
        { ...settle("s1", "r1"), outcome: "unknown", status: 0 },
        release("s1", "r1"),
    ]);
    assert.equal(table.get("k")?.settled, { outcome: "answered", status: 200 });
});

suite("a released request never wins again, whether its claim or its release is appended first", () => {
    const table = new fleetState.ClaimTable(rememberMs);
    assert.equal(applyAll(table, [claim("s1", "r1"), release("s1", "r1"), claim("s1", "r1"), claim("s2", "r2")]), [
        true,
        false,
        false,
        true,
    ]);
    const early = new fleetState.ClaimTable(rememberMs);
    assert.equal(applyAll(early, [release("s1", "r1"), claim("s1", "r1")]), [false, false]);
});

suite("which claim wins does not depend on when a reader expires claims", () => {
    const eager = new fleetState.ClaimTable(rememberMs);
    const lazy = new fleetState.ClaimTable(rememberMs);
    for (const table of [eager, lazy]) {
        applyAll(table, [claim("s1", "r1"), claim("s1", "o", "other")]);
    }
    eager.expire(Number.MAX_SAFE_INTEGER);
    assert.is(eager.size, 2);
    for (const table of [eager, lazy]) {
        assert.equal(applyAll(table, [claim("s2", "r2")], rememberMs), [false]);
        eager.expire(Number.MAX_SAFE_INTEGER);
        assert.equal(applyAll(table, [claim("s3", "r3")], rememberMs + 1), [true]);
    }
    assert.is(lazy.expire(Number.MAX_SAFE_INTEGER), 0);
    applyAll(lazy, [claim("s4", "r4", "new")], 3 * rememberMs);
    assert.is(lazy.get("k"), undefined);
    assert.is(lazy.expire(Number.MAX_SAFE_INTEGER), 2);
    assert.is(lazy.size, 1);
});

suite("malformed records and offsets already applied never win", () => {
    const table = new fleetState.ClaimTable(rememberMs);
    for (const body of [undefined, 1, {}, { kind: "key-claimed" }, { ...claim("s1", "r1"), author: "s2" }]) {
        assert.equal(applyAll(table, [body]), [false]);
    }
    assert.is(table.nextOffset, 5);
    assert.is(table.apply({ offset: 0, appendedAt: 0, body: claim("s1", "r1") }).won, false);
    assert.is(table.size, 0);
});

suite.run();
