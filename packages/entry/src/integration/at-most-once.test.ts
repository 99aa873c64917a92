import * as bench from "@catkinwharf/bench";
import * as testUtils from "@catkinwharf/test-utils";
import * as types from "@catkinwharf/types";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const seed = 2;
const launch: testUtils.LaunchOptions = {
    deployment: testUtils.createSmallDeployment(),
    settingsOverrides: { session: bench.shortSessionTimes, log: { timeoutMs: 500, longPollMs: 200 } },
};
const suite = uvu.suite(`at most once (seed ${seed})`);

/** Asserts that the outcomes reported for a call agree with how often it ran. */
async function assertOutcomesMatchRuns(
    session: bench.Session,
    id: string,
    attempts: readonly bench.Attempt[],
): Promise<void> {
    const runs = await bench.countRuns(session.running, id);
    assert.ok(runs <= 1, `${id} ran ${runs} times`);
    const outcomes = attempts.map(attempt => attempt.outcome);
    assert.ok(attempts.every(attempt => attempt.matched), `${id} received the response to another request`);
    assert.ok(
        runs === 1 || !outcomes.includes(types.Outcome.answered),
        `${id} has the outcome answered but did not run`,
    );
    const allNotRun = outcomes.length > 0 && outcomes.every(outcome => outcome === types.Outcome.notRun);
    assert.ok(runs === 0 || !allNotRun, `${id} ran, but every attempt has the outcome not-run`);
}

function findEntries(session: bench.Session): readonly [testUtils.RunningEntry, testUtils.RunningEntry] {
    const [entryA, entryB] = session.running.entries;
    assert.ok(entryA !== undefined && entryB !== undefined);
    return [entryA, entryB];
}

async function checkConcurrentCalls(session: bench.Session): Promise<void> {
    const [entryA, entryB] = findEntries(session);
    for (const id of ["race-1", "race-2", "race-3"]) {
        const concurrent = await Promise.all(
            [entryA, entryB, entryA, entryB].map(entry => bench.callOnce(entry, { id })),
        );
        const repeats = await Promise.all([entryA, entryB].map(entry => bench.callOnce(entry, { id })));
        const outcomes = [...concurrent, ...repeats].map(attempt => attempt.outcome);
        assert.equal(new Set(outcomes), new Set([types.Outcome.answered]));
        assert.is(await bench.countRuns(session.running, id), 1);
    }
}

/** Calls once while `faults` hold, then repeats the call through both entry instances after they are cleared. */
async function callUnderFaults(
    session: bench.Session,
    id: string,
    faults: testUtils.BackendServerFaults,
    clearedFaults: testUtils.BackendServerFaults,
): Promise<readonly bench.Attempt[]> {
    const [entryA, entryB] = findEntries(session);
    await bench.setBackendServerFaults(session.running, faults);
    const first = await bench.callOnce(entryA, { id });
    await bench.setBackendServerFaults(session.running, clearedFaults);
    const repeats = [await bench.callOnce(entryA, { id }), await bench.callOnce(entryB, { id })];
    await assertOutcomesMatchRuns(session, id, [first, ...repeats]);
    return [first, ...repeats];
}

async function checkFaultyResponses(session: bench.Session): Promise<void> {
    const cut = await callUnderFaults(session, "cut", { cutMidAnswer: true }, { cutMidAnswer: false });
    assert.equal(cut.map(attempt => attempt.reason), ["answer-cut-short", "outcome-unknown", "outcome-unknown"]);
    const mismatched = await callUnderFaults(session, "mismatched", { wrongRequestId: true }, {
        wrongRequestId: false,
    });
    assert.equal(mismatched.map(attempt => attempt.reason), [
        "answer-mismatched",
        "outcome-unknown",
        "outcome-unknown",
    ]);
    const mismatchedRefusal = await callUnderFaults(
        session,
        "mismatched-refusal",
        { refuse: true, wrongRequestId: true },
        { refuse: false, wrongRequestId: false },
    );
    assert.is(mismatchedRefusal[0]?.reason, "answer-mismatched");
    const refused = await callUnderFaults(session, "refused", { refuse: true }, { refuse: false });
    assert.is(refused[0]?.outcome, types.Outcome.notRun);
    const [entryA] = findEntries(session);
    await bench.retryUntilAnswered(entryA, { id: "refused" });
    assert.is(await bench.countRuns(session.running, "refused"), 1);
}

async function checkLateResponse(session: bench.Session): Promise<void> {
    const [entryA, entryB] = findEntries(session);
    const call = { id: "late", timeoutMs: 600, runMs: 1_500 };
    const first = await bench.callOnce(entryA, call);
    const repeat = await bench.callOnce(entryB, { ...call, timeoutMs: 3_000 });
    assert.equal([first.outcome, repeat.outcome], [types.Outcome.unknown, types.Outcome.unknown]);
    assert.is(await bench.countRuns(session.running, "late"), 1);
}

/**
 * The response to the append of a claim is lost: first while the entry instance can read the log, then while the
 * platform is frozen.
 */
async function checkLostClaimResponses(session: bench.Session): Promise<void> {
    const [entryA, entryB] = findEntries(session);
    const { controlPort } = session.running.platform;
    await testUtils.setFaults(controlPort, { loseAnswers: "all" });
    const first = await bench.callOnce(entryA, { id: "lost-claim" });
    await testUtils.setFaults(controlPort, { loseAnswers: 0 });
    await assertOutcomesMatchRuns(session, "lost-claim", [first, await bench.callOnce(entryB, { id: "lost-claim" })]);
    await testUtils.setFaults(controlPort, { slowMs: 300, loseAnswers: "all" });
    const pendingAttempt = bench.callOnce(entryA, { id: "frozen-claim", timeoutMs: 1_500 });
    await waitForClaim(session, "frozen-claim");
    await testUtils.setFaults(controlPort, { freeze: true });
    const outcomes = [await pendingAttempt];
    await testUtils.setFaults(controlPort, { freeze: false, slowMs: 0, loseAnswers: 0 });
    await assertOutcomesMatchRuns(session, "frozen-claim", outcomes);
    await bench.retryUntilAnswered(entryA, { id: "frozen-claim" });
    assert.is(await bench.countRuns(session.running, "frozen-claim"), 1);
}

async function waitForClaim(session: bench.Session, key: string): Promise<void> {
    for (;;) {
        const claims = await testUtils.readStream(session.running.platform, "claims");
        if (claims.some(entry => (entry.body as { key?: string; }).key?.endsWith(`/${key}`))) {
            return;
        }
    }
}

/**
 * Kills the entry instance that holds the key while the request runs. The request never runs again, and no caller gets
 * the outcome `not-run`.
 */
async function checkKilledHolder(session: bench.Session): Promise<void> {
    const [entryA, entryB] = findEntries(session);
    const call = { id: "killed", runMs: 1_000 };
    const first = bench.callOnce(entryA, call);
    await bench.waitForRun(session.running, "killed");
    await session.running.killEntry(entryA.name);
    assert.is((await first).outcome, "lost");
    assert.is((await bench.callOnce(entryB, call)).outcome, types.Outcome.unknown);
    await testUtils.setFaults(session.running.platform.controlPort, { down: true });
    const operator = bench.createOperatorClient(session.running, 1);
    await bench.waitForStatus(operator, status => status.blind, 15_000);
    assert.is((await bench.callOnce(entryB, call)).outcome, types.Outcome.unknown);
    await testUtils.setFaults(session.running.platform.controlPort, { down: false });
    await bench.waitForStatus(operator, status => !status.blind, 15_000);
    await session.running.startEntry(entryA.name);
    await session.running.waitReady();
    const repeats = await Promise.all(session.running.entries.map(entry => bench.callOnce(entry, call)));
    assert.equal(repeats.map(attempt => attempt.outcome), [types.Outcome.unknown, types.Outcome.unknown]);
    assert.is(await bench.countRuns(session.running, "killed"), 1);
}

suite(
    "a key runs at most once, and reported outcomes agree with its runs",
    () =>
        bench.runSession({ launch, seed }, async session => {
            await checkConcurrentCalls(session);
            await checkFaultyResponses(session);
            await checkLateResponse(session);
            await checkKilledHolder(session);
            await checkLostClaimResponses(session);
        }),
);

suite.run();
