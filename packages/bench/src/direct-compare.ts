/**
 * Compares the latency of requests through an entry instance with that of direct requests to the same backend server.
 */
import * as testUtils from "@catkinwharf/test-utils";
import * as undici from "undici";
import * as processUsage from "./process-usage.js";
import * as benchSession from "./session.js";

/** Result of a comparison; latencies are in ms. */
export interface DirectComparison {
    readonly seed: number;
    readonly pairs: number;
    readonly directP50: number;
    readonly entryP50: number;
    readonly addedP50: number;
    readonly directP99: number;
    readonly entryP99: number;
    readonly processorMsPerCall: number;
    readonly residentMegabytes: number;
}

const warmUpPairs = 500;
const bytesPerMegabyte = 1_048_576;

/** Sends alternating direct and indirect calls, one at a time, with one backend server behind one entry instance. */
export function compareDirect(seed: number, pairs: number): Promise<DirectComparison> {
    const small = testUtils.createSmallDeployment(1);
    const deployment = {
        ...small,
        availabilityZones: small.availabilityZones.slice(0, 1),
        services: small.services.slice(0, 1).map(service => ({ ...service, workers: 1 })),
        spareInstances: 0,
    };
    return benchSession.runSession({ launch: { deployment }, seed }, session => runComparison(session, pairs));
}

async function runComparison(session: benchSession.Session, pairs: number): Promise<DirectComparison> {
    const { running } = session;
    const service = session.service(0).name;
    const directUrl = `http://127.0.0.1:${running.backendServers[0]?.port}/calls/direct`;
    const entryUrl = `${running.entries[0]?.callerUrl}/v1/services/${service}/calls/entry`;
    const agent = new undici.Agent({ connections: 1 });
    await measurePairs(agent, directUrl, entryUrl, warmUpPairs);
    const before = await processUsage.readProcessUsage(running);
    const { direct, entry } = await measurePairs(agent, directUrl, entryUrl, pairs);
    const after = await processUsage.readProcessUsage(running);
    await agent.close();
    return {
        seed: session.seed,
        pairs,
        directP50: computeQuantile(direct, 0.5),
        entryP50: computeQuantile(entry, 0.5),
        addedP50: computeQuantile(entry, 0.5) - computeQuantile(direct, 0.5),
        directP99: computeQuantile(direct, 0.99),
        entryP99: computeQuantile(entry, 0.99),
        processorMsPerCall: (after.processorSeconds - before.processorSeconds) * 1_000 / pairs,
        residentMegabytes: after.maxResidentBytes / bytesPerMegabyte,
    };
}

async function measurePairs(
    agent: undici.Agent,
    directUrl: string,
    entryUrl: string,
    pairs: number,
): Promise<{ readonly direct: readonly number[]; readonly entry: readonly number[]; }> {
    const direct: number[] = [];
    const entry: number[] = [];
    for (let pair = 0; pair < pairs; pair++) {
        direct.push(await measureCall(agent, directUrl));
        entry.push(await measureCall(agent, entryUrl));
    }
    return { direct, entry };
}

async function measureCall(agent: undici.Agent, url: string): Promise<number> {
    const startedAt = performance.now();
    const response = await undici.request(url, { dispatcher: agent, headers: { "stand-in-service-ms": "1" } });
    await response.body.dump();
    return performance.now() - startedAt;
}

function computeQuantile(values: readonly number[], quantile: number): number {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? 0;
}
