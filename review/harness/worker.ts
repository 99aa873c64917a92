/**
 * Stand-in for a backend server, by the page on running work units: fence numbers, one lease for all runs, run numbers,
 * numbered ends, checkpoints and gangs. A crash loses everything that it knew.
 *
 * The payload of a job is a `Script` in JSON, which says how long its work units take.
 */
import * as http from "node:http";
import type * as net from "node:net";
import * as record from "./record.js";

/** What the runs of a job do. */
export interface Script {
    /** Time in ms that a work unit works; absent for one that lasts until it is stopped. */
    readonly work?: number;
    /** Number of members, if the work units are a gang. */
    readonly gang?: number;
    /** The work units serve users, with the tail latency that `Workers.computeTail` gives. */
    readonly serves?: boolean;
}

/** An order to pace a work unit that a server has received. */
export interface PaceOrder {
    readonly task: string;
    readonly percent: number;
}

export interface WorkerBounds {
    /** Longest lease in ms. */
    readonly maxLease: number;
    /** Time in ms of work after which there is a new checkpoint. */
    readonly checkpointInterval: number;
}

interface Run {
    readonly task: string;
    readonly number: number;
    readonly script: Script;
    /** Work in ms that is done, by the last checkpoint that it continues from. */
    readonly inherited: number;
    readonly checkpoint: string;
    readonly startedAt: number;
    /** When it began to work; `undefined` while members of its gang are missing. */
    workingSince: number | undefined;
    timer: NodeJS.Timeout | undefined;
    /** In percent of its full pace. */
    pace: number;
}

/** A start that a server has carried out, as a record of what ran. */
export interface StartedRun {
    readonly server: string;
    readonly task: string;
    readonly number: number;
    readonly checkpoint: string;
    readonly startedAt: number;
    endedAt: number | undefined;
    how: string | undefined;
}

type Body = Readonly<Record<string, unknown>>;
type Reply = { readonly status: number; readonly body: object; };

const leaseCheckInterval = 20;
/** Time in ms after which a work unit that lasts is at work. */
const startupTime = 200;

/** All servers of a deployment: what they ran, and the members of gangs that are present. */
export class Workers {
    readonly started: StartedRun[] = [];
    readonly members = new Map<string, { readonly worker: Worker; readonly run: Run; }[]>();
    readonly all: Worker[] = [];
    /** Tail latency in ms of a work unit that serves, when nothing beside it disturbs it. */
    baseTail = 0;
    /** Ms that a work unit at full pace adds to the tail latency of one that serves beside it. */
    disturbance = 0;
    /**
     * Time in ms after which an order to pace a work unit is carried out; it then gets no answer. `undefined` for one
     * that is carried out and answered at once.
     */
    findLateness: (order: PaceOrder) => number | undefined = () => undefined;
    onPaced: (order: PaceOrder) => void = () => undefined;

    computeTail(paces: readonly number[]): number {
        return Math.round(this.baseTail + paces.reduce((sum, pace) => sum + this.disturbance * pace / 100, 0));
    }

    listRuns(jobId: string): StartedRun[] {
        return this.started.filter(run => run.task.startsWith(`${jobId}.`));
    }

    findHolder(task: string): Worker | undefined {
        return this.all.find(worker => worker.isRunning(task));
    }
}

export class Worker {
    bootedAt = Date.now();
    isUp = false;
    #server: http.Server | undefined;
    #port = 0;
    #clockStart = performance.now();
    #leaseEnd = 0;
    #fencingToken = 0;
    #lastEnd = 0;
    #ends: [number, string, number, string, string][] = [];
    readonly #runs = new Map<string, Run>();
    readonly #highestEnded = new Map<string, number>();
    #waiting: (() => void)[] = [];
    #timer: NodeJS.Timeout | undefined;

    constructor(
        readonly id: string,
        private readonly workers: Workers,
        private readonly log: record.Recorder,
        private readonly bounds: WorkerBounds,
    ) {
        workers.all.push(this);
    }

    get address(): string {
        return `127.0.0.1:${this.#port}`;
    }

    isRunning(task: string): boolean {
        return this.#runs.has(task);
    }

    /** Boots the server; it keeps its address. */
    async start(): Promise<void> {
        this.bootedAt = Math.max(Date.now(), this.bootedAt + 1);
        this.#clockStart = performance.now();
        const server = http.createServer((message, response) => void this.#handle(message, response));
        this.#server = server;
        await new Promise<void>(resolve => server.listen(this.#port, "127.0.0.1", resolve));
        this.#port = (server.address() as net.AddressInfo).port;
        this.#timer = setInterval(() => this.#checkLease(), leaseCheckInterval);
        this.isUp = true;
    }

    /** Ends the process of the server: its runs end, its connections break, and it forgets everything. */
    crash(): void {
        this.log.write("worker-crashed", { worker: this.id, runs: [...this.#runs.keys()] });
        for (const run of [...this.#runs.values()]) {
            this.#remove(run, "crashed");
        }
        this.stop();
        this.#ends = [];
        this.#lastEnd = 0;
        this.#leaseEnd = 0;
        this.#fencingToken = 0;
        this.#highestEnded.clear();
    }

    stop(): void {
        this.isUp = false;
        clearInterval(this.#timer);
        this.#server?.close();
        this.#server?.closeAllConnections();
        this.#waiting.splice(0).forEach(wake => wake());
    }

    get #clock(): number {
        return Math.floor(performance.now() - this.#clockStart);
    }

    #checkLease(): void {
        if (this.#clock > this.#leaseEnd) {
            [...this.#runs.values()].forEach(run => this.#end(run, "lapsed"));
        }
    }

    async #handle(message: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        const chunks: Buffer[] = [];
        for await (const chunk of message) {
            chunks.push(chunk as Buffer);
        }
        if (message.headers["x-expected-instance"] !== this.id) {
            response.writeHead(421).end();
            return;
        }
        const body = JSON.parse(Buffer.concat(chunks).toString()) as Body;
        const order = { task: String(body["Task"]), percent: Number(body["Percent"]) };
        const lateness = message.url === "/-/pace" ? this.workers.findLateness(order) : undefined;
        if (lateness !== undefined) {
            this.log.write("order-held", { worker: this.id, ...order, lateness });
            setTimeout(() => void this.#carryOut("/-/pace", body), lateness);
            return;
        }
        const reply = await this.#carryOut(message.url ?? "", body);
        response.writeHead(reply.status, { "content-type": "application/json" });
        response.end(JSON.stringify({ ClockMs: this.#clock, born: this.bootedAt, ...reply.body }));
    }

    async #carryOut(path: string, body: Body): Promise<Reply> {
        const token = Number(body["FencingToken"] ?? 0);
        if (token < this.#fencingToken) {
            return { status: 409, body: { Reason: "fence" } };
        }
        this.#fencingToken = token;
        const granted = Math.min(Number(body["UntilMs"] ?? 0), this.#clock + this.bounds.maxLease);
        this.#leaseEnd = Math.max(this.#leaseEnd, granted);
        const handlers: Readonly<Record<string, () => Reply | Promise<Reply>>> = {
            "/-/run-start": () => this.#start(body),
            "/-/run-stop": () => this.#stopRun(String(body["Task"]), Number(body["Run"])),
            "/-/hold": () => this.#list(Number(body["AckCursor"] ?? 0), Number(body["WaitMs"] ?? 0)),
            "/-/pace": () => this.#pace({ task: String(body["Task"]), percent: Number(body["Percent"]) }),
        };
        return await handlers[path]?.() ?? { status: 404, body: {} };
    }

    #start(body: Body): Reply {
        const task = String(body["Task"]);
        const number = Number(body["Run"]);
        const present = this.#runs.get(task);
        if (present?.number === number) {
            return { status: 200, body: {} };
        }
        if (present !== undefined || number <= (this.#highestEnded.get(task) ?? 0)) {
            return { status: 409, body: { Reason: "old" } };
        }
        if (this.#clock > this.#leaseEnd) {
            return { status: 409, body: { Reason: "late" } };
        }
        const checkpoint = String(body["Checkpoint"] ?? "");
        const run: Run = {
            task,
            number,
            script: JSON.parse(String(body["Spec"])) as Script,
            inherited: parseCheckpoint(checkpoint),
            checkpoint,
            startedAt: performance.now(),
            workingSince: undefined,
            timer: undefined,
            pace: 100,
        };
        this.#runs.set(task, run);
        this.workers.started.push({
            server: this.id,
            task,
            number,
            checkpoint,
            startedAt: Date.now(),
            endedAt: undefined,
            how: undefined,
        });
        this.log.write("run-started", { worker: this.id, task, run: number, checkpoint, token: this.#fencingToken });
        this.#beginWork(run);
        return { status: 200, body: {} };
    }

    /** Begins the work; that of a gang begins when all members of its run are present. */
    #beginWork(run: Run): void {
        const size = run.script.gang ?? 1;
        const gang = gangName(run);
        const members = [...this.workers.members.get(gang) ?? [], { worker: this, run }];
        this.workers.members.set(gang, members);
        if (members.length < size) {
            return;
        }
        for (const member of members) {
            member.run.workingSince = performance.now();
            if (run.script.work !== undefined) {
                const left = Math.max(0, run.script.work - Math.min(...members.map(({ run: one }) => one.inherited)));
                member.run.timer = setTimeout(() => member.worker.#end(member.run, "done"), left);
            }
        }
    }

    #stopRun(task: string, number: number): Reply {
        const run = this.#runs.get(task);
        if (run?.number === number) {
            this.#end(run, "stopped");
        }
        this.#highestEnded.set(task, Math.max(number, this.#highestEnded.get(task) ?? 0));
        return { status: 200, body: {} };
    }

    #pace(order: PaceOrder): Reply {
        const run = this.#runs.get(order.task);
        if (run !== undefined) {
            run.pace = order.percent;
            this.log.write("paced", { worker: this.id, ...order });
            this.workers.onPaced(order);
        }
        return { status: 200, body: {} };
    }

    /** Tail latency in ms of the work units that serve, by the pace of the others. */
    computeTail(): number {
        return this.workers.computeTail(
            [...this.#runs.values()].filter(run => run.script.serves !== true).map(run => run.pace),
        );
    }

    async #list(acknowledged: number, wait: number): Promise<Reply> {
        this.#ends = this.#ends.filter(([number]) => number > acknowledged);
        if (this.#ends.length === 0 && wait > 0) {
            await new Promise<void>(resolve => {
                const timer = setTimeout(resolve, wait);
                this.#waiting.push(() => {
                    clearTimeout(timer);
                    resolve();
                });
            });
        }
        const running = [...this.#runs.values()].map(run => [
            run.task,
            run.number,
            this.#computeCheckpoint(run, false),
            computePercent(run),
            run.script.serves === true ? this.computeTail() : 100,
        ]);
        return { status: 200, body: { Running: running, Finished: this.#ends.slice(0, 500) } };
    }

    /** Checkpoint of a run: work in ms, and this server, as each member of a gang saves its own value. */
    #computeCheckpoint(run: Run, stopped: boolean): string {
        const worked = run.workingSince === undefined ? 0 : performance.now() - run.workingSince;
        const { checkpointInterval } = this.bounds;
        const saved = stopped ? worked : Math.floor(worked / checkpointInterval) * checkpointInterval;
        return saved > 0 ? `${Math.floor(run.inherited + saved)}@${this.id}` : run.checkpoint;
    }

    #end(run: Run, how: string): void {
        if (this.#runs.get(run.task) !== run) {
            return;
        }
        const checkpoint = how === "done" ? "" : this.#computeCheckpoint(run, how !== "lapsed");
        this.#remove(run, how);
        this.#highestEnded.set(run.task, Math.max(run.number, this.#highestEnded.get(run.task) ?? 0));
        this.#lastEnd += 1;
        this.#ends.push([this.#lastEnd, run.task, run.number, how, checkpoint]);
        this.#waiting.splice(0).forEach(wake => wake());
    }

    #remove(run: Run, how: string): void {
        clearTimeout(run.timer);
        this.#runs.delete(run.task);
        const entry = this.workers.started.findLast(one =>
            one.task === run.task && one.number === run.number && one.server === this.id
        )!;
        entry.endedAt = Date.now();
        entry.how = how;
        this.log.write("run-ended", { worker: this.id, task: run.task, run: run.number, how });
        const gang = gangName(run);
        const others = (this.workers.members.get(gang) ?? []).filter(member => member.run !== run);
        this.workers.members.set(gang, others);
        if (run.script.gang !== undefined && how !== "done") {
            others.forEach(other => other.worker.#end(other.run, "broken"));
        }
    }
}

/** Names a run of a gang, or the run of any other work unit. */
function gangName(run: Run): string {
    const step = run.task.slice(0, run.task.lastIndexOf("."));
    return run.script.gang === undefined ? `${run.task}/${run.number}` : `${step}/${run.number}`;
}

function parseCheckpoint(checkpoint: string): number {
    return checkpoint === "" ? 0 : Number(checkpoint.split("@")[0]);
}

function computePercent(run: Run): number {
    if (run.workingSince === undefined) {
        return 0;
    }
    const worked = performance.now() - run.workingSince;
    return run.script.work === undefined
        ? worked >= startupTime ? 100 : 0
        : Math.min(99, Math.floor((run.inherited + worked) / run.script.work * 100));
}
