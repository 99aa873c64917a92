/**
 * A small deployment: processes of the system, started with the command of the deploy file, the project's stand-in for
 * the store, a list of machines, and the servers of `worker.ts`.
 */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as http from "node:http";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import * as link from "./link.js";
import * as record from "./record.js";
import * as strictStore from "./strict-store.js";
import * as worker from "./worker.js";

/** Whether the case includes its disruption. */
export const hasTrouble = process.env["TROUBLE"] !== "0";

/** Exit codes of a case. */
export const Verdict = { held: 0, broken: 1, notRun: 2 } as const;
export type Verdict = (typeof Verdict)[keyof typeof Verdict];

/** Bounds of the users' small deployments; names as in the settings file. */
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
    HoldMaxMs: 6000,
    StopMs: 200,
    GangMs: 3000,
    cancel_ms: 3000,
    visible_ms: 3000,
    early_ms: 250,
    finish_s: 14,
    status_s: 120,
    RemoteFactor: 3,
    CheckpointS: 1,
    RestoreMs: 600,
    NoticeMs: 4500,
    MigrateS: 1.5,
    MaintenanceS: 2,
    FencingEnabled: false,
    LeaseMs: 3000,
    ThawMs: 300,
    PaceMs: 100,
    InterferenceMs: 4000,
};
const workerBounds: worker.WorkerBounds = {
    maxLease: bounds.HoldMaxMs,
    checkpointInterval: bounds.CheckpointS * 1000,
};
/** Capacity of each server. */
const capacity = { Cpu: 16_000, MemMb: 65_536 };
/** Time in ms for which a caller waits for a response. */
const callerTimeout = 3000;
/** Time in ms after which a condition that should hold before the disruption counts as failed. */
const setupTimeout = 25_000;

/** Time in ms for which the list of machines keeps an idle connection open. */
const idleTimeout = 60_000;
const portsPerNode = 5;

const root = path.resolve(import.meta.dirname, "../../..");

interface Node {
    readonly name: string;
    readonly callerPort: number;
    readonly settingsFile: string;
    child: childProcess.ChildProcess | undefined;
}

/** An order for a machine, as the platform received it. */
export interface MachineOrder {
    readonly machine: string;
    readonly holder: string;
    readonly fencingToken: number;
    readonly accepted: boolean;
}

export interface Answer {
    /** 0 when there was no answer. */
    readonly status: number;
    readonly state: string | undefined;
}

export class System {
    readonly store: strictStore.StrictStore;
    readonly workers = new worker.Workers();
    readonly nodes: Node[] = [];
    readonly #services = new Map<worker.Worker, string>();
    readonly #folder = fs.mkdtempSync(path.join(os.tmpdir(), "catkinwharf-review-"));
    readonly #cloud = http.createServer((message, response) => void this.#handleMachines(message, response));
    readonly #cloudLink = new link.Link();
    readonly #inUpkeep = new Set<worker.Worker>();
    /** Machines and waves of the upkeeps that were carried out; a repeated order changes nothing. */
    readonly #upkeepsDone = new Set<string>();
    /** Orders for machines, in the order in which they arrived. */
    readonly machineOrders: MachineOrder[] = [];

    constructor(readonly log: record.Recorder) {
        this.store = new strictStore.StrictStore(log);
    }

    /** Starts the stand-ins and the processes, and waits until the processes serve callers. */
    async start(nodeCount: number, servers: Readonly<Record<string, number>>): Promise<void> {
        await this.store.start();
        this.#cloud.keepAliveTimeout = idleTimeout;
        await new Promise<void>(resolve => this.#cloud.listen(0, "127.0.0.1", resolve));
        const cloud = this.#cloud.address() as net.AddressInfo;
        await this.#cloudLink.start(cloud.port);
        this.store.put("keyed.op", "config", {
            Version: 3,
            Routes: Object.keys(servers).map(service => ({
                Name: service,
                Host: "queues.example",
                PathPrefix: `/${service}/`,
                Service: service,
                Priority: 0,
                MaxAttempts: 2,
                SlackFactor: 2,
                TargetLatencyMs: 600,
                TimeoutMs: callerTimeout,
            })),
            Services: Object.keys(servers).map(name => ({ Name: name, RejectsOverload: false })),
            Limits: { MaxBodyBytes: 262_144 },
        });
        for (const [service, count] of Object.entries(servers)) {
            for (let i = 0; i < count; i++) {
                const added = new worker.Worker(`${service}-${i}`, this.workers, this.log, workerBounds);
                this.#services.set(added, service);
                await added.start();
                this.register(added);
            }
        }
        // All before the first process starts, as one that starts may take a port that is found free.
        const ports = await findFreePorts(portsPerNode * nodeCount);
        for (let i = 0; i < nodeCount; i++) {
            this.#addNode(`entry-${i}`, ports.slice(portsPerNode * i, portsPerNode * (i + 1)));
        }
        for (const node of this.nodes) {
            await this.waitFor(`${node.name} serves callers`, async () => {
                return (await this.send("GET", `/${Object.keys(servers)[0]}/`, undefined, node, false)).status === 200;
            });
        }
    }

    /** Writes the server's entry in the store, as a server does when it has booted. */
    register(one: worker.Worker): void {
        const index = this.workers.all.indexOf(one);
        this.store.put("keyed.servers", one.id, {
            Service: this.#services.get(one),
            Address: one.address,
            Zone: "zone-a",
            Version: "1",
            Slots: 8,
            State: "ready",
            ColdRemainingMs: 0,
            Sequence: 1,
            Capacity: capacity,
            Labels: ["a", `r1-${Math.floor(index / 4)}`],
            born: one.bootedAt,
        });
    }

    /** Removes the entry of a server that is gone. */
    unregister(one: worker.Worker): void {
        this.store.put("keyed.servers", one.id, undefined);
    }

    /** The link between the processes and the list of machines. */
    get cloudLink(): link.Link {
        return this.#cloudLink;
    }

    /** Sends a caller's request with the first process, or the given one. */
    send(
        method: "POST" | "GET" | "DELETE",
        target: string,
        body: object | undefined = undefined,
        node = this.nodes.find(one => one.child !== undefined)!,
        recorded = true,
    ): Promise<Answer> {
        const sent = body === undefined ? "" : JSON.stringify(body);
        return new Promise<Answer>(resolve => {
            const finish = (answer: Answer) => {
                if (recorded) {
                    this.log.write("answered", { method, target, node: node.name, ...answer });
                }
                resolve(answer);
            };
            const request = http.request({
                host: "127.0.0.1",
                port: node.callerPort,
                method,
                path: target,
                agent: false,
                timeout: callerTimeout,
                headers: {
                    "host": "queues.example",
                    "content-type": "application/json",
                    "content-length": Buffer.byteLength(sent),
                    "x-deadline-ms": String(callerTimeout),
                },
            }, response => {
                let text = "";
                response.on("data", data => text += data);
                response.on("end", () => {
                    const state = text === "" ? undefined : (JSON.parse(text) as { State?: string; }).State;
                    finish({ status: response.statusCode!, state });
                });
                response.on("error", () => finish({ status: 0, state: undefined }));
            });
            request.on("timeout", () => request.destroy());
            request.on("error", () => finish({ status: 0, state: undefined }));
            if (recorded) {
                this.log.write("sent", { method, target, node: node.name, body });
            }
            request.end(sent);
        });
    }

    /** Hands a job in; throws if it isn't accepted. */
    async submit(target: string, script: worker.Script, steps: readonly object[]): Promise<void> {
        const answer = await this.send("POST", target, { Spec: JSON.stringify(script), Steps: steps });
        if (answer.status !== 200) {
            throw new Error(`${target} was answered with ${answer.status}`);
        }
    }

    async waitFor(
        description: string,
        isMet: () => boolean | Promise<boolean>,
        timeout = setupTimeout,
    ): Promise<void> {
        const deadline = performance.now() + timeout;
        while (!await isMet()) {
            if (performance.now() > deadline) {
                throw new Error(`not within ${timeout} ms: ${description}`);
            }
            await pause(20);
        }
    }

    launch(node: Node): void {
        const output = fs.openSync(path.join(this.#folder, `${node.name}.log`), "a");
        node.child = childProcess.spawn(
            process.execPath,
            ["--max-old-space-size=200", "--min-semi-space-size=4", "target/catkinwharf-node.mjs"],
            {
                cwd: root,
                env: { ...process.env, CATKINWHARF_BOOT: node.settingsFile },
                stdio: ["ignore", output, output],
            },
        );
        fs.closeSync(output);
        this.log.write("node-started", { node: node.name });
    }

    async kill(node: Node): Promise<void> {
        const { child } = node;
        node.child = undefined;
        if (child?.exitCode === null && child.signalCode === null) { // eslint-disable-line no-restricted-syntax -- Node's types
            const ended = new Promise(resolve => child.once("exit", resolve));
            child.kill("SIGKILL");
            await ended;
        }
        this.log.write("node-killed", { node: node.name });
    }

    /** The process that has logged last that it coordinates. */
    findCoordinator(): Node {
        const newest = this.readLog("coordinating").map(line => JSON.parse(line) as { node: string; epoch: number; })
            .sort((a, b) => b.epoch - a.epoch)[0];
        const found = this.nodes.find(node => node.name === newest?.node);
        if (found === undefined) {
            throw new Error("no process coordinates");
        }
        return found;
    }

    /** Lines that the processes have logged with this event. */
    readLog(event: string): string[] {
        return this.nodes.flatMap(node =>
            fs.readFileSync(path.join(this.#folder, `${node.name}.log`), "utf8").split("\n")
                .filter(line => line.includes(`"event":"${event}"`))
        );
    }

    async stop(): Promise<void> {
        await Promise.all(this.nodes.map(node => this.kill(node)));
        this.workers.all.forEach(one => one.stop());
        this.store.stop();
        this.#cloudLink.stop();
        this.#cloud.close();
        this.#cloud.closeAllConnections();
        if (process.env["KEEP_LOGS"] === undefined) {
            fs.rmSync(this.#folder, { recursive: true, force: true });
        }
    }

    #addNode(name: string, ports: readonly number[]): void {
        const settingsFile = path.join(this.#folder, `${name}.json`);
        const [callerPort, readinessPort, controlPort, metricsPort, relayPort] = ports;
        fs.writeFileSync(
            settingsFile,
            JSON.stringify({
                NodeName: name,
                Role: "entry",
                MachineClass: "frontend",
                Serves: ["frontend"],
                Ip: "127.0.0.1",
                Zone: "zone-a",
                Region: "region",
                Zones: { "zone-a": "region" },
                ListenAddrs: {
                    FrontendAddr: `127.0.0.1:${callerPort}`,
                    ReadinessAddr: `127.0.0.1:${readinessPort}`,
                    Control: `127.0.0.1:${controlPort}`,
                },
                InternalPorts: [metricsPort, relayPort],
                Seeds: [],
                Bootstrap: true,
                Limits: { CpuShare: 0.675, Cores: 1, MemoryMb: 350, MaxFds: 4100, LinkMbps: 1000, DiskMb: 0 },
                Discovery: "platform",
                Entry: "vip",
                HeartbeatMs: 1500,
                Bounds: bounds,
                Orders: "invoke",
                platform: {
                    Address: this.store.address,
                    form: "log",
                    WritesPerS: 800,
                    ReadsPerS: 2000,
                    parts: 12,
                    AppendMs: 2,
                    PartitionMbS: 20,
                    ReadMbS: 80,
                    RecordBytes: strictStore.recordBytes,
                    RequestBytes: strictStore.requestBytes,
                    keep_s: 300,
                    PartitionMb: 200,
                    TtlMinMs: 1000,
                },
                Cloud: { Address: `127.0.0.1:${this.#cloudLink.port}`, RatePerS: 64, Duties: [], DutyPerS: 64 },
            }),
        );
        const node: Node = { name, callerPort: callerPort!, settingsFile, child: undefined };
        this.nodes.push(node);
        this.launch(node);
    }

    /** Lists the machines, one for each server, and carries out orders for upkeep; no fence is checked. */
    async #handleMachines(message: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        const chunks: Buffer[] = [];
        for await (const chunk of message) {
            chunks.push(chunk as Buffer);
        }
        if (message.method === "GET") {
            response.end(
                JSON.stringify({ Machines: this.workers.all.map((one, index) => this.#describe(one, index)) }),
            );
            return;
        }
        const body = JSON.parse(Buffer.concat(chunks).toString()) as {
            readonly Machine: string;
            readonly Wave: number;
        };
        const one = this.workers.all.find(other => formatMachine(other) === body.Machine);
        const isUpkeep = message.url === "/-/machine-upkeep" && one?.isUp === true;
        const order: MachineOrder = {
            machine: body.Machine,
            holder: String(message.headers["x-lease-holder"]),
            fencingToken: Number(message.headers["x-fencing-token"]),
            accepted: isUpkeep,
        };
        this.machineOrders.push(order);
        this.log.write("machine-ordered", { path: message.url, ...order });
        if (!isUpkeep) {
            response.writeHead(409).end(JSON.stringify({ Reason: "busy" }));
            return;
        }
        const operation = `${body.Machine}, wave ${body.Wave}`;
        if (this.#upkeepsDone.has(operation)) {
            response.end("{}");
            return;
        }
        this.#upkeepsDone.add(operation);
        one.crash();
        this.unregister(one);
        this.#inUpkeep.add(one);
        response.end("{}");
        await pause(bounds.MaintenanceS * 1000);
        this.#inUpkeep.delete(one);
        await one.start();
        this.register(one);
    }

    #describe(one: worker.Worker, index: number): object {
        return {
            Machine: formatMachine(one),
            Pool: this.#services.get(one),
            State: one.isUp ? "up" : this.#inUpkeep.has(one) ? "upkeep" : "down",
            Zone: "zone-a",
            Labels: ["a", `r1-${Math.floor(index / 4)}`],
            Capacity: capacity,
            Id: one.isUp ? one.id : "",
        };
    }
}

function formatMachine(one: worker.Worker): string {
    return `m-${one.id}`;
}

export function pause(duration: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, duration));
}

/** Runs a case and exits with its verdict. */
export async function runCase(
    folder: string,
    play: (system: System, log: record.Recorder) => Promise<Verdict>,
): Promise<void> {
    const log = new record.Recorder(path.join(root, "review", folder, "record.txt"));
    const system = new System(log);
    let verdict: Verdict = Verdict.notRun;
    try {
        verdict = await play(system, log);
    }
    catch (error) {
        log.write("not-run", { error: String(error) });
        process.stderr.write(`${String(error)}\n`);
    }
    await system.stop();
    log.write("verdict", { verdict, hasTrouble });
    process.exit(verdict);
}

/** Finds ports below the range of outgoing connections, so that none of these takes them. */
async function findFreePorts(count: number): Promise<number[]> {
    const found: number[] = [];
    while (found.length < count) {
        const port = 12_000 + Math.floor(Math.random() * 18_000);
        const server = net.createServer();
        const isFree = await new Promise<boolean>(resolve => {
            server.once("error", () => resolve(false));
            server.listen(port, "127.0.0.1", () => resolve(true));
        });
        await new Promise<void>(resolve => isFree ? server.close(() => resolve()) : resolve());
        if (isFree && !found.includes(port)) {
            found.push(port);
        }
    }
    return found;
}
