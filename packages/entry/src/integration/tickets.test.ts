import * as bench from "@catkinwharf/bench";
import * as testUtils from "@catkinwharf/test-utils";
import * as types from "@catkinwharf/types";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const seed = 5;
const launch: testUtils.LaunchOptions = {
    deployment: testUtils.createSmallDeployment(),
    settingsOverrides: { session: bench.shortSessionTimes, log: { timeoutMs: 500, longPollMs: 200 } },
};
const suite = uvu.suite(`tickets (seed ${seed})`);

async function checkConcurrentUse(session: bench.Session): Promise<void> {
    const [entryA, entryB] = session.running.entries;
    assert.ok(entryA !== undefined && entryB !== undefined);
    const call = { id: "raced", key: await bench.requestTicket(entryA), runMs: 100 };
    const concurrent = await Promise.all([entryB, entryA, entryB].map(entry => bench.callOnce(entry, call)));
    const repeat = await bench.callOnce(entryB, call);
    const outcomes = new Set([...concurrent, repeat].map(attempt => attempt.outcome));
    assert.equal(outcomes, new Set([types.Outcome.answered]));
    assert.is(await bench.countRuns(session.running, "raced"), 1);
    const conflicting = await bench.callOnce(entryB, { ...call, id: "other" });
    assert.is(conflicting.reason, types.Reason.keyConflict);
}

/** A request with an unknown outcome isn't run again; one that the backend server refused is. */
async function checkFailedRuns(session: bench.Session): Promise<void> {
    const [entryA, entryB] = session.running.entries;
    assert.ok(entryA !== undefined && entryB !== undefined);
    const interrupted = { id: "cut", key: await bench.requestTicket(entryA) };
    await bench.setBackendServerFaults(session.running, { cutMidAnswer: true });
    const first = await bench.callOnce(entryB, interrupted);
    await bench.setBackendServerFaults(session.running, { cutMidAnswer: false, refuse: true });
    const refused = { id: "refused", key: await bench.requestTicket(entryA) };
    const refusal = await bench.callOnce(entryB, refused);
    await bench.setBackendServerFaults(session.running, { refuse: false });
    const repeats = [await bench.callOnce(entryB, interrupted), await bench.callOnce(entryA, interrupted)];
    assert.equal([first, ...repeats].map(attempt => attempt.outcome), Array(3).fill(types.Outcome.unknown));
    assert.is(refusal.outcome, types.Outcome.notRun);
    assert.is((await bench.callOnce(entryB, refused)).outcome, types.Outcome.answered);
    assert.equal([await bench.countRuns(session.running, "cut"), await bench.countRuns(session.running, "refused")], [
        1,
        1,
    ]);
}

/**
 * Kills the entry instance that issued two tickets, one in use and one unused. Afterwards neither starts a run, and
 * both get an unknown outcome, not `not-run`.
 */
async function checkKilledIssuer(session: bench.Session): Promise<void> {
    const [entryA, entryB] = session.running.entries;
    assert.ok(entryA !== undefined && entryB !== undefined);
    const used = { id: "used", key: await bench.requestTicket(entryA), runMs: 1_000 };
    const unused = { id: "unused", key: await bench.requestTicket(entryA) };
    const first = bench.callOnce(entryB, used);
    await bench.waitForRun(session.running, "used");
    await session.running.killEntry(entryA.name);
    assert.is((await first).outcome, types.Outcome.unknown);
    await session.running.startEntry(entryA.name);
    await session.running.waitReady();
    for (const entry of session.running.entries) {
        assert.is((await bench.callOnce(entry, used)).outcome, types.Outcome.unknown);
        assert.is((await bench.callOnce(entry, unused)).outcome, types.Outcome.unknown);
    }
    assert.equal([await bench.countRuns(session.running, "used"), await bench.countRuns(session.running, "unused")], [
        1,
        0,
    ]);
}

suite(
    "a request with a ticket runs at most once, whichever entry instance receives it",
    () =>
        bench.runSession({ launch, seed }, async session => {
            await checkConcurrentUse(session);
            await checkFailedRuns(session);
            await checkKilledIssuer(session);
        }),
);

suite.run();
