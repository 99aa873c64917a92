/**
 * Measures the time from the publication of a configuration until it is in force at each entry instance.
 *
 * Usage: node packages/bench/dist/bin/config-bench.js [deployment] [changes]
 */
import * as testUtils from "@catkinwharf/test-utils";
import * as hdrHistogram from "hdr-histogram-js";
import * as deploymentFile from "../deployment-file.js";
import * as operatorClient from "../operator-client.js";
import * as report from "../report.js";
import * as setUp from "../set-up.js";

const defaultChanges = 60;
/** Interval in ms between reads of an entry instance's status. */
const pollIntervalMs = 5;
/** One-way delay in ms between one entry instance and the platform in the second measurement. */
const slowPathDelayMs = 1_500;

async function main(): Promise<void> {
    const name = process.argv[2] ?? "small";
    const changes = Number(process.argv[3] ?? defaultChanges);
    const deployment = deploymentFile.readNamedDeployment(name)._unsafeUnwrap();
    const running = await testUtils.launchDeployment({ deployment, proxied: true });
    try {
        await setUp.publishDeployment(running);
        await measure(running, `${name}, all paths alike`, changes);
        const slowedEntry = running.entries[running.entries.length - 1]?.name ?? "";
        await testUtils.setFaults(running.proxyControlPort ?? 0, {
            route: `platform/${slowedEntry}`,
            delayMs: slowPathDelayMs,
        });
        await measure(running, `${name}, ${slowedEntry} with ${slowPathDelayMs} ms each way to the platform`, changes);
    }
    finally {
        await running.stop();
    }
}

async function measure(running: testUtils.RunningDeployment, label: string, changes: number): Promise<void> {
    const accepted = hdrHistogram.build({ numberOfSignificantValueDigits: 3 });
    const inForce = hdrHistogram.build({ numberOfSignificantValueDigits: 3 });
    const clients = running.entries.map((_, index) => setUp.createOperatorClient(running, index));
    // The last entry instance does not publish, since its connection to the platform may be the slowed one.
    const publishers = clients.slice(0, -1);
    for (let change = 0; change < changes; change += 1) {
        const publisher = publishers[change % publishers.length] as operatorClient.OperatorClient;
        const { configurationVersion } = await publisher.readStatus();
        const startedAt = performance.now();
        const polls = clients.map(client => waitForVersion(client, configurationVersion + 1, startedAt));
        await publisher.publishConfiguration(running.configuration(), configurationVersion);
        accepted.recordValue(Math.round(performance.now() - startedAt));
        for (const elapsedMs of await Promise.all(polls)) {
            inForce.recordValue(Math.round(elapsedMs));
        }
    }
    report.print(`${label}: ${changes} changes, ${clients.length} entry instances`);
    report.print(`  accepted, ms: ${formatPercentiles(accepted)}`);
    report.print(`  in force, ms: ${formatPercentiles(inForce)}`);
}

function formatPercentiles(histogram: hdrHistogram.Histogram): string {
    const percentiles = [50, 90, 99].map(percentile => `p${percentile} ${histogram.getValueAtPercentile(percentile)}`);
    return `${percentiles.join(", ")}, greatest ${histogram.maxValue}`;
}

async function waitForVersion(
    client: operatorClient.OperatorClient,
    version: number,
    startedAt: number,
): Promise<number> {
    for (;;) {
        const status = await client.readStatus();
        if (status.configurationVersion >= version) {
            return performance.now() - startedAt;
        }
        await new Promise(resolve => setTimeout(resolve, pollIntervalMs));
    }
}

await main();
