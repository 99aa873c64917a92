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

async function raceTicket(session: bench.Session): Promise<void> {
    const [left, right] = session.running.entries;
    assert.ok(left !== undefined && right !== undefined);
    const call = { id: "raced", key: await bench.requestTicket(left), runMs: 100 };
    const raced = await Promise.all([right, left, right].map(entry => bench.callOnce(entry, call)));
    const repeat = await bench.callOnce(right, call);
    const outcomes = new Set([...raced, repeat].map(attempt => attempt.outcome));
    assert.equal(outcomes, new Set([types.Outcome.answered]));
    assert.is(await bench.countRuns(session.running, "raced"), 1);
    const other = await bench.callOnce(right, { ...call, id: "other" });
    assert.is(other.reason, types.Reason.keyConflict);
}

/** A run whose outcome is not known is not repeated; one that was refused is. */
async function failTickets(session: bench.Session): Promise<void> {
    const [left, right] = session.running.entries;
    assert.ok(left !== undefined && right !== undefined);
    const cut = { id: "cut", key: await bench.requestTicket(left) };
    await bench.setBackendFaults(session.running, { cutMidAnswer: true });
    const first = await bench.callOnce(right, cut);
    await bench.setBackendFaults(session.running, { cutMidAnswer: false, refuse: true });
    const refused = { id: "refused", key: await bench.requestTicket(left) };
    const refusal = await bench.callOnce(right, refused);
    await bench.setBackendFaults(session.running, { refuse: false });
    const repeats = [await bench.callOnce(right, cut), await bench.callOnce(left, cut)];
    assert.equal([first, ...repeats].map(attempt => attempt.outcome), Array(3).fill(types.Outcome.unknown));
    assert.is(refusal.outcome, types.Outcome.notRun);
    assert.is((await bench.callOnce(right, refused)).outcome, types.Outcome.answered);
    assert.equal([await bench.countRuns(session.running, "cut"), await bench.countRuns(session.running, "refused")], [
        1,
        1,
    ]);
}

/** The issuer is killed with one ticket in use and one unused; neither runs again, nor is it called not run. */
async function killIssuer(session: bench.Session): Promise<void> {
    const [left, right] = session.running.entries;
    assert.ok(left !== undefined && right !== undefined);
    const used = { id: "used", key: await bench.requestTicket(left), runMs: 1_000 };
    const unused = { id: "unused", key: await bench.requestTicket(left) };
    const first = bench.callOnce(right, used);
    await bench.waitForRun(session.running, "used");
    await session.running.killEntry(left.name);
    assert.is((await first).outcome, types.Outcome.unknown);
    await session.running.startEntry(left.name);
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
    "a ticket runs at most once, through any entry instance",
    () =>
        bench.runSession({ launch, seed }, async session => {
            await raceTicket(session);
            await failTickets(session);
            await killIssuer(session);
        }),
);

suite.run();
