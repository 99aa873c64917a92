/**
 * Runs a whole small deployment on loopback: publishes its configuration, serves a mixed load through a planned stop,
 * prints what was served, refused and why, and ends.
 */
import * as testUtils from "@catkinwharf/test-utils";
import * as callRecord from "../call-record.js";
import * as load from "../load.js";
import * as operator from "../operator.js";
import * as report from "../report.js";
import * as benchSession from "../session.js";
import * as setUp from "../set-up.js";

const seed = 20_261_204;
const loadMs = 8_000;
const stopLimitMs = 60_000;

async function main(): Promise<void> {
    const deployment = testUtils.createSmallDeployment(2);
    report.print(`Starting deployment ${deployment.name} on loopback (seed ${seed}).`);
    await benchSession.runSession({ launch: { deployment }, seed }, serveThroughStop);
}

async function serveThroughStop(session: benchSession.Session): Promise<void> {
    const { running } = session;
    report.print(`${running.entries.length} entry instances serve ${running.deployment.services.length} services.`);
    const loading = session.runLoad(loadMs, load.steadyShape);
    await stopRack(running);
    const calls = await loading;
    report.printCounts(callRecord.countFinals(calls));
    report.printViolations(await session.check(calls));
}

/** Announces a planned stop of one rack under load, and waits until it has finished. */
async function stopRack(running: testUtils.RunningDeployment): Promise<void> {
    const rack = running.backendServers[0]?.rack ?? "";
    const one = setUp.createOperator(running);
    const startedAt = performance.now();
    const answer = await one.announceStop({ name: "demo-stop", reason: "demonstration", targets: { racks: [rack] } });
    report.print(`Planned stop of rack ${rack}: ${answer.status}.`);
    await operator.waitForStatus(one, status => status.stops[0]?.state === "finished", stopLimitMs);
    report.print(`The stop finished after ${((performance.now() - startedAt) / 1000).toFixed(1)} s.`);
}

await main();
