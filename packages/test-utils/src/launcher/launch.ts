/**
 * Starts a whole deployment on loopback: platform and backend server stand-ins, fault proxy and entry processes.
 */
import type * as schema from "@catkinwharf/schema";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import type * as backendServerStandIn from "../backend-server/backend-server-stand-in.js";
import type * as platformStandIn from "../platform/platform-stand-in.js";
import type * as faultProxy from "../proxy/fault-proxy.js";
import * as standIn from "../stand-in.js";
import * as controlClient from "./control-client.js";
import * as deploymentPlan from "./deployment-plan.js";
import type * as entrySettings from "./entry-settings.js";
import * as processes from "./processes.js";
import * as runningDeployment from "./running-deployment.js";

/** Options of a launch. */
export interface LaunchOptions {
    readonly deployment: schema.settings.Deployment;
    /** Whether all connections between processes go through the fault proxy. */
    readonly proxied?: boolean;
    readonly settingsOverrides?: entrySettings.DeepPartial<schema.settings.EntrySettings>;
    readonly platform?: Pick<
        platformStandIn.PlatformOptions,
        "appendsPerSecond" | "membershipLagMs" | "retentionEntries" | "retentionMs" | "usageLagMs"
    >;
    /** Seed of the service times of requests. */
    readonly seed?: number;
    /** Whether the entry processes are started too; they are unless this is false. */
    readonly startEntries?: boolean;
}

/** Starts a process that is killed if the launch fails. */
type StartProcess = (script: string, ...scriptArguments: readonly string[]) => processes.ProcessHandle;

interface StandInPorts {
    readonly port: number;
    readonly controlPort: number;
}

const maxConcurrentStarts = 6;
const defaultSeed = 1;

/** Starts a deployment and resolves when the entry processes listen. On failure all started processes are killed. */
export async function launchDeployment(options: LaunchOptions): Promise<runningDeployment.RunningDeployment> {
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), "catkinwharf-"));
    const started: processes.ProcessHandle[] = [];
    const start: StartProcess = (...command) => {
        const handle = processes.startProcess(...command);
        started.push(handle);
        return handle;
    };
    try {
        const running = await startStandIns(options, folder, start);
        await running.assignEntryPorts();
        if (options.startEntries !== false) {
            await startEntries(running);
        }
        return running;
    }
    catch (thrown) {
        await processes.killProcesses(started);
        fs.rmSync(folder, { recursive: true, force: true });
        throw thrown;
    }
}

async function startEntries(running: runningDeployment.RunningDeployment): Promise<void> {
    try {
        const planned = deploymentPlan.planEntries(running.deployment);
        await mapConcurrently(planned, entry => running.startEntry(entry.name));
    }
    catch (thrown) {
        await running.stop();
        throw thrown;
    }
}

async function startStandIns(
    options: LaunchOptions,
    folder: string,
    start: StartProcess,
): Promise<runningDeployment.RunningDeployment> {
    const { deployment } = options;
    const proxy = options.proxied === true ? await startProxy(start) : undefined;
    const instances = deploymentPlan.planInstances(deployment).map((instance, index) => ({ instance, index }));
    const backendServers = await mapConcurrently(instances, async ({ instance, index }) => {
        const seed = (options.seed ?? defaultSeed) + index;
        const running = await startBackendServer(deployment, instance, seed, start);
        const memberPort = proxy === undefined ? running.port : await controlClient.putRoute(proxy, {
            name: `backend/${instance.instance}`,
            targetHost: standIn.loopbackHost,
            targetPort: running.port,
        });
        return { ...running, memberPort };
    });
    const platform = await startPlatform(options, backendServers, start);
    return new runningDeployment.RunningDeployment(
        deployment,
        platform,
        backendServers,
        proxy,
        folder,
        options.settingsOverrides ?? {},
    );
}

async function startProxy(start: StartProcess): Promise<runningDeployment.RunningProxy> {
    const options: faultProxy.ProxyOptions = { routes: [] };
    const handle = start(findScript("fault-proxy"), JSON.stringify(options));
    return { handle, ...await handle.ready as faultProxy.ProxyPorts };
}

async function startBackendServer(
    deployment: schema.settings.Deployment,
    instance: deploymentPlan.PlannedInstance,
    seed: number,
    start: StartProcess,
): Promise<Omit<runningDeployment.RunningBackendServer, "memberPort">> {
    const options: backendServerStandIn.BackendServerOptions = {
        instance: instance.instance,
        slots: deployment.worker.slots,
        connections: deployment.worker.connections,
        meanServiceMs: deploymentPlan.computeMeanServiceMs(deployment),
        meanServiceMsByService: Object.fromEntries(
            deployment.services.map(service => [service.name, service.meanServiceMs]),
        ),
        seed,
    };
    const handle = start(findScript("backend-server-stand-in"), JSON.stringify(options));
    return { handle, ...instance, ...await handle.ready as StandInPorts };
}

async function startPlatform(
    options: LaunchOptions,
    backendServers: readonly runningDeployment.RunningBackendServer[],
    start: StartProcess,
): Promise<runningDeployment.RunningPlatform> {
    const { worker, rebootMs } = options.deployment;
    const members = backendServers.map((running): platformStandIn.ControlledMember => ({
        name: running.instance,
        role: "backend-server",
        availabilityZone: running.availabilityZone,
        rack: running.rack,
        address: { host: standIn.loopbackHost, port: running.memberPort },
        state: "live",
        boot: 1,
        slots: worker.slots,
        connections: worker.connections,
        memoryGigabytes: worker.memoryGigabytes,
        accelerators: 0,
        controlPort: running.controlPort,
    }));
    const platformOptions: platformStandIn.PlatformOptions = { ...options.platform, members, rebootMs };
    const handle = start(findScript("platform-stand-in"), JSON.stringify(platformOptions));
    return { handle, ...await handle.ready as StandInPorts };
}

function findScript(name: string): string {
    return path.resolve(import.meta.dirname, `../bin/${name}.js`);
}

/** Maps items with limited concurrency, because starting all processes at once would overload the machine. */
async function mapConcurrently<Item, Result>(
    items: readonly Item[],
    map: (item: Item) => Promise<Result>,
): Promise<Result[]> {
    const results = new Array<Result>(items.length);
    const pending = items.entries();
    const runWorker = async () => {
        for (const [index, item] of pending) {
            results[index] = await map(item);
        }
    };
    await Promise.all(Array.from({ length: maxConcurrentStarts }, runWorker));
    return results;
}
