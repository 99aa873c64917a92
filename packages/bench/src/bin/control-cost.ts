/**
 * Reports the control overhead of a deployment: CPU time, memory and network traffic of its entry processes. It runs
 * without callers, unless a rate of calls is given.
 *
 * Usage: node packages/bench/dist/bin/control-cost.js [--deployment NAME] [--seconds S] [--rate CALLS] [--json]
 */
import * as settings from "@catkinwharf/settings";
import * as util from "node:util";
import * as controlCost from "../control-cost.js";
import * as deploymentFile from "../deployment-file.js";
import * as load from "../load.js";
import * as report from "../report.js";
import * as benchSession from "../session.js";

/** Time in seconds by which the load lasts longer than the measurement, so that it covers all of it. */
const loadMarginSeconds = 10;
const bytesPerMegabyte = 1024 * 1024;

async function main(): Promise<number> {
    const { values } = util.parseArgs({
        options: {
            deployment: { type: "string", default: "small" },
            seconds: { type: "string", default: "30" },
            rate: { type: "string", default: "0" },
            json: { type: "boolean", default: false },
        },
    });
    const deployment = deploymentFile.readNamedDeployment(values.deployment);
    if (deployment.isErr()) {
        process.stderr.write(`control-cost: ${settings.describeError(deployment.error)}\n`);
        return 1;
    }
    const cost = await benchSession.runSession(
        { launch: { deployment: deployment.value }, seed: 1 },
        session => measure(session, Number(values.seconds), Number(values.rate)),
    );
    if (values.json) {
        report.print(JSON.stringify(cost));
        return 0;
    }
    printCost(cost);
    return 0;
}

/** @param rate mean calls per second over all services; the load starts before the measurement and ends after it */
async function measure(
    session: benchSession.Session,
    seconds: number,
    rate: number,
): Promise<controlCost.ControlCost> {
    const { deployment } = session.running;
    const loadMs = (seconds + loadMarginSeconds) * 1000;
    const loading = rate > 0
        ? session.runLoad(loadMs, load.steadyShape, load.computeScale(deployment, load.steadyShape, rate))
        : undefined;
    const cost = await controlCost.measureControlCost(session.running, seconds);
    await loading;
    return cost;
}

function printCost(cost: controlCost.ControlCost): void {
    const loads = cost.loadAverages.map(load => load.toFixed(2)).join(", ");
    report.print(`Deployment ${cost.deployment}, measured for ${cost.seconds} s, load averages ${loads}.`);
    for (const entry of cost.entries) {
        const role = entry.coordinator ? " (coordinated)" : "";
        report.print(
            `${describeProcess(entry)}, heap ${(entry.heapBytes / bytesPerMegabyte).toFixed(1)} MB, ${
                entry.bytesPerSecond.toFixed(0)
            } bytes/s${role}`,
        );
        for (const traffic of entry.traffic) {
            report.print(
                `    ${traffic.path}: ${traffic.receivedPerSecond.toFixed(0)} received, ${
                    traffic.sentPerSecond.toFixed(0)
                } sent`,
            );
        }
    }
    cost.runtimes.forEach(runtime => report.print(describeProcess(runtime)));
    report.print(
        `The log took ${cost.appendsPerSecond.toFixed(1)} appends/s and ${
            cost.readsPerSecond.toFixed(1)
        } reads/s from all.`,
    );
}

function describeProcess(cost: controlCost.ProcessCost): string {
    const share = (cost.processorShare * 100).toFixed(2);
    return `${cost.name}: ${share}% of a core, ${(cost.residentBytes / bytesPerMegabyte).toFixed(1)} MB resident`;
}

process.exit(await main());
