import * as bench from "@catkinwharf/bench";
import * as schema from "@catkinwharf/schema";
import * as testUtils from "@catkinwharf/test-utils";
import * as types from "@catkinwharf/types";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const seed = 3;
const launch: testUtils.LaunchOptions = {
    deployment: testUtils.createSmallDeployment(),
    settingsOverrides: { session: bench.shortSessionTimes, log: { timeoutMs: 500, longPollMs: 200 } },
};
/** Maximum time in ms until an entry instance has a link to another. */
const linkTimeoutMs = 15_000;
const linkPollMs = 100;
const suite = uvu.suite(`platform outage (seed ${seed})`);

/** Faults that start each kind of outage, and those that end it. */
const outages: Readonly<Record<string, readonly [testUtils.PlatformFaults, testUtils.PlatformFaults]>> = {
    down: [{ down: true }, { down: false }],
    silent: [{ freeze: true }, { freeze: false }],
};

async function waitForContact(session: bench.Session, contact: boolean): Promise<void> {
    const operators = session.running.entries.map((_, index) => bench.createOperatorClient(session.running, index));
    await Promise.all(
        operators.map(operator => bench.waitForStatus(operator, status => status.blind === !contact, 15_000)),
    );
}

/** Publishes the configuration again and waits until all entry instances have its new version. */
async function publishVersion2(session: bench.Session): Promise<void> {
    const operators = session.running.entries.map((_, index) => bench.createOperatorClient(session.running, index));
    const publisher = bench.createOperatorClient(session.running);
    await bench.publishUntilAccepted(() => publisher.publishConfiguration(session.running.configuration(), 1));
    const isReached = (status: schema.operator.StatusAnswer): boolean => status.configurationVersion === 2;
    await Promise.all(operators.map(operator => bench.waitForStatus(operator, isReached, 15_000)));
}

/** Reasons of a ticket's call while the link between its entry instance and the issuer is down. */
const lostLinkReasons: readonly string[] = [types.Reason.keyHolderLost, types.Reason.peerLost];

/**
 * Sends a call with a ticket of `issuer` through another entry instance and returns it once it is answered. Each attempt
 * whose link to the issuer was lost is followed by one with a new ticket, because the issuer may have run it.
 */
async function callWithTicket(
    issuer: testUtils.RunningEntry,
    entry: testUtils.RunningEntry,
    name: string,
): Promise<{ readonly id: string; readonly key: string; }> {
    const timeoutAt = performance.now() + linkTimeoutMs;
    for (let count = 1;; count++) {
        const call = { id: `${name}-${count}`, key: await bench.requestTicket(issuer) };
        const { outcome, reason } = await bench.callOnce(entry, call);
        if (outcome === types.Outcome.answered) {
            return call;
        }
        assert.ok(lostLinkReasons.includes(reason), `call ${call.id} was told ${outcome} ${reason}`);
        assert.ok(performance.now() < timeoutAt, `${entry.name} has no link to ${issuer.name}`);
        await new Promise(resolve => setTimeout(resolve, linkPollMs));
    }
}

/**
 * During an outage, requests with keys and publications fail at once and write nothing to the log. Requests with
 * tickets are answered.
 */
async function checkOutage(session: bench.Session, name: string): Promise<void> {
    const [entryA, entryB] = session.running.entries;
    assert.ok(entryA !== undefined && entryB !== undefined);
    const outage = outages[name] ?? [{}, {}];
    await testUtils.setFaults(session.running.platform.controlPort, outage[0]);
    await waitForContact(session, false);
    const id = `keyed-${name}`;
    const call = { id, timeoutMs: 60_000 };
    const keyedAttempts = await Promise.all([entryA, entryB].map(entry => bench.callOnce(entry, call)));
    assert.equal(keyedAttempts.map(attempt => attempt.reason), ["platform-unavailable", "platform-unavailable"]);
    assert.equal(keyedAttempts.map(attempt => attempt.outcome), [types.Outcome.unknown, types.Outcome.unknown]);
    assert.ok(keyedAttempts.every(attempt => attempt.endedAt - attempt.startedAt < call.timeoutMs / 2));
    const ticketCall = await callWithTicket(entryA, entryB, `ticket-${name}`);
    assert.is((await bench.callOnce(entryA, ticketCall)).outcome, types.Outcome.answered);
    const answer = await bench.createOperatorClient(session.running).publishConfiguration(
        session.running.configuration(),
        1,
    );
    assert.equal([answer.status, answer.offset], ["unavailable", -1]);
    await testUtils.setFaults(session.running.platform.controlPort, outage[1]);
    await waitForContact(session, true);
    assert.is(await bench.countRuns(session.running, id), 0);
    assert.is(await bench.countRuns(session.running, ticketCall.id), 1);
    const claims = await testUtils.readStream(session.running.platform, "claims");
    assert.not(JSON.stringify(claims).includes(`/${id}"`));
}

suite(
    "fails requests with keys at once during an outage, doesn't run them, and reports their outcome as unknown",
    () =>
        bench.runSession({ launch, seed }, async session => {
            for (const name of Object.keys(outages)) {
                await checkOutage(session, name);
            }
            const status = await bench.createOperatorClient(session.running).readStatus();
            assert.is(status.configurationVersion, 1);
        }),
);

/** Replaces the entry instances one after the other while the platform is unavailable. */
async function replaceEntries(session: bench.Session): Promise<void> {
    for (const { name } of session.running.entries) {
        session.listTargets = () => session.running.entries.filter(entry => entry.name !== name);
        const replacedEntry = session.running.findEntry(name);
        testUtils.signalProcess(replacedEntry.handle, "SIGTERM");
        await replacedEntry.handle.exited;
        const started = await session.running.startEntry(name);
        await session.running.waitReady();
        const index = session.running.entries.indexOf(started);
        const status = await bench.createOperatorClient(session.running, index).readStatus();
        assert.equal([status.configurationVersion, status.blind], [2, true]);
    }
    session.listTargets = () => session.running.entries;
}

suite(
    "an entry instance that starts takes its state from a peer, and routes to others",
    () =>
        bench.runSession({ launch, seed }, async session => {
            const [entryA, entryB] = session.running.entries;
            assert.ok(entryA !== undefined && entryB !== undefined);
            await publishVersion2(session);
            const { controlPort } = session.running.platform;
            await testUtils.setFaults(controlPort, { down: true });
            await waitForContact(session, false);
            const issuerLostCall = await callWithTicket(entryA, entryB, "issuer-lost");
            await session.running.killEntry(entryA.name);
            assert.is((await bench.callOnce(entryB, issuerLostCall)).outcome, types.Outcome.unknown);
            const started = await session.running.startEntry(entryA.name);
            await session.running.waitReady();
            const status = await bench.createOperatorClient(session.running).readStatus();
            assert.equal([status.configurationVersion, status.blind], [2, true]);
            const newTicketCall = { id: "new-ticket", key: await bench.requestTicket(started) };
            assert.is((await bench.callOnce(entryB, newTicketCall)).outcome, types.Outcome.unknown);
            assert.is((await bench.callOnce(started, newTicketCall)).outcome, types.Outcome.answered);
            assert.is((await bench.callOnce(started, { id: "new-key" })).reason, types.Reason.platformUnavailable);
            await testUtils.setFaults(controlPort, { down: false });
            await waitForContact(session, true);
            await bench.retryUntilAnswered(started, { id: "new-key" });
            assert.is((await bench.callOnce(entryB, issuerLostCall)).outcome, types.Outcome.unknown);
            assert.is(await bench.countRuns(session.running, issuerLostCall.id), 1);
            assert.equal(await session.check([]), []);
        }),
);

suite(
    "violates no guarantee while all entry instances are replaced during an outage under load",
    () =>
        bench.runSession({ launch, seed, maxAttempts: 2 }, async session => {
            await publishVersion2(session);
            const load = session.runLoad(7_000, bench.steadyShape, 0.2);
            const { controlPort } = session.running.platform;
            await testUtils.setFaults(controlPort, { down: true });
            await replaceEntries(session);
            await testUtils.setFaults(controlPort, { down: false });
            await waitForContact(session, true);
            const calls = await load;
            assert.equal(await session.check(calls), []);
            await Promise.all(
                session.running.entries.map(entry => bench.retryUntilAnswered(entry, { id: entry.name })),
            );
        }),
);

suite.run();
