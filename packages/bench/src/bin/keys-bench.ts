/**
 * Compares the strategies for at-most-once execution: latency, records per request, and the share of requests served
 * during an outage of the platform.
 *
 * Usage: node packages/bench/dist/bin/keys-bench.js. Runs on loopback only.
 */
import * as testUtils from "@catkinwharf/test-utils";
import * as types from "@catkinwharf/types";
import * as callRecord from "../call-record.js";
import * as caller from "../caller.js";
import * as keyedCall from "../keyed-call.js";
import * as operatorClient from "../operator-client.js";
import * as report from "../report.js";
import * as benchSession from "../session.js";
import * as setUp from "../set-up.js";

const seed = 20_261_204;
/** Number of concurrent calls. */
const concurrency = 8;
const callCount = 2_000;
const outageCallCount = 400;
const timeoutMs = 2_000;
const outageTimeoutMs = 30_000;
/** Time in ms that the backend server takes to run a call. */
const runMs = 5;

/** Method of a call, and source of its idempotency key. */
interface KeyStrategy {
    readonly method: string;
    createKey(entry: caller.EntryTarget, id: string): Promise<string | undefined>;
}

const strategies: Readonly<Record<string, KeyStrategy>> = {
    "no key (idempotent)": { method: "GET", createKey: () => Promise.resolve(undefined) },
    "own key, claimed in the log": { method: "POST", createKey: (_entry, id) => Promise.resolve(id) },
    "ticket, fetched before": { method: "POST", createKey: entry => keyedCall.requestTicket(entry) },
};

async function main(): Promise<void> {
    const launch = { deployment: testUtils.createSmallDeployment(2) };
    await benchSession.runSession({ launch, seed, maxAttempts: 1 }, async session => {
        report.print(`${callCount} calls of ${runMs} ms, ${concurrency} at a time, 4 entry instances, seed ${seed}.`);
        for (const name of Object.keys(strategies)) {
            await measure(session, name, callCount);
        }
        await testUtils.setFaults(session.running.platform.controlPort, { down: true });
        const clients = session.running.entries.map((_, index) => setUp.createOperatorClient(session.running, index));
        await Promise.all(
            clients.map(client => operatorClient.waitForStatus(client, status => status.blind, outageTimeoutMs)),
        );
        report.print("With the platform down:");
        for (const name of Object.keys(strategies)) {
            await measure(session, name, outageCallCount);
        }
    });
}

async function measure(session: benchSession.Session, name: string, count: number): Promise<void> {
    const claimsBefore = await countClaims(session);
    const appendsBefore = await countAppends(session);
    const attempts: callRecord.Attempt[] = [];
    const ids = Array.from({ length: count }, (_, index) => `${name.replaceAll(/[^a-z]/g, "")}-${count}-${index}`);
    const pending = ids.values();
    const runWorker = async (): Promise<void> => {
        for (const id of pending) {
            attempts.push(await send(session, strategies[name] as KeyStrategy, id));
        }
    };
    await Promise.all(Array.from({ length: concurrency }, runWorker));
    const records = (await countClaims(session) - claimsBefore) / count;
    const appends = (await countAppends(session) - appendsBefore) / count;
    const durations = attempts.map(attempt => attempt.endedAt - attempt.startedAt).sort((a, b) => a - b);
    const served = attempts.filter(attempt => attempt.outcome === types.Outcome.answered).length;
    report.print(
        `${name}: served ${served} of ${count}, p50 ${computeQuantile(durations, 0.5)} ms, `
            + `p99 ${computeQuantile(durations, 0.99)} ms, ${records.toFixed(2)} records and ${
                appends.toFixed(2)
            } appends per call`,
    );
}

async function send(session: benchSession.Session, strategy: KeyStrategy, id: string): Promise<callRecord.Attempt> {
    const entry = session.random.pick(session.running.entries);
    const call = await session.caller.call({
        id,
        service: session.service(1).name,
        method: strategy.method,
        key: await strategy.createKey(entry, id),
        urgency: 3,
        timeoutMs,
        fields: { [testUtils.serviceTimeHeader]: String(runMs) },
        dueAt: Date.now(),
    });
    return call.attempts[0] as callRecord.Attempt;
}

async function countClaims(session: benchSession.Session): Promise<number> {
    return (await testUtils.readStream(session.running.platform, "claims")).length;
}

/** Counts the appends to all streams, including renewals of sessions and of the coordinator lease. */
async function countAppends(session: benchSession.Session): Promise<number> {
    return (await testUtils.readPlatformCounters(session.running.platform))["appends"] ?? 0;
}

function computeQuantile(sorted: readonly number[], share: number): number {
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

await main();
