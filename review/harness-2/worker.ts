/**
 * A worker whose work units save checkpoints and may form gangs, by the users' pages. The `Spec` of its work units is a
 * `Script` in JSON.
 */
import * as testUtils from "@catkinwharf/test-utils";
import * as http from "node:http";

/** What a work unit does. */
export interface Script {
    /** Ms of work. */
    readonly duration: number;
    /** Number of members of the gang. */
    readonly members: number;
}

/** A run that a worker has begun on an order. */
export interface Run {
    readonly worker: string;
    readonly task: string;
    readonly run: number;
    /** Empty when the order had none. */
    readonly checkpoint: string;
    readonly begunAt: number;
    endedAt: number | undefined;
    how: string | undefined;
}

interface ActiveRun {
    readonly record: Run;
    readonly script: Script;
    readonly worker: Worker;
    readonly aloneTimer: NodeJS.Timeout;
}

/** Ms of work between two checkpoints (`CheckpointS`). */
const checkpointInterval = 500;
/** Ms for which a member of a gang waits for the others (`GangMs`). */
const gangLimit = 3000;
/** Ms within which an expired lease is noticed. */
const leaseCheckInterval = 20;
/** Longest lease in ms (`HoldMaxMs`). */
const maxLease = 10_000;

/** Ms of work that a checkpoint stands for. */
function readCheckpoint(checkpoint: string): number {
    return checkpoint === "" ? 0 : Number.parseInt(checkpoint.slice(0, 8), 16);
}

/** Members of one run of a gang that are to work together: they carry the same checkpoint. */
class Gang {
    readonly members = new Map<string, ActiveRun>();
    startedAt: number | undefined;
    #doneTimer: NodeJS.Timeout | undefined;

    constructor(private readonly checkpoint: string) {}

    join(member: ActiveRun): void {
        this.members.set(member.record.task, member);
        if (this.members.size === member.script.members && this.startedAt === undefined) {
            this.startedAt = Date.now();
            this.members.forEach(({ aloneTimer }) => clearTimeout(aloneTimer));
            const left = member.script.duration - readCheckpoint(this.checkpoint);
            this.#doneTimer = setTimeout(() => this.#endAll("done"), left);
        }
    }

    /** A member has ended in another way than with the others. */
    leave(member: ActiveRun): void {
        this.members.delete(member.record.task);
        if (this.startedAt !== undefined) {
            this.#endAll("broken");
        }
    }

    /** The newest checkpoint; the one at the start until a new one is due. */
    get saved(): string {
        if (this.startedAt === undefined) {
            return this.checkpoint;
        }
        const worked = Math.floor((Date.now() - this.startedAt) / checkpointInterval) * checkpointInterval;
        return worked === 0
            ? this.checkpoint
            : (readCheckpoint(this.checkpoint) + worked).toString(16).padStart(8, "0").padEnd(16, "a");
    }

    percentOf({ duration }: Script): number {
        const worked = this.startedAt === undefined ? 0 : Date.now() - this.startedAt;
        return Math.min(99, Math.floor((readCheckpoint(this.checkpoint) + worked) * 100 / duration));
    }

    #endAll(how: string): void {
        clearTimeout(this.#doneTimer);
        const { saved } = this;
        const members = [...this.members.values()];
        this.members.clear();
        members.forEach(member => member.worker.end(member, how, saved));
    }
}

/** All gangs, by job, occurrence, step, run and checkpoint. */
export class Gangs {
    readonly #gangs = new Map<string, Gang>();

    find({ task, run, checkpoint }: Run): Gang {
        const key = `${task.split(".").slice(0, 3).join(".")}/${run}/${checkpoint}`;
        const found = this.#gangs.get(key) ?? new Gang(checkpoint);
        this.#gangs.set(key, found);
        return found;
    }
}

type Body = Readonly<Record<string, unknown>>;
interface Reply {
    readonly status: number;
    readonly body: object;
}

export class Worker {
    born = Date.now();
    #up = false;
    #clockStart = performance.now();
    #port = 0;
    #leaseEnd = 0;
    #fence = 0;
    #lastEnd = 0;
    #ends: [number, string, number, string, string][] = [];
    readonly #active = new Map<string, ActiveRun>();
    readonly #highestEnded = new Map<string, number>();
    #waiting: (() => void)[] = [];
    readonly #server = http.createServer((message, response) => void this.#handle(message, response));
    readonly #timer = setInterval(() => this.#checkLease(), leaseCheckInterval);

    /** @param history receives each run that any worker begins */
    constructor(readonly id: string, private readonly gangs: Gangs, private readonly history: Run[]) {}

    async start(): Promise<void> {
        this.#port = await testUtils.listenOnNonEphemeralPort(this.#server);
        this.#up = true;
    }

    get address(): string {
        return `${testUtils.loopbackHost}:${this.#port}`;
    }

    stop(): void {
        clearInterval(this.#timer);
        this.#server.close();
        this.#server.closeAllConnections();
    }

    /** Crashes; `restart` brings the worker up again. */
    crash(): void {
        this.#up = false;
        this.#server.close();
        this.#server.closeAllConnections();
        for (const active of [...this.#active.values()]) {
            this.#active.delete(formatRun(active.record.task, active.record.run));
            clearTimeout(active.aloneTimer);
            active.record.endedAt = Date.now();
            active.record.how = "crashed";
            this.gangs.find(active.record).leave(active);
        }
    }

    /** Starts again under the same id and address; nothing of before is known. */
    async restart(): Promise<void> {
        this.born = Math.max(Date.now(), this.born + 1);
        this.#clockStart = performance.now();
        this.#leaseEnd = 0;
        this.#fence = 0;
        this.#lastEnd = 0;
        this.#ends = [];
        this.#highestEnded.clear();
        await testUtils.listenAgain(this.#server, this.#port);
        this.#up = true;
    }

    end(active: ActiveRun, how: string, saved: string): void {
        const { record } = active;
        clearTimeout(active.aloneTimer);
        this.#active.delete(formatRun(record.task, record.run));
        record.endedAt = Date.now();
        record.how = how;
        this.#highestEnded.set(record.task, Math.max(record.run, this.#highestEnded.get(record.task) ?? 0));
        this.#lastEnd += 1;
        this.#ends.push([this.#lastEnd, record.task, record.run, how, saved]);
        this.#waiting.splice(0).forEach(wake => wake());
    }

    get #clock(): number {
        return Math.floor(performance.now() - this.#clockStart);
    }

    #checkLease(): void {
        if (this.#up && this.#clock > this.#leaseEnd) {
            for (const active of [...this.#active.values()]) {
                this.#endAndLeave(active, "lapsed");
            }
        }
    }

    #endAndLeave(active: ActiveRun, how: string): void {
        const gang = this.gangs.find(active.record);
        this.end(active, how, gang.saved);
        gang.leave(active);
    }

    async #handle(message: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        const received = await testUtils.readBody(message).catch(() => undefined);
        if (received === undefined) {
            return;
        }
        if (message.headers["x-expected-instance"] !== this.id) {
            response.writeHead(421).end();
            return;
        }
        const body = JSON.parse(received.toString() || "{}") as Body;
        const reply = await this.#carryOut(message.url ?? "", body);
        response.writeHead(reply.status, { "content-type": "application/json" });
        response.end(JSON.stringify({ ClockMs: this.#clock, born: this.born, ...reply.body }));
    }

    async #carryOut(path: string, body: Body): Promise<Reply> {
        const fence = Number(body["FencingToken"] ?? 0);
        if (fence < this.#fence) {
            return { status: 409, body: { Reason: "fence" } };
        }
        this.#fence = fence;
        this.#checkLease();
        this.#leaseEnd = Math.max(this.#leaseEnd, Math.min(Number(body["UntilMs"] ?? 0), this.#clock + maxLease));
        const handlers: Readonly<Record<string, () => Reply | Promise<Reply>>> = {
            "/-/run-start": () => this.#begin(body),
            "/-/run-stop": () => this.#stopRun(String(body["Task"]), Number(body["Run"])),
            "/-/hold": () => this.#hold(Number(body["AckCursor"] ?? 0), Number(body["WaitMs"] ?? 0)),
            "/-/pace": () => ({ status: 200, body: {} }),
        };
        return await handlers[path]?.() ?? { status: 404, body: {} };
    }

    #begin(body: Body): Reply {
        const task = String(body["Task"]);
        const run = Number(body["Run"]);
        if (this.#active.has(formatRun(task, run))) {
            return { status: 200, body: {} };
        }
        if (run <= (this.#highestEnded.get(task) ?? 0)) {
            return { status: 409, body: { Reason: "old" } };
        }
        if (Number(body["UntilMs"]) < this.#clock) {
            return { status: 409, body: { Reason: "late" } };
        }
        const record: Run = {
            worker: this.id,
            task,
            run,
            checkpoint: String(body["Checkpoint"] ?? ""),
            begunAt: Date.now(),
            endedAt: undefined,
            how: undefined,
        };
        this.history.push(record);
        const gang = this.gangs.find(record);
        const active: ActiveRun = {
            record,
            script: JSON.parse(String(body["Spec"])) as Script,
            worker: this,
            aloneTimer: setTimeout(() => this.#endAndLeave(active, "alone"), gangLimit),
        };
        this.#active.set(formatRun(task, run), active);
        gang.join(active);
        return { status: 200, body: {} };
    }

    #stopRun(task: string, run: number): Reply {
        const active = this.#active.get(formatRun(task, run));
        if (active !== undefined) {
            this.#endAndLeave(active, "stopped");
        }
        this.#highestEnded.set(task, Math.max(run, this.#highestEnded.get(task) ?? 0));
        return { status: 200, body: {} };
    }

    async #hold(acknowledged: number, wait: number): Promise<Reply> {
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
        const running = [...this.#active.values()].map(({ record, script }) => {
            const gang = this.gangs.find(record);
            return [record.task, record.run, gang.saved, gang.percentOf(script), 500];
        });
        return { status: 200, body: { Running: running, Finished: this.#ends } };
    }
}

function formatRun(task: string, run: number): string {
    return `${task}/${run}`;
}
