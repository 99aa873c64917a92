import * as bench from "@catkinwharf/bench";
import * as schema from "@catkinwharf/schema";
import * as testUtils from "@catkinwharf/test-utils";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const seed = 4;
/** Records that the platform keeps; short renewals pass them within seconds. */
const retentionEntries = 40;
const launch: testUtils.LaunchOptions = {
    deployment: testUtils.createSmallDeployment(),
    platform: { retentionEntries },
    settingsOverrides: {
        session: bench.shortSessionTimes,
        log: { timeoutMs: 500, longPollMs: 200, snapshotEvery: 10 },
    },
};
const waitLimitMs = 15_000;
const suite = uvu.suite(`configuration (seed ${seed})`);

function createConfiguration(session: bench.Session, timeoutMs: number): schema.log.Configuration {
    const base = session.running.configuration();
    return { ...base, services: base.services.map(service => ({ ...service, timeoutMs })) };
}

function listOperators(session: bench.Session): readonly bench.Operator[] {
    return session.running.entries.map((_, index) => bench.createOperator(session.running, index));
}

async function waitForVersion(session: bench.Session, version: number): Promise<void> {
    await Promise.all(
        listOperators(session).map(one =>
            bench.waitForStatus(one, status => status.configurationVersion >= version, waitLimitMs)
        ),
    );
}

/** Two operators publish different configurations over the same version, through two entry instances. */
async function raceOperators(session: bench.Session, version: number, faults: testUtils.PlatformFaults): Promise<void> {
    await testUtils.setFaults(session.running.platform.controlPort, faults);
    const answers = await Promise.all(
        listOperators(session).map((one, index) =>
            one.publishConfiguration(createConfiguration(session, 5_000 + index), version)
        ),
    );
    await testUtils.setFaults(session.running.platform.controlPort, { loseAnswers: 0, slowMs: 0 });
    assert.equal(answers.map(answer => answer.status).sort(), ["accepted", "conflict"]);
    assert.equal(answers.map(answer => answer.version), [version + 1, version + 1]);
    await waitForVersion(session, version + 1);
}

/** Waits until the platform no longer keeps the record of the newest configuration. */
async function passRetention(session: bench.Session): Promise<void> {
    for (;;) {
        const entries = await testUtils.readStream(session.running.platform, "fleet");
        const published = entries.findLastIndex(entry =>
            (entry.body as { kind?: string; }).kind === "configuration-published"
        );
        if (entries.length - published > 2 * retentionEntries) {
            return;
        }
        await new Promise(resolve => setTimeout(resolve, 50));
    }
}

/** A process that starts when its records are gone begins at a snapshot, and shows the newest version when ready. */
async function restartBeyondRetention(session: bench.Session, version: number): Promise<void> {
    const [left] = session.running.entries;
    assert.ok(left !== undefined);
    await passRetention(session);
    await session.running.killEntry(left.name);
    const started = await session.running.startEntry(left.name);
    await session.running.waitReady();
    const status = await bench.createOperator(session.running, 0).readStatus();
    assert.is(status.configurationVersion, version);
    assert.match(started.handle.readOutput(), /from a snapshot/);
}

suite(
    "one of two racing operators wins, and versions never go down",
    () =>
        bench.runSession({ launch, seed }, async session => {
            await raceOperators(session, 1, {});
            await raceOperators(session, 2, { loseAnswers: "all" });
            await raceOperators(session, 3, { slowMs: 100 });
            await restartBeyondRetention(session, 4);
            await raceOperators(session, 4, {});
            await testUtils.setFaults(session.running.platform.controlPort, { down: true });
            await Promise.all(
                listOperators(session).map(one => bench.waitForStatus(one, status => status.blind, waitLimitMs)),
            );
            await testUtils.setFaults(session.running.platform.controlPort, { down: false });
            await raceOperatorsWhenBack(session, 5);
            assert.equal(await session.check([]), []);
        }),
);

async function raceOperatorsWhenBack(session: bench.Session, version: number): Promise<void> {
    await Promise.all(
        listOperators(session).map(one => bench.waitForStatus(one, status => !status.blind, waitLimitMs)),
    );
    await raceOperators(session, version, {});
}

suite.run();
