/**
 * A deployment that runs on loopback and whose entry processes can be killed and restarted.
 */
import type * as schema from "@catkinwharf/schema";
import * as crypto from "node:crypto";
import * as fs from "node:fs";
import * as path from "node:path";
import * as timers from "node:timers/promises";
import * as undici from "undici";
import type * as faultProxy from "../proxy/fault-proxy.js";
import * as standIn from "../stand-in.js";
import * as controlClient from "./control-client.js";
import * as deploymentPlan from "./deployment-plan.js";
import * as entrySettings from "./entry-settings.js";
import * as processes from "./processes.js";

/** The running platform stand-in. */
export interface RunningPlatform extends StandInPorts {
    readonly handle: processes.ProcessHandle;
}

/** A running backend server stand-in. */
export interface RunningBackendServer extends RunningPlatform, deploymentPlan.PlannedInstance {
    /** Port in the membership list: that of the fault proxy, if there is one. */
    readonly memberPort: number;
}

/** The running fault proxy. */
export interface RunningProxy extends faultProxy.ProxyPorts {
    readonly handle: processes.ProcessHandle;
}

/** A running entry process. */
export interface RunningEntry {
    readonly name: string;
    readonly availabilityZone: string;
    readonly callerUrl: string;
    readonly operatorUrl: string;
    readonly handle: processes.ProcessHandle;
    readonly settingsFile: string;
}

interface StandInPorts {
    readonly port: number;
    readonly controlPort: number;
}

interface EntryPorts {
    readonly callerPort: number;
    readonly operatorPort: number;
    readonly peerPort: number;
}

interface EntryAssignment extends deploymentPlan.PlannedEntry {
    readonly platformPort: number;
    readonly peerPort: number;
    readonly advertisedPort: number;
}

/** A network partition that isolates an availability zone. Times are wall clock in ms. */
export interface ZoneCut {
    readonly availabilityZone: string;
    readonly from: number;
    /** Time at which the partition was healed; undefined while it lasts. */
    readonly until: number | undefined;
}

const entryScript = path.resolve(import.meta.dirname, "../../../entry/dist/bin/catkinwharfd.js");
const readyTimeoutMs = 30_000;
/** Attempts to start an entry process, each after the first with new ports. */
const maxStartAttempts = 5;
const readyPollMs = 50;

/** A deployment that runs until it is stopped. */
export class RunningDeployment {
    /** Key that operators present. */
    readonly operatorKey = crypto.randomBytes(16).toString("hex");
    /** The most recently started entry process of each name. */
    entries: readonly RunningEntry[] = [];
    /** Availability zones that are isolated by a network partition. */
    readonly cutZones = new Set<string>();
    /** Every partition so far, oldest first. */
    zoneCuts: readonly ZoneCut[] = [];
    private readonly peerKey = crypto.randomBytes(16).toString("hex");
    private readonly assignments = new Map<string, EntryAssignment>();
    /** Every entry process that was started, including those that never listened. */
    private readonly startedEntries = new Set<processes.ProcessHandle>();
    private isStopped = false;

    constructor(
        readonly deployment: schema.settings.Deployment,
        readonly platform: RunningPlatform,
        readonly backendServers: readonly RunningBackendServer[],
        /** The fault proxy, if the deployment is proxied. */
        readonly proxy: RunningProxy | undefined,
        private readonly folder: string,
        private readonly overrides: entrySettings.DeepPartial<schema.settings.EntrySettings>,
    ) {}

    /** Control port of the fault proxy, if the deployment is proxied. */
    get proxyControlPort(): number | undefined {
        return this.proxy?.controlPort;
    }

    /** Configuration to publish. */
    configuration(): schema.log.Configuration {
        return deploymentPlan.createConfiguration(this.deployment);
    }

    /** Profiles to publish. */
    profiles(): readonly schema.log.Profile[] {
        return this.deployment.profiles;
    }

    /** Assigns the ports of all entry processes. The settings of each contain those of the others. */
    async assignEntryPorts(): Promise<void> {
        for (const entry of deploymentPlan.planEntries(this.deployment)) {
            this.assignments.set(entry.name, await this.assignPorts(entry));
        }
    }

    /** Starts an entry process that isn't running. Resolves when it listens, which is before it is ready. */
    async startEntry(name: string): Promise<RunningEntry> {
        for (let attempt = 1;; attempt += 1) {
            const assignment = this.findAssignment(name);
            try {
                return await this.tryStartEntry(assignment);
            }
            catch (thrown) {
                if (attempt === maxStartAttempts || !String(thrown).includes("EADDRINUSE")) {
                    throw thrown;
                }
                // Another process bound the port after it was found free.
                this.assignments.set(name, await this.assignPorts(assignment));
            }
        }
    }

    private findAssignment(name: string): EntryAssignment {
        const assignment = this.assignments.get(name);
        if (assignment === undefined) {
            throw new Error(`no entry instance ${name}`);
        }
        return assignment;
    }

    private async tryStartEntry(assignment: EntryAssignment): Promise<RunningEntry> {
        if (this.isStopped) {
            throw new Error("the deployment is stopped");
        }
        const settingsFile = this.writeSettings(assignment);
        const handle = processes.startProcess(entryScript, "--settings", settingsFile);
        this.startedEntries.add(handle);
        const ports = await handle.ready as EntryPorts;
        const entry = {
            name: assignment.name,
            availabilityZone: assignment.availabilityZone,
            callerUrl: `http://${standIn.loopbackHost}:${ports.callerPort}`,
            operatorUrl: `http://${standIn.loopbackHost}:${ports.operatorPort}`,
            handle,
            settingsFile,
        };
        this.entries = [...this.entries.filter(other => other.name !== assignment.name), entry]
            .sort((left, right) => left.name.localeCompare(right.name));
        await this.registerEntry(assignment, "live");
        return entry;
    }

    /** Kills an entry process and marks it as gone in the membership list. */
    async killEntry(name: string): Promise<void> {
        const entry = this.findEntry(name);
        processes.signalProcess(entry.handle, "SIGKILL");
        await entry.handle.exited;
        const assignment = this.assignments.get(name);
        if (assignment !== undefined) {
            await this.registerEntry(assignment, "gone");
        }
    }

    /** The most recently started entry process of a name. */
    findEntry(name: string): RunningEntry {
        const entry = this.entries.find(candidate => candidate.name === name);
        if (entry === undefined) {
            throw new Error(`entry instance ${name} was not started`);
        }
        return entry;
    }

    /** Waits until entry processes are ready; rejects with the output of one that isn't after 30 s. */
    async waitReady(entryNames: readonly string[] = this.entries.map(entry => entry.name)): Promise<void> {
        await Promise.all(entryNames.map(name => waitEntryReady(this.findEntry(name))));
    }

    /** Kills all processes and removes the settings files. */
    async stop(): Promise<void> {
        const standIns = [this.platform, ...this.backendServers, ...this.proxy === undefined ? [] : [this.proxy]];
        this.isStopped = true;
        await processes.killProcesses([...this.startedEntries, ...standIns.map(running => running.handle)]);
        fs.rmSync(this.folder, { recursive: true, force: true });
    }

    private async assignPorts(entry: deploymentPlan.PlannedEntry): Promise<EntryAssignment> {
        const peerPort = await entrySettings.findFreePort();
        if (this.proxy === undefined) {
            return { ...entry, peerPort, advertisedPort: peerPort, platformPort: this.platform.port };
        }
        const delayMs = this.deployment.latency.betweenZonesMs;
        const targetHost = standIn.loopbackHost;
        const platformPort = await controlClient.putRoute(this.proxy, {
            name: `platform/${entry.name}`,
            targetHost,
            targetPort: this.platform.port,
            delayMs,
        });
        const advertisedPort = await controlClient.putRoute(this.proxy, {
            name: `peer/${entry.name}`,
            targetHost,
            targetPort: peerPort,
            delayMs,
            undelayedFrom: deploymentPlan.findSourcePrefix(this.deployment, entry.availabilityZone),
        });
        return { ...entry, peerPort, advertisedPort, platformPort };
    }

    private writeSettings(assignment: EntryAssignment): string {
        const others = [...this.assignments.values()].filter(other => other.name !== assignment.name);
        const settings = entrySettings.createEntrySettings(assignment, {
            platformPort: assignment.platformPort,
            peerPort: assignment.peerPort,
            advertisedPort: assignment.advertisedPort,
            seedPorts: others.map(other => other.advertisedPort),
            security: { peerKey: this.peerKey, operatorKey: this.operatorKey },
        });
        return entrySettings.writeSettings(this.folder, settings, this.overrides);
    }

    private async registerEntry(assignment: EntryAssignment, state: schema.platform.Member["state"]): Promise<void> {
        const member: schema.platform.Member = {
            name: assignment.name,
            role: "entry",
            availabilityZone: assignment.availabilityZone,
            rack: `rack-${assignment.availabilityZone}-entries`,
            address: { host: standIn.loopbackHost, port: assignment.advertisedPort },
            state,
            boot: 1,
            slots: 0,
            connections: 0,
            memoryGigabytes: 1,
            accelerators: 0,
        };
        await controlClient.callControl(this.platform.controlPort, "PUT", `/membership/${assignment.name}`, member);
    }
}

async function waitEntryReady(entry: RunningEntry): Promise<void> {
    const deadline = performance.now() + readyTimeoutMs;
    while (!await isReady(entry)) {
        if (performance.now() > deadline) {
            throw new Error(`${entry.name} is not ready: ${entry.handle.readOutput()}`);
        }
        await timers.setTimeout(readyPollMs);
    }
}

async function isReady(entry: RunningEntry): Promise<boolean> {
    try {
        const answer = await undici.request(`${entry.operatorUrl}/readyz`);
        await answer.body.dump();
        return answer.statusCode === 200;
    }
    catch {
        return false;
    }
}
