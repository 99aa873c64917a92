/**
 * Measures the time from an operator's publishing until a configuration is in force at each entry instance.
 *
 * Usage: node packages/bench/dist/bin/config-bench.js [deployment] [changes]
 */
import * as testUtils from "@catkinwharf/test-utils";
import * as hdrHistogram from "hdr-histogram-js";
import * as deploymentFile from "../deployment-file.js";
import * as operator from "../operator.js";
import * as report from "../report.js";
import * as setUp from "../set-up.js";

const defaultChanges = 60;
/** Time in ms between looks at one entry instance. */
const lookMs = 5;
/** One-way delay in ms of the path to the platform that is slowed in the second part. */
const slowPathMs = 1_500;

async function main(): Promise<void> {
    const name = process.argv[2] ?? "small";
    const changes = Number(process.argv[3] ?? defaultChanges);
    const deployment = deploymentFile.readNamedDeployment(name)._unsafeUnwrap();
    const running = await testUtils.launchDeployment({ deployment, proxied: true });
    try {
        await setUp.publishDeployment(running);
        await measure(running, `${name}, all paths alike`, changes);
        const slowed = running.entries[running.entries.length - 1]?.name ?? "";
        await testUtils.setFaults(running.proxyControl ?? 0, { route: `platform/${slowed}`, delayMs: slowPathMs });
        await measure(running, `${name}, ${slowed} with ${slowPathMs} ms each way to the platform`, changes);
    }
    finally {
        await running.stop();
    }
}

async function measure(running: testUtils.RunningDeployment, label: string, changes: number): Promise<void> {
    const accepted = hdrHistogram.build({ numberOfSignificantValueDigits: 3 });
    const inForce = hdrHistogram.build({ numberOfSignificantValueDigits: 3 });
    const operators = running.entries.map((_, index) => setUp.createOperator(running, index));
    // The last entry instance only reads, since its own path may be the slowed one.
    const publishers = operators.slice(0, -1);
    for (let change = 0; change < changes; change += 1) {
        const publisher = publishers[change % publishers.length] as operator.Operator;
        const { configurationVersion } = await publisher.readStatus();
        const startedAt = performance.now();
        const looking = operators.map(one => waitForVersion(one, configurationVersion + 1, startedAt));
        await publisher.publishConfiguration(running.configuration(), configurationVersion);
        accepted.recordValue(Math.round(performance.now() - startedAt));
        for (const elapsedMs of await Promise.all(looking)) {
            inForce.recordValue(Math.round(elapsedMs));
        }
    }
    report.print(`${label}: ${changes} changes, ${operators.length} entry instances`);
    report.print(`  accepted, ms: ${describe(accepted)}`);
    report.print(`  in force, ms: ${describe(inForce)}`);
}

function describe(histogram: hdrHistogram.Histogram): string {
    const percentiles = [50, 90, 99].map(percentile => `p${percentile} ${histogram.getValueAtPercentile(percentile)}`);
    return `${percentiles.join(", ")}, greatest ${histogram.maxValue}`;
}

async function waitForVersion(one: operator.Operator, version: number, startedAt: number): Promise<number> {
    for (;;) {
        const status = await one.readStatus();
        if (status.configurationVersion >= version) {
            return performance.now() - startedAt;
        }
        await new Promise(resolve => setTimeout(resolve, lookMs));
    }
}

await main();
