/** Faults of backend servers and of the connections to them, with real processes. */
import * as bench from "@catkinwharf/bench";
import * as testUtils from "@catkinwharf/test-utils";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const seed = 1;
const suite = uvu.suite(`backend server faults (seed ${seed})`);
const answered = ["answered 200"];

/** One entry instance with four backend servers of four slots, of which two may be unavailable. */
function createLaunchOptions(): bench.SessionOptions["launch"] {
    const small = testUtils.createSmallDeployment(1);
    const service = { ...small.services[0]!, workers: 4 };
    return {
        deployment: {
            ...small,
            availabilityZones: small.availabilityZones.slice(0, 1),
            services: [service],
            spareInstances: 0,
        },
        settingsOverrides: { requests: { silentConnectionMs: 500 } },
    };
}

/** Runs a test after enough traffic for a full retry budget and an estimate of the run time. */
function runWarmSession(use: (session: bench.Session) => Promise<void>): Promise<void> {
    return bench.runSession({ launch: createLaunchOptions(), seed, maxAttempts: 1 }, async session => {
        await warmUp(session);
        await use(session);
    });
}

async function warmUp(session: bench.Session): Promise<void> {
    const calls = await bench.callBatch(session, { count: 250, concurrency: 16 });
    assert.equal(bench.listFinalOutcomes(calls), answered);
}

function setServerFaults(session: bench.Session, faults: testUtils.BackendServerFaults, count = 4): Promise<unknown> {
    const servers = session.running.backendServers.slice(0, count);
    return Promise.all(servers.map(server => testUtils.setFaults(server.controlPort, faults)));
}

async function countRuns(session: bench.Session, index: number): Promise<number> {
    return (await testUtils.readExecutions(session.running.backendServers[index]!)).length;
}

function waitForUnhealthy(session: bench.Session, count: number): Promise<unknown> {
    const operator = bench.createOperatorClient(session.running);
    return bench.waitForStatus(operator, status => status.pools[0]?.unhealthy === count, 15_000);
}

async function readUnhealthy(session: bench.Session): Promise<number | undefined> {
    return (await bench.createOperatorClient(session.running).readStatus()).pools[0]?.unhealthy;
}

suite("retries frozen requests on new connections, and ejects no server", () =>
    runWarmSession(async session => {
        const faultsBefore = await bench.readCounter(session.running, "server_faults", "silent");
        await setServerFaults(session, { freezeExisting: true });
        const repeated = await bench.callBatch(session, { count: 4, concurrency: 1 });
        assert.equal(bench.listFinalOutcomes(repeated), answered);
        const faults = await bench.readCounter(session.running, "server_faults", "silent");
        assert.is(faults - faultsBefore, 1);
        const later = [
            ...await bench.callBatch(session, { count: 32, concurrency: 16 }),
            ...await bench.callBatch(session, { count: 16, concurrency: 16, method: "POST" }),
        ];
        assert.equal(bench.listFinalOutcomes(later), answered);
        assert.is(await bench.readCounter(session.running, "server_faults", "silent"), faults);
        assert.is(await readUnhealthy(session), 0);
        await setServerFaults(session, { acceptOnly: true }, 1);
        const accepted = await bench.callBatch(session, { count: 16, concurrency: 8 });
        assert.equal(bench.listFinalOutcomes(accepted), answered);
    }));

suite(
    "ejects servers that fail every request, within the availability budget, and readmits them once they recover",
    () =>
        runWarmSession(async session => {
            await setServerFaults(session, { failAll: true }, 1);
            await bench.callBatch(session, { count: 100, concurrency: 8 });
            await waitForUnhealthy(session, 1);
            const runs = await countRuns(session, 0);
            const calls = await bench.callBatch(session, { count: 40, concurrency: 8 });
            assert.equal(bench.listFinalOutcomes(calls), answered);
            assert.is(await countRuns(session, 0), runs);
            await setServerFaults(session, { failAll: true }, 3);
            await bench.callBatch(session, { count: 200, concurrency: 8 });
            assert.ok((await readUnhealthy(session) ?? 0) <= 2);
            await setServerFaults(session, { failAll: false });
            while (await readUnhealthy(session) !== 0) {
                await bench.callBatch(session, { count: 20, concurrency: 8 });
            }
            const runsBefore = await countRuns(session, 0);
            while (await countRuns(session, 0) === runsBefore) {
                await bench.callBatch(session, { count: 20, concurrency: 16 });
            }
        }),
);

suite("forwards no truncated or mismatched answer, and retries if idempotent", () =>
    runWarmSession(async session => {
        for (const fault of ["wrongRequestId", "cutMidAnswer"] as const) {
            await setServerFaults(session, { [fault]: true }, 1);
            const repeated = await bench.callBatch(session, { count: 16, concurrency: 4 });
            assert.equal(bench.listFinalOutcomes(repeated), answered);
            await setServerFaults(session, { [fault]: true });
            const keyed = await bench.callBatch(session, { count: 4, concurrency: 4, method: "POST" });
            const reason = fault === "cutMidAnswer" ? "answer-cut-short" : "answer-mismatched";
            assert.equal(bench.listFinalOutcomes(keyed), [`unknown ${reason}`]);
            assert.equal(await session.check([...repeated, ...keyed]), []);
            await setServerFaults(session, { [fault]: false });
            await warmUp(session);
        }
    }));

suite("ejects no server, or at most the budget, if requests fail everywhere", () =>
    runWarmSession(async session => {
        const fields = { "stand-in-fail": "always" };
        const failing = await bench.callBatch(session, { count: 8, concurrency: 1, fields });
        assert.equal(bench.listFinalOutcomes(failing), ["answered 500"]);
        assert.is(await readUnhealthy(session), 0);
        await bench.callBatch(session, { count: 100, concurrency: 8, fields });
        assert.ok((await readUnhealthy(session) ?? 0) <= 2);
        await warmUp(session);
    }));

suite("dispatches to other servers the requests that one refuses", () =>
    runWarmSession(async session => {
        await setServerFaults(session, { refuse: true }, 1);
        const runs = await countRuns(session, 0);
        const calls = [
            ...await bench.callBatch(session, { count: 24, concurrency: 4 }),
            ...await bench.callBatch(session, { count: 8, concurrency: 4, method: "POST" }),
        ];
        assert.equal(bench.listFinalOutcomes(calls), answered);
        assert.is(await countRuns(session, 0), runs);
        assert.ok(await bench.readCounter(session.running, "retries", "refused-by-backend-server") > 0);
        assert.equal(await session.check(calls), []);
    }));

suite.run();
