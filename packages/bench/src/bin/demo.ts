/**
 * Demonstration: launches a small deployment on loopback, publishes its configuration, runs a mixed load during a
 * planned stop, and prints the outcomes of the calls with the reasons of refusals.
 */
import * as testUtils from "@catkinwharf/test-utils";
import * as callRecord from "../call-record.js";
import * as load from "../load.js";
import * as operatorClient from "../operator-client.js";
import * as report from "../report.js";
import * as benchSession from "../session.js";
import * as setUp from "../set-up.js";

const seed = 20_261_204;
const loadMs = 8_000;
const stopTimeoutMs = 60_000;

async function main(): Promise<void> {
    const deployment = testUtils.createSmallDeployment(2);
    report.print(`Starting deployment ${deployment.name} on loopback (seed ${seed}).`);
    await benchSession.runSession({ launch: { deployment }, seed }, runLoadDuringStop);
}

async function runLoadDuringStop(session: benchSession.Session): Promise<void> {
    const { running } = session;
    report.print(`${running.entries.length} entry instances serve ${running.deployment.services.length} services.`);
    const loading = session.runLoad(loadMs, load.steadyShape);
    await stopRack(running);
    const calls = await loading;
    report.printCounts(callRecord.countFinalOutcomes(calls));
    report.printViolations(await session.check(calls));
}

/** Announces a planned stop of one rack and waits until it has finished. */
async function stopRack(running: testUtils.RunningDeployment): Promise<void> {
    const rack = running.backendServers[0]?.rack ?? "";
    const client = setUp.createOperatorClient(running);
    const startedAt = performance.now();
    const answer = await client.announceStop({
        name: "demo-stop",
        reason: "demonstration",
        targets: { racks: [rack] },
    });
    report.print(`Planned stop of rack ${rack}: ${answer.status}.`);
    await operatorClient.waitForStatus(client, status => status.stops[0]?.state === "finished", stopTimeoutMs);
    report.print(`The stop finished after ${((performance.now() - startedAt) / 1000).toFixed(1)} s.`);
}

await main();
