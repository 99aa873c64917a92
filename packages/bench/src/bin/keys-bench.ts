/**
 * Compares the ways to run a request at most once: latency, records per request, and the share served in an outage.
 *
 * Usage: node packages/bench/dist/bin/keys-bench.js. Loopback only; ends by itself.
 */
import * as testUtils from "@catkinwharf/test-utils";
import * as types from "@catkinwharf/types";
import * as callRecord from "../call-record.js";
import * as caller from "../caller.js";
import * as keyedCall from "../keyed-call.js";
import * as operator from "../operator.js";
import * as report from "../report.js";
import * as benchSession from "../session.js";
import * as setUp from "../set-up.js";

const seed = 20_261_204;
/** Calls that run at the same time. */
const concurrency = 8;
const calls = 2_000;
const outageCalls = 400;
const timeoutMs = 2_000;
const outageWaitMs = 30_000;
/** Run time of a call at the backend server, in ms. */
const runMs = 5;

/** A way to send a call: its method, and how it gets its key. */
interface Way {
    readonly method: string;
    findKey(entry: caller.EntryTarget, id: string): Promise<string | undefined>;
}

const ways: Readonly<Record<string, Way>> = {
    "no key (idempotent)": { method: "GET", findKey: () => Promise.resolve(undefined) },
    "own key, claimed in the log": { method: "POST", findKey: (_entry, id) => Promise.resolve(id) },
    "ticket, fetched before": { method: "POST", findKey: entry => keyedCall.requestTicket(entry) },
};

async function main(): Promise<void> {
    const launch = { deployment: testUtils.createSmallDeployment(2) };
    await benchSession.runSession({ launch, seed, maxAttempts: 1 }, async session => {
        report.print(`${calls} calls of ${runMs} ms, ${concurrency} at a time, 4 entry instances, seed ${seed}.`);
        for (const name of Object.keys(ways)) {
            await measure(session, name, calls);
        }
        await testUtils.setFaults(session.running.platform.controlPort, { down: true });
        const operators = session.running.entries.map((_, index) => setUp.createOperator(session.running, index));
        await Promise.all(operators.map(one => operator.waitForStatus(one, status => status.blind, outageWaitMs)));
        report.print("With the platform down:");
        for (const name of Object.keys(ways)) {
            await measure(session, name, outageCalls);
        }
    });
}

async function measure(session: benchSession.Session, name: string, count: number): Promise<void> {
    const claimsBefore = await countClaims(session);
    const appendsBefore = await countAppends(session);
    const attempts: callRecord.Attempt[] = [];
    const ids = Array.from({ length: count }, (_, index) => `${name.replaceAll(/[^a-z]/g, "")}-${count}-${index}`);
    const pending = ids.values();
    const work = async (): Promise<void> => {
        for (const id of pending) {
            attempts.push(await send(session, ways[name] as Way, id));
        }
    };
    await Promise.all(Array.from({ length: concurrency }, work));
    const records = (await countClaims(session) - claimsBefore) / count;
    const appends = (await countAppends(session) - appendsBefore) / count;
    const durations = attempts.map(attempt => attempt.endedAt - attempt.startedAt).sort((a, b) => a - b);
    const served = attempts.filter(attempt => attempt.outcome === types.Outcome.answered).length;
    report.print(
        `${name}: served ${served} of ${count}, p50 ${findQuantile(durations, 0.5)} ms, `
            + `p99 ${findQuantile(durations, 0.99)} ms, ${records.toFixed(2)} records and ${
                appends.toFixed(2)
            } appends per call`,
    );
}

async function send(session: benchSession.Session, way: Way, id: string): Promise<callRecord.Attempt> {
    const issuer = session.random.pick(session.running.entries);
    const call = await session.caller.call({
        id,
        service: session.service(1).name,
        method: way.method,
        key: await way.findKey(issuer, id),
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

/** Appends of all streams; renewals of sessions and the lease are among them. */
async function countAppends(session: benchSession.Session): Promise<number> {
    return (await testUtils.readPlatformCounters(session.running.platform))["appends"] ?? 0;
}

function findQuantile(sorted: readonly number[], share: number): number {
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

await main();
