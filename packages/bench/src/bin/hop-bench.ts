/**
 * Measures what homes cost and save: the hop between entry instances, and refusals by full backend servers when several
 * senders share one pool without homes.
 *
 * Usage: node packages/bench/dist/bin/hop-bench.js [seed]
 */
import * as schema from "@catkinwharf/schema";
import * as testUtils from "@catkinwharf/test-utils";
import * as hdrHistogram from "hdr-histogram-js";
import * as undici from "undici";
import * as randomSource from "../random-source.js";
import * as report from "../report.js";
import * as setUp from "../set-up.js";

const requests = 2_000;
const serviceMs = 1;
/** Senders that share the pool, as many as a deployment has entry instances. */
const senders = 8;
const sharedDurationMs = 5_000;
const sharedServiceMs = 20;
/** Shares of the pool's slots that the senders keep busy. */
const utilizations = [0.5, 0.7, 0.9];
const defaultSeed = 1;

async function main(): Promise<void> {
    const seed = Number(process.argv[2] ?? defaultSeed);
    report.print(`seed ${seed}`);
    const running = await testUtils.launchDeployment({ deployment: createSingleServers() });
    try {
        await setUp.publishDeployment(running);
        await measureHop(running);
        for (const utilization of utilizations) {
            await measureSharing(running, utilization, new randomSource.RandomSource(seed));
        }
    }
    finally {
        await running.stop();
    }
}

/** With one backend server for each service, only one of the two entry instances is its home. */
function createSingleServers(): schema.settings.Deployment {
    const small = testUtils.createSmallDeployment();
    return { ...small, services: small.services.map(service => ({ ...service, workers: 1 })) };
}

/** Sends one request after the other through the home, through the other entry instance, and without either. */
async function measureHop(running: testUtils.RunningDeployment): Promise<void> {
    const server = running.backendServers[0];
    for (const service of running.deployment.services) {
        for (const entry of running.entries) {
            const label = `${service.name} through ${entry.availabilityZone}`;
            await measureSequence(label, `${entry.callerUrl}/v1/services/${service.name}/hop`);
        }
    }
    report.print(running.backendServers.map(one => `${one.instance} in ${one.availabilityZone}`).join(", "));
    await measureSequence("direct", `http://127.0.0.1:${server?.port}/hop`);
}

async function measureSequence(label: string, url: string): Promise<void> {
    const histogram = hdrHistogram.build({ numberOfSignificantValueDigits: 3 });
    const homes = new Map<string, number>();
    const client = new undici.Client(new URL(url).origin);
    for (let index = 0; index < requests; index += 1) {
        const startedAt = performance.now();
        const response = await client.request({
            method: "GET",
            path: new URL(url).pathname,
            headers: { "stand-in-service-ms": String(serviceMs) },
        });
        const document = await response.body.json() as { readonly instance: string; };
        histogram.recordValue(Math.round((performance.now() - startedAt) * 1_000));
        homes.set(document.instance, (homes.get(document.instance) ?? 0) + 1);
    }
    await client.close();
    const ran = [...homes].map(([instance, count]) => `${instance} ${count}`).join(", ");
    report.print(
        `${label}: p50 ${histogram.getValueAtPercentile(50)} us, p99 ${histogram.getValueAtPercentile(99)} us (${ran})`,
    );
}

/** Senders without homes know only their own requests; each sends to the server that it has loaded least. */
async function measureSharing(
    running: testUtils.RunningDeployment,
    utilization: number,
    random: randomSource.RandomSource,
): Promise<void> {
    const servers = running.backendServers.slice(0, 2);
    const slots = servers.length * running.deployment.worker.slots;
    const gapMs = sharedServiceMs / (slots * utilization);
    const loads = Array.from({ length: senders }, () => servers.map(() => 0));
    const pending: Promise<boolean>[] = [];
    const startedAt = performance.now();
    for (let at = 0; at < sharedDurationMs; at += random.nextExponential(gapMs)) {
        await new Promise(resolve => setTimeout(resolve, Math.max(0, startedAt + at - performance.now())));
        pending.push(sendShared(servers, random.pick(loads), random));
    }
    const refused = (await Promise.all(pending)).filter(isRefused => isRefused).length;
    report.print(
        `shared by ${senders} senders at ${utilization} of ${slots} slots: ${refused} of ${pending.length} refused`,
    );
}

async function sendShared(
    servers: readonly testUtils.RunningBackendServer[],
    load: number[],
    random: randomSource.RandomSource,
): Promise<boolean> {
    const least = Math.min(...load);
    const chosen = random.pick(load.flatMap((value, index) => value === least ? [index] : []));
    load[chosen] = (load[chosen] ?? 0) + 1;
    const response = await undici.request(`http://127.0.0.1:${servers[chosen]?.port}/shared`, {
        headers: { "stand-in-service-ms": String(sharedServiceMs) },
    });
    await response.body.dump();
    load[chosen] = (load[chosen] ?? 0) - 1;
    return response.statusCode === 503;
}

await main();
