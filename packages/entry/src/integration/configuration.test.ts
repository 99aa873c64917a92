import * as bench from "@catkinwharf/bench";
import * as schema from "@catkinwharf/schema";
import * as testUtils from "@catkinwharf/test-utils";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const seed = 4;
/** Records that the platform retains. With short session times, renewals exceed this number within seconds. */
const retentionEntries = 40;
const launch: testUtils.LaunchOptions = {
    deployment: testUtils.createSmallDeployment(),
    platform: { retentionEntries },
    settingsOverrides: {
        session: bench.shortSessionTimes,
        log: { timeoutMs: 500, longPollMs: 200, snapshotEvery: 10 },
    },
};
const waitTimeoutMs = 15_000;
const suite = uvu.suite(`configuration (seed ${seed})`);

function createConfiguration(session: bench.Session, timeoutMs: number): schema.log.Configuration {
    const base = session.running.configuration();
    return { ...base, services: base.services.map(service => ({ ...service, timeoutMs })) };
}

function listOperators(session: bench.Session): readonly bench.OperatorClient[] {
    return session.running.entries.map((_, index) => bench.createOperatorClient(session.running, index));
}

async function waitForVersion(session: bench.Session, version: number): Promise<void> {
    await Promise.all(
        listOperators(session).map(operator =>
            bench.waitForStatus(operator, status => status.configurationVersion >= version, waitTimeoutMs)
        ),
    );
}

/**
 * Publishes two configurations that replace the same version, at the same time and through two entry instances. One is
 * accepted, the other one conflicts.
 */
async function publishConcurrently(
    session: bench.Session,
    version: number,
    faults: testUtils.PlatformFaults,
): Promise<void> {
    await testUtils.setFaults(session.running.platform.controlPort, faults);
    const answers = await Promise.all(
        listOperators(session).map((operator, index) =>
            operator.publishConfiguration(createConfiguration(session, 5_000 + index), version)
        ),
    );
    await testUtils.setFaults(session.running.platform.controlPort, { loseAnswers: 0, slowMs: 0 });
    assert.equal(answers.map(answer => answer.status).sort(), ["accepted", "conflict"]);
    assert.equal(answers.map(answer => answer.version), [version + 1, version + 1]);
    await waitForVersion(session, version + 1);
}

/** Waits until the platform no longer retains the record of the newest configuration. */
async function waitPastRetention(session: bench.Session): Promise<void> {
    for (;;) {
        const entries = await testUtils.readStream(session.running.platform, "fleet");
        const publishedIndex = entries.findLastIndex(entry =>
            (entry.body as { kind?: string; }).kind === "configuration-published"
        );
        if (entries.length - publishedIndex > 2 * retentionEntries) {
            return;
        }
        await new Promise(resolve => setTimeout(resolve, 50));
    }
}

/** An entry process that starts after retention dropped the records loads a snapshot and has the newest version. */
async function restartBeyondRetention(session: bench.Session, version: number): Promise<void> {
    const [entryA] = session.running.entries;
    assert.ok(entryA !== undefined);
    await waitPastRetention(session);
    await session.running.killEntry(entryA.name);
    const started = await session.running.startEntry(entryA.name);
    await session.running.waitReady();
    const status = await bench.createOperatorClient(session.running, 0).readStatus();
    assert.is(status.configurationVersion, version);
    assert.match(started.handle.readOutput(), /from a snapshot/);
}

suite(
    "one of two concurrent publications is accepted, and versions never decrease",
    () =>
        bench.runSession({ launch, seed }, async session => {
            await publishConcurrently(session, 1, {});
            await publishConcurrently(session, 2, { loseAnswers: "all" });
            await publishConcurrently(session, 3, { slowMs: 100 });
            await restartBeyondRetention(session, 4);
            await publishConcurrently(session, 4, {});
            await testUtils.setFaults(session.running.platform.controlPort, { down: true });
            await Promise.all(
                listOperators(session).map(operator =>
                    bench.waitForStatus(operator, status => status.blind, waitTimeoutMs)
                ),
            );
            await testUtils.setFaults(session.running.platform.controlPort, { down: false });
            await publishConcurrentlyAfterReconnect(session, 5);
            assert.equal(await session.check([]), []);
        }),
);

async function publishConcurrentlyAfterReconnect(session: bench.Session, version: number): Promise<void> {
    await Promise.all(
        listOperators(session).map(operator => bench.waitForStatus(operator, status => !status.blind, waitTimeoutMs)),
    );
    await publishConcurrently(session, version, {});
}

suite.run();
