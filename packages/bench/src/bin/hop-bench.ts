/**
 * Measures the cost and benefit of homes: the latency of the hop between entry instances, and the refusals by full
 * backend servers when several senders share a pool without homes.
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

const requestCount = 2_000;
const runMs = 1;
/** Number of senders that share the pool; a deployment has as many entry instances. */
const senderCount = 8;
const sharedDurationMs = 5_000;
const sharedRunMs = 20;
/** Mean shares of the pool's slots that the senders keep busy. */
const utilizations = [0.5, 0.7, 0.9];
const defaultSeed = 1;

async function main(): Promise<void> {
    const seed = Number(process.argv[2] ?? defaultSeed);
    report.print(`seed ${seed}`);
    const running = await testUtils.launchDeployment({ deployment: createSingleServerDeployment() });
    try {
        await setUp.publishDeployment(running);
        await measureHop(running);
        for (const utilization of utilizations) {
            await measureWithoutHomes(running, utilization, new randomSource.RandomSource(seed));
        }
    }
    finally {
        await running.stop();
    }
}

/** Creates a deployment with one backend server per service, so that only one of two entry instances is its home. */
function createSingleServerDeployment(): schema.settings.Deployment {
    const small = testUtils.createSmallDeployment();
    return { ...small, services: small.services.map(service => ({ ...service, workers: 1 })) };
}

/** Measures sequential requests through the home, through the other entry instance, and directly. */
async function measureHop(running: testUtils.RunningDeployment): Promise<void> {
    const server = running.backendServers[0];
    for (const service of running.deployment.services) {
        for (const entry of running.entries) {
            const label = `${service.name} through ${entry.availabilityZone}`;
            await measureSequence(label, `${entry.callerUrl}/v1/services/${service.name}/hop`);
        }
    }
    report.print(
        running.backendServers.map(backendServer => `${backendServer.instance} in ${backendServer.availabilityZone}`)
            .join(", "),
    );
    await measureSequence("direct", `http://127.0.0.1:${server?.port}/hop`);
}

async function measureSequence(label: string, url: string): Promise<void> {
    const histogram = hdrHistogram.build({ numberOfSignificantValueDigits: 3 });
    const requestsByInstance = new Map<string, number>();
    const client = new undici.Client(new URL(url).origin);
    for (let index = 0; index < requestCount; index += 1) {
        const startedAt = performance.now();
        const response = await client.request({
            method: "GET",
            path: new URL(url).pathname,
            headers: { "stand-in-service-ms": String(runMs) },
        });
        const document = await response.body.json() as { readonly instance: string; };
        histogram.recordValue(Math.round((performance.now() - startedAt) * 1_000));
        requestsByInstance.set(document.instance, (requestsByInstance.get(document.instance) ?? 0) + 1);
    }
    await client.close();
    const distribution = [...requestsByInstance].map(([instance, count]) => `${instance} ${count}`).join(", ");
    report.print(
        `${label}: p50 ${histogram.getValueAtPercentile(50)} us, p99 ${
            histogram.getValueAtPercentile(99)
        } us (${distribution})`,
    );
}

/**
 * Measures refusals without homes: each sender knows only its own pending requests and sends to the backend server that
 * has the fewest of them.
 */
async function measureWithoutHomes(
    running: testUtils.RunningDeployment,
    utilization: number,
    random: randomSource.RandomSource,
): Promise<void> {
    const servers = running.backendServers.slice(0, 2);
    const slots = servers.length * running.deployment.worker.slots;
    const gapMs = sharedRunMs / (slots * utilization);
    const pendingBySender = Array.from({ length: senderCount }, () => servers.map(() => 0));
    const pending: Promise<boolean>[] = [];
    const startedAt = performance.now();
    for (let at = 0; at < sharedDurationMs; at += random.nextExponential(gapMs)) {
        await new Promise(resolve => setTimeout(resolve, Math.max(0, startedAt + at - performance.now())));
        pending.push(sendToLeastLoaded(servers, random.pick(pendingBySender), random));
    }
    const refused = (await Promise.all(pending)).filter(isRefused => isRefused).length;
    report.print(
        `shared by ${senderCount} senders at ${utilization} of ${slots} slots: ${refused} of ${pending.length} refused`,
    );
}

async function sendToLeastLoaded(
    servers: readonly testUtils.RunningBackendServer[],
    pendingByServer: number[],
    random: randomSource.RandomSource,
): Promise<boolean> {
    const least = Math.min(...pendingByServer);
    const chosen = random.pick(pendingByServer.flatMap((value, index) => value === least ? [index] : []));
    pendingByServer[chosen] = (pendingByServer[chosen] ?? 0) + 1;
    const response = await undici.request(`http://127.0.0.1:${servers[chosen]?.port}/shared`, {
        headers: { "stand-in-service-ms": String(sharedRunMs) },
    });
    await response.body.dump();
    pendingByServer[chosen] = (pendingByServer[chosen] ?? 0) - 1;
    return response.statusCode === 503;
}

await main();
