/**
 * A small deployment: the system's processes, started with the command of the deploy file, and the project's stand-ins
 * for the store, the machines and their backend servers.
 */
import * as standIns from "@catkinwharf/platform-stand-ins";
import * as testUtils from "@catkinwharf/test-utils";
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";

const root = path.resolve(import.meta.dirname, "../../..");
/** The command of `deploy/system.toml`. */
const command = ["--max-old-space-size=200", "--min-semi-space-size=4", "target/catkinwharf-node.mjs"];

/** Bounds of the smaller deployment of the pages, zharyq-wharf. */
const bounds = {
    SeedLagS: 3,
    ReuseAfterS: 2,
    ContactMs: 3000,
    AckMs: 4000,
    CatchUpS: 4,
    DrainMs: 2000,
    GraceS: 6,
    LossSlackMs: 200,
    ConfigApplyMs: 2000,
    RollbackSlackMs: 250,
    MaxExtensionMs: 5000,
    RecoveryS: 12,
    HoldMaxMs: 10_000,
    StopMs: 400,
    GangMs: 3000,
    cancel_ms: 3000,
    visible_ms: 3000,
    early_ms: 250,
    finish_s: 14,
    status_s: 120,
    RemoteFactor: 2,
    CheckpointS: 0.5,
    RestoreMs: 100,
    NoticeMs: 4500,
    MigrateS: 1.5,
    MaintenanceS: 2,
    FencingEnabled: false,
    LeaseMs: 3000,
    ThawMs: 300,
    PaceMs: 100,
    InterferenceMs: 4000,
};

/** A process of the system on a machine of its own. */
export interface Node {
    readonly name: string;
    readonly callerPort: number;
    readonly readinessPort: number;
    readonly settingsFile: string;
    child: childProcess.ChildProcess | undefined;
    /** Number of times that it ended by itself. */
    ownEnds: number;
    /** What it wrote to standard output. */
    lines: string[];
}

/** A queue of the configuration; its host is `queues.example` and its path prefix its name between slashes. */
export interface Queue {
    readonly name: string;
    readonly service: string;
    readonly maxAttempts?: number;
}

export const host = "queues.example";

export class Deployment {
    readonly store = new standIns.StoreStandIn();
    readonly machines = new standIns.MachinesStandIn(this.store);
    readonly nodes: Node[] = [];
    readonly #folder = fs.mkdtempSync(path.join(os.tmpdir(), "review-"));
    #version = 0;
    #stopped = false;

    /** Starts the stand-ins of the platform and publishes the first configuration. */
    async startPlatform(queues: readonly Queue[]): Promise<void> {
        await this.store.start();
        await this.machines.start();
        this.machines.maxLease = bounds.HoldMaxMs;
        this.configure(queues);
    }

    /** Writes the next version of the configuration; returns the version. */
    configure(queues: readonly Queue[]): number {
        this.#version += 3;
        this.store.put("keyed.op", "config", {
            Version: this.#version,
            Routes: queues.map(queue => ({
                Name: queue.name,
                Host: host,
                PathPrefix: `/${queue.name}/`,
                Service: queue.service,
                Priority: 0,
                MaxAttempts: queue.maxAttempts ?? 3,
                SlackFactor: 2,
                TargetLatencyMs: 600,
                TimeoutMs: 3000,
            })),
            Services: [...new Set(queues.map(queue => queue.service))].map(name => ({ Name: name })),
            Limits: { MaxBodyBytes: 262_144 },
        });
        return this.#version;
    }

    /**
     * Starts a process.
     *
     * @param storeAddress address at which it reaches the store, which may be that of a proxy
     */
    async addNode(name: string, storeAddress = this.store.address): Promise<Node> {
        const [callerPort, readinessPort, metricsPort, relayPort] = await findFreePorts(4);
        const settingsFile = path.join(this.#folder, `${name}.json`);
        const ip = testUtils.loopbackHost;
        fs.writeFileSync(
            settingsFile,
            JSON.stringify({
                NodeName: name,
                Role: "entry",
                MachineClass: "frontend",
                Serves: ["frontend"],
                Ip: ip,
                Zone: "zone-a",
                Region: "region-a",
                Zones: { "zone-a": "region-a" },
                ListenAddrs: { FrontendAddr: `${ip}:${callerPort}`, ReadinessAddr: `${ip}:${readinessPort}` },
                InternalPorts: [metricsPort, relayPort],
                Seeds: [],
                Bootstrap: true,
                Limits: { CpuShare: 0.675, Cores: 1, MemoryMb: 350, MaxFds: 4100, LinkMbps: 1000, DiskMb: 0 },
                HeartbeatMs: 1500,
                Bounds: bounds,
                Orders: "invoke",
                platform: {
                    Address: storeAddress,
                    form: "log",
                    WritesPerS: 600,
                    ReadsPerS: 2000,
                    RecordBytes: 262_144,
                    RequestBytes: 2_097_152,
                    keep_s: 300,
                },
                Cloud: { Address: this.machines.address, RatePerS: 64, DutyPerS: 64 },
            }),
        );
        const node: Node = {
            name,
            callerPort: callerPort!,
            readinessPort: readinessPort!,
            settingsFile,
            child: undefined,
            ownEnds: 0,
            lines: [],
        };
        this.nodes.push(node);
        this.launch(node);
        return node;
    }

    launch(node: Node): void {
        const child = childProcess.spawn(process.execPath, command, {
            cwd: root,
            env: { PATH: process.env["PATH"], HOME: process.env["HOME"], CATKINWHARF_BOOT: node.settingsFile },
            stdio: ["ignore", "pipe", "pipe"],
        });
        let partial = "";
        child.stdout.on("data", (data: Buffer) => {
            const lines = (partial + data.toString()).split("\n");
            partial = lines.pop() ?? "";
            node.lines.push(...lines);
        });
        child.stderr.on("data", (data: Buffer) => node.lines.push(`stderr: ${data.toString()}`));
        child.once("exit", () => {
            if (node.child === child && !this.#stopped) {
                node.child = undefined;
                node.ownEnds += 1;
            }
        });
        node.child = child;
    }

    /** Ends the process by SIGKILL, which it can't handle, and waits until it is gone. */
    async kill(node: Node): Promise<void> {
        const { child } = node;
        node.child = undefined;
        if (child !== undefined) {
            const gone = new Promise(resolve => child.once("exit", resolve));
            child.kill("SIGKILL");
            await gone;
        }
    }

    /** The process that coordinates, by its log; `undefined` while none does. */
    findCoordinator(): Node | undefined {
        let newest = 0;
        let found: Node | undefined;
        for (const node of this.nodes) {
            for (const line of node.lines.filter(one => one.includes('"event":"coordinating"'))) {
                const { epoch } = JSON.parse(line) as { readonly epoch: number; };
                if (epoch > newest) {
                    newest = epoch;
                    found = node;
                }
            }
        }
        return found?.child === undefined ? undefined : found;
    }

    /** Ends everything that was started. */
    async stop(): Promise<void> {
        this.#stopped = true;
        await Promise.all(this.nodes.map(node => this.kill(node)));
        this.machines.stop();
        this.store.stop();
        fs.rmSync(this.#folder, { recursive: true, force: true });
    }
}

/** Time in ms between two checks of a condition. */
const pollInterval = 10;

/** Waits until the condition holds; returns whether it does within `limit` ms. */
export async function waitFor(limit: number, holds: () => boolean | Promise<boolean>): Promise<boolean> {
    const deadline = Date.now() + limit;
    while (!await holds()) {
        if (Date.now() > deadline) {
            return false;
        }
        await pause(pollInterval);
    }
    return true;
}

export function pause(duration: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, duration));
}

async function findFreePorts(count: number): Promise<number[]> {
    const servers = Array.from({ length: count }, () => net.createServer());
    const ports = await Promise.all(servers.map(server => testUtils.listenOnNonEphemeralPort(server)));
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
}
