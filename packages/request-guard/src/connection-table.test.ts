/** Guards against closing connections of ordinary callers, and against keeping those of clients that make no progress. */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as connectionTable from "./connection-table.js";
import * as guardLimits from "./guard-limits.js";

const suite = uvu.suite("connection table");
const { CloseReason, Phase } = connectionTable;
const limits = guardLimits.deriveLimits({ memory: 160, descriptors: 4100 });
/** Monotonic time in ms. */
const now = 1_000_000;

function createConnection(fields: Partial<connectionTable.Connection>): connectionTable.Connection {
    return { ...connectionTable.createConnection(now - 500_000), ...fields };
}

function createRequest(
    age: number,
    bodyComplete: boolean,
    responseAge?: number,
): connectionTable.PendingRequest {
    return {
        startedAt: now - age,
        bodyComplete,
        respondedAt: responseAge === undefined ? undefined : now - responseAge,
    };
}

function findOverdue(fields: Partial<connectionTable.Connection>): unknown {
    return connectionTable.findOverdue(createConnection(fields), limits, now);
}

suite("the phase is what the oldest unfinished request waits for", () => {
    const describe = (fields: Partial<connectionTable.Connection>) =>
        connectionTable.describePhase(createConnection(fields)).phase;
    assert.is(describe({}), Phase.silent);
    assert.is(describe({ headSince: now }), Phase.head);
    assert.is(describe({ headSince: now, idleSince: now - 1 }), Phase.head);
    assert.is(describe({ idleSince: now }), Phase.idle);
    assert.is(describe({ requests: [createRequest(9, false)] }), Phase.body);
    assert.is(describe({ requests: [createRequest(9, true)] }), Phase.response);
    assert.is(describe({ requests: [createRequest(9, true, 5), createRequest(8, false)] }), Phase.reading);
    assert.is(describe({ requests: [createRequest(9, false, 5)] }), Phase.body);
    assert.is(describe({ requests: [createRequest(9, true)], closingSince: now }), Phase.closing);
});

suite("what waits for the client is overdue after its time, what waits for this process never", () => {
    assert.is(findOverdue({ headSince: now - limits.headerTimeout - 1 }), CloseReason.headerTimeout);
    assert.is(findOverdue({ headSince: now - 3000 }), undefined);
    assert.is(findOverdue({ requests: [createRequest(limits.bodyTimeout + 1, false)] }), CloseReason.bodyTimeout);
    assert.is(findOverdue({ requests: [createRequest(3000, false)] }), undefined);
    const unread = createRequest(60_000, true, limits.responseTimeout + 1);
    assert.is(findOverdue({ requests: [unread] }), CloseReason.responseTimeout);
    assert.is(findOverdue({ requests: [createRequest(400_000, true)] }), undefined);
    assert.is(findOverdue({ idleSince: now - 400_000 }), undefined);
    assert.is(findOverdue({}), undefined);
});

suite("the connection that has waited longest for its client is closed before any idle one", () => {
    const idle = createConnection({ idleSince: now - 70_000 });
    const busy = createConnection({ requests: [createRequest(90_000, true)] });
    const recent = createConnection({ requests: [createRequest(100, false)] });
    const slow = createConnection({ requests: [createRequest(2000, false)] });
    const slower = createConnection({ headSince: now - 3000 });
    const closing = createConnection({ closingSince: now });
    const order = [closing, slower, slow, idle, recent, busy];
    for (let left = [idle, busy, recent, slow, slower, closing], i = 0; left.length > 0; i++) {
        const found = connectionTable.findLeastProgress(left, now);
        assert.is(found, order[i], `connection ${i}`);
        left = left.filter(connection => connection !== found);
    }
});

suite("of idle connections the one without a request for the longest time is closed", () => {
    const idle = [5000, 70_000, 100].map(age => createConnection({ idleSince: now - age }));
    assert.is(connectionTable.findLeastProgress(idle, now), idle[1]);
    assert.is(connectionTable.findLeastProgress([], now), undefined);
});

suite.run();
