import * as bench from "@catkinwharf/bench";
import * as testUtils from "@catkinwharf/test-utils";
import * as types from "@catkinwharf/types";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const seed = 3;
const launch: testUtils.LaunchOptions = {
    deployment: testUtils.createSmallDeployment(),
    settingsOverrides: { session: bench.shortSessionTimes, log: { timeoutMs: 500, longPollMs: 200 } },
};
const suite = uvu.suite(`platform outage (seed ${seed})`);

const outages: Readonly<Record<string, readonly [testUtils.PlatformFaults, testUtils.PlatformFaults]>> = {
    down: [{ down: true }, { down: false }],
    silent: [{ freeze: true }, { freeze: false }],
};

async function waitForContact(session: bench.Session, contact: boolean): Promise<void> {
    const operators = session.running.entries.map((_, index) => bench.createOperator(session.running, index));
    await Promise.all(operators.map(one => bench.waitForStatus(one, status => status.blind === !contact, 15_000)));
}

/** Keys and changes are refused at once and leave no trace in the log; tickets and idempotent requests go on. */
async function refuseDuringOutage(session: bench.Session, name: string): Promise<void> {
    const [left, right] = session.running.entries;
    assert.ok(left !== undefined && right !== undefined);
    const faults = outages[name] ?? [{}, {}];
    await testUtils.setFaults(session.running.platform.controlPort, faults[0]);
    await waitForContact(session, false);
    const id = `keyed-${name}`;
    const ticket = await bench.requestTicket(left);
    const call = { id, timeoutMs: 60_000 };
    const keyed = await Promise.all([left, right].map(entry => bench.callOnce(entry, call)));
    assert.equal(keyed.map(attempt => attempt.reason), ["platform-unavailable", "platform-unavailable"]);
    assert.ok(keyed.every(attempt => attempt.endedAt - attempt.startedAt < call.timeoutMs / 2));
    const ticketCall = { id: `ticket-${name}`, key: ticket };
    const used = [await bench.callOnce(right, ticketCall), await bench.callOnce(left, ticketCall)];
    assert.equal(used.map(attempt => attempt.outcome), [types.Outcome.answered, types.Outcome.answered]);
    const answer = await bench.createOperator(session.running).publishConfiguration(session.running.configuration(), 1);
    assert.equal([answer.status, answer.offset], ["unavailable", -1]);
    await testUtils.setFaults(session.running.platform.controlPort, faults[1]);
    await waitForContact(session, true);
    assert.is(await bench.countRuns(session.running, id), 0);
    assert.is(await bench.countRuns(session.running, ticketCall.id), 1);
    const claims = await testUtils.readStream(session.running.platform, "claims");
    assert.not(JSON.stringify(claims).includes(`/${id}"`));
}

suite(
    "refuses what needs the log at once, and says that it was not run",
    () =>
        bench.runSession({ launch, seed }, async session => {
            for (const name of Object.keys(outages)) {
                await refuseDuringOutage(session, name);
            }
            const status = await bench.createOperator(session.running).readStatus();
            assert.is(status.configurationVersion, 1);
        }),
);

suite.run();
