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

/** Asserts that what the callers of one call were told agrees with how often it ran. */
async function assertHonest(session: bench.Session, id: string, attempts: readonly bench.Attempt[]): Promise<void> {
    const runs = await bench.countRuns(session.running, id);
    assert.ok(runs <= 1, `${id} ran ${runs} times`);
    const outcomes = attempts.map(attempt => attempt.outcome);
    assert.ok(attempts.every(attempt => attempt.matched), `${id} got another answer`);
    assert.ok(runs === 1 || !outcomes.includes(types.Outcome.answered), `${id} was answered and not run`);
    const all = outcomes.length > 0 && outcomes.every(outcome => outcome === types.Outcome.notRun);
    assert.ok(runs === 0 || !all, `${id} ran and was told not-run only`);
}

function findEntries(session: bench.Session): readonly [testUtils.RunningEntry, testUtils.RunningEntry] {
    const [left, right] = session.running.entries;
    assert.ok(left !== undefined && right !== undefined);
    return [left, right];
}

async function raceKeys(session: bench.Session): Promise<void> {
    const [left, right] = findEntries(session);
    for (const id of ["race-1", "race-2", "race-3"]) {
        const raced = await Promise.all([left, right, left, right].map(entry => bench.callOnce(entry, { id })));
        const repeated = await Promise.all([left, right].map(entry => bench.callOnce(entry, { id })));
        const outcomes = [...raced, ...repeated].map(attempt => attempt.outcome);
        assert.equal(new Set(outcomes), new Set([types.Outcome.answered]));
        assert.is(await bench.countRuns(session.running, id), 1);
    }
}

/** Outcomes of a call whose run went wrong in a way that `faults` sets. */
async function callUnderFaults(
    session: bench.Session,
    id: string,
    faults: testUtils.BackendServerFaults,
    healed: testUtils.BackendServerFaults,
): Promise<readonly bench.Attempt[]> {
    const [left, right] = findEntries(session);
    await bench.setBackendFaults(session.running, faults);
    const first = await bench.callOnce(left, { id });
    await bench.setBackendFaults(session.running, healed);
    const repeats = [await bench.callOnce(left, { id }), await bench.callOnce(right, { id })];
    await assertHonest(session, id, [first, ...repeats]);
    return [first, ...repeats];
}

async function spoilAnswers(session: bench.Session): Promise<void> {
    const cut = await callUnderFaults(session, "cut", { cutMidAnswer: true }, { cutMidAnswer: false });
    assert.equal(cut.map(attempt => attempt.reason), ["answer-cut-short", "outcome-unknown", "outcome-unknown"]);
    const crossed = await callUnderFaults(session, "crossed", { wrongRequestId: true }, { wrongRequestId: false });
    assert.equal(crossed.map(attempt => attempt.reason), ["answer-mismatched", "outcome-unknown", "outcome-unknown"]);
    const strange = await callUnderFaults(
        session,
        "crossed-refusal",
        { refuse: true, wrongRequestId: true },
        { refuse: false, wrongRequestId: false },
    );
    assert.is(strange[0]?.reason, "answer-mismatched");
    const refused = await callUnderFaults(session, "refused", { refuse: true }, { refuse: false });
    assert.is(refused[0]?.outcome, types.Outcome.notRun);
    const [left] = findEntries(session);
    await bench.repeatUntilAnswered(left, { id: "refused" });
    assert.is(await bench.countRuns(session.running, "refused"), 1);
}

async function answerLate(session: bench.Session): Promise<void> {
    const [left, right] = findEntries(session);
    const call = { id: "late", timeoutMs: 600, runMs: 1_500 };
    const first = await bench.callOnce(left, call);
    const repeat = await bench.callOnce(right, { ...call, timeoutMs: 3_000 });
    assert.equal([first.outcome, repeat.outcome], [types.Outcome.unknown, types.Outcome.unknown]);
    assert.is(await bench.countRuns(session.running, "late"), 1);
}

/** The answer to the claim's append is lost, with the reader in contact or frozen out. */
async function loseClaimAnswers(session: bench.Session): Promise<void> {
    const [left, right] = findEntries(session);
    const { controlPort } = session.running.platform;
    await testUtils.setFaults(controlPort, { loseAnswers: "all" });
    const first = await bench.callOnce(left, { id: "lost-claim" });
    await testUtils.setFaults(controlPort, { loseAnswers: 0 });
    await assertHonest(session, "lost-claim", [first, await bench.callOnce(right, { id: "lost-claim" })]);
    await testUtils.setFaults(controlPort, { slowMs: 300, loseAnswers: "all" });
    const frozen = bench.callOnce(left, { id: "frozen-claim", timeoutMs: 1_500 });
    await waitForClaim(session, "frozen-claim");
    await testUtils.setFaults(controlPort, { freeze: true });
    const outcomes = [await frozen];
    await testUtils.setFaults(controlPort, { freeze: false, slowMs: 0, loseAnswers: 0 });
    await assertHonest(session, "frozen-claim", outcomes);
    await bench.repeatUntilAnswered(left, { id: "frozen-claim" });
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

/** The holder is killed while the request runs: the key is never run again, and nobody is told `not-run`. */
async function killHolder(session: bench.Session): Promise<void> {
    const [left, right] = findEntries(session);
    const call = { id: "killed", runMs: 1_000 };
    const first = bench.callOnce(left, call);
    await bench.waitForRun(session.running, "killed");
    await session.running.killEntry(left.name);
    assert.is((await first).outcome, "lost");
    assert.is((await bench.callOnce(right, call)).outcome, types.Outcome.unknown);
    await testUtils.setFaults(session.running.platform.controlPort, { down: true });
    const operator = bench.createOperator(session.running, 1);
    await bench.waitForStatus(operator, status => status.blind, 15_000);
    assert.is((await bench.callOnce(right, call)).outcome, types.Outcome.unknown);
    await testUtils.setFaults(session.running.platform.controlPort, { down: false });
    await bench.waitForStatus(operator, status => !status.blind, 15_000);
    await session.running.startEntry(left.name);
    await session.running.waitReady();
    const repeats = await Promise.all(session.running.entries.map(entry => bench.callOnce(entry, call)));
    assert.equal(repeats.map(attempt => attempt.outcome), [types.Outcome.unknown, types.Outcome.unknown]);
    assert.is(await bench.countRuns(session.running, "killed"), 1);
}

suite("keys run at most once, and outcomes are honest", () =>
    bench.runSession({ launch, seed }, async session => {
        await raceKeys(session);
        await spoilAnswers(session);
        await answerLate(session);
        await killHolder(session);
        await loseClaimAnswers(session);
    }));

suite.run();
