/**
 * Callers: submit jobs through all entry processes, over connections that they keep, repeat calls without an answer
 * elsewhere, ask for statuses and cancel some jobs.
 */
import * as bench from "@catkinwharf/bench";
import * as platformStandIns from "@catkinwharf/platform-stand-ins";
import * as testUtils from "@catkinwharf/test-utils";
import * as timers from "node:timers/promises";
import * as undici from "undici";
import type * as lostJobs from "./lost-jobs.js";
import type * as organisations from "./organisations.js";
import * as strainingJobs from "./straining-jobs.js";

/** Time in ms for which a caller waits for a response. */
const callTimeout = 3000;
const maxAttempts = 5;
/** Time in ms before a call is repeated. */
const retryDelay = 250;
/** Connections that the callers keep to each process. */
const connectionsPerProcess = 8;
/** Share of the jobs that are submitted again some seconds after they were accepted. */
const repeatedShare = 0.05;
const cancelledShare = 0.06;
/** Of the jobs that run until they are cancelled. */
const longRunningShare = 0.04;
const statusShare = 0.3;
/** Share of the jobs whose tasks run for longer than the longest lease that servers grant. */
const lastingShare = 0.15;
/** Tasks of such a job, and the most time in ms by which they outlast that lease. */
const lastingTasks = 4;
const maxExcess = 4000;

/** A job as it is submitted, and what its caller does then. */
export interface JobPlan {
    readonly id: string;
    readonly queue: string;
    readonly body: object;
    readonly steps: readonly lostJobs.JobStep[];
    readonly longRunning: boolean;
    readonly crashesServers: boolean;
    /** Ms after its submission; `undefined` for a job that isn't cancelled. */
    readonly cancelAfter: number | undefined;
    /** The same for a second submission. */
    readonly repeatAfter: number | undefined;
    readonly isAsked: boolean;
    /** Its caller calls once, and cancels it unless that call tells that it was accepted. */
    readonly isWithdrawn?: boolean;
    /** The process that gets the first call. */
    readonly firstProcess: number;
    /** `undefined` without organisations. */
    readonly credentials: organisations.Credentials | undefined;
}

export interface LoadOptions {
    readonly deployment: platformStandIns.StandInDeployment;
    readonly queues: readonly string[];
    readonly random: bench.RandomSource;
    /** Mean number of jobs per second. */
    readonly rate: number;
    /** Longest lease in ms that servers grant. */
    readonly maxLease: number;
    /** Draws the jobs that can't be done, as their tasks fail or crash their servers; none unless given. */
    readonly faultyJobs?: bench.RandomSource | undefined;
    /** Draws jobs that strain the system; none unless given. */
    readonly strainingJobs?: bench.RandomSource | undefined;
    /** `undefined` if requests need no keys. */
    readonly organisations: organisations.Organisations | undefined;
}

type Method = "POST" | "GET" | "DELETE";

/** A job that was accepted, and what has become of its cancellation. */
export interface AcceptedJob extends lostJobs.SubmittedJob {
    cancellation: lostJobs.Cancellation;
    readonly plan: JobPlan;
}

interface Answer {
    /** 0 if there was none. */
    readonly status: number;
    readonly state: string | undefined;
}

/** Shares of the jobs whose runs all fail, and of those of which a task crashes each server that starts it. */
const failingShare = 0.02;
const crashingShare = 0.01;
/** Thousandths of a core that each task demands. */
const taskCpu = 500;
/** The same for tasks that outlast a lease, so that most of the room is left to short ones. */
const lastingTaskCpu = 100;

export class Load {
    readonly accepted = new Map<string, AcceptedJob>();
    readonly acceptedRequests: organisations.AcceptedRequest[] = [];
    /** Unix time in ms at which the cancelling of a job was acknowledged whose caller had given up, by job ID. */
    readonly withdrawn = new Map<string, number>();
    submitted = 0;
    #stopped = false;
    /** Answers, while jobs were submitted, that an accepted job doesn't exist. */
    readonly denials: string[] = [];
    readonly #pools = new Map<string, undici.Pool>();
    readonly #callsUnderWay = new Set<Promise<number>>();

    constructor(private readonly options: LoadOptions) {}

    /** Submits jobs until `stop` is called. */
    async run(): Promise<void> {
        while (!this.#stopped) {
            const plan = this.#makeFaulty(this.#planJob());
            const { strainingJobs: random } = this.options;
            void this.#followJob(random === undefined ? plan : strainingJobs.drawStraining(plan, random));
            await timers.setTimeout(this.options.random.nextExponential(1000 / this.options.rate));
        }
    }

    stop(): void {
        this.#stopped = true;
    }

    /** Waits for the calls that were under way when it was stopped. */
    async drain(): Promise<void> {
        await Promise.all(this.#callsUnderWay);
    }

    /** Asks a process for the state of a job, as a caller would. */
    async ask({ plan }: AcceptedJob, node: platformStandIns.EntryProcess): Promise<Answer> {
        return this.#send(plan, node, "GET", this.#findKey(plan));
    }

    close(): void {
        this.#pools.forEach(pool => void pool.destroy());
    }

    #planJob(): JobPlan {
        const { random, queues, deployment, maxLease } = this.options;
        this.submitted += 1;
        const longRunning = random.next() < longRunningShare;
        const isLasting = !longRunning && random.next() < lastingShare;
        const cpu = isLasting ? lastingTaskCpu : taskCpu;
        const steps = Array.from({ length: longRunning || isLasting ? 1 : 1 + random.nextBelow(3) }, (_, i) => ({
            tasks: isLasting ? lastingTasks : 2 + random.nextBelow(7),
            cpu,
            dependsOn: i === 0 ? [] : [i - 1],
            longRunning,
        }));
        const minDuration = isLasting ? maxLease + random.nextBelow(maxExcess) : 100;
        const duration = longRunning ? undefined : Math.round(minDuration + random.nextExponential(500));
        const isCancelled = longRunning || random.next() < cancelledShare;
        const id = this.submitted.toString(16).padStart(16, "0");
        const credentials = this.options.organisations?.draw();
        if (credentials !== undefined) {
            this.options.organisations?.recordDemand(id, credentials, cpu);
        }
        return {
            id,
            credentials,
            queue: random.pick(queues),
            body: platformStandIns.createJobBody({ duration }, ...steps),
            steps,
            longRunning,
            crashesServers: false,
            cancelAfter: isCancelled ? Math.round(random.nextExponential(longRunning ? 12_000 : 800)) : undefined,
            repeatAfter: random.next() < repeatedShare ? 500 + random.nextBelow(6000) : undefined,
            isAsked: random.next() < statusShare,
            firstProcess: random.nextBelow(deployment.processes.length),
        };
    }

    /** Makes some jobs ones that can't be done. */
    #makeFaulty(plan: JobPlan): JobPlan {
        const drawn = this.options.faultyJobs?.next() ?? 1;
        const isFailing = drawn < failingShare;
        if (plan.longRunning || !isFailing && drawn >= failingShare + crashingShare) {
            return plan;
        }
        const script = isFailing ? { duration: 100, fails: true } : { duration: 100, crashingTasks: [0] };
        return { ...plan, crashesServers: !isFailing, body: platformStandIns.createJobBody(script, ...plan.steps) };
    }

    async #followJob(plan: JobPlan): Promise<void> {
        const status = await this.#call(plan, plan.firstProcess, "POST", plan.isWithdrawn === true ? 1 : maxAttempts);
        if (status === 200) {
            this.accepted.set(plan.id, this.#describeAccepted(plan));
        }
        else if (plan.isWithdrawn === true) {
            await this.#withdraw(plan);
            return;
        }
        const events: [number, Method][] = [];
        if (plan.repeatAfter !== undefined && status === 200) {
            events.push([plan.repeatAfter, "POST"]);
        }
        if (plan.cancelAfter !== undefined) {
            events.push([plan.cancelAfter, "DELETE"]);
        }
        if (plan.isAsked) {
            events.push([1500, "GET"]);
        }
        let waited = 0;
        for (const [after, method] of events.sort(([a], [b]) => a - b)) {
            await timers.setTimeout(after - waited);
            waited = after;
            await this.#call(plan, plan.firstProcess + 1, method);
        }
    }

    async #withdraw(plan: JobPlan): Promise<void> {
        const status = await this.#call(plan, plan.firstProcess + 1, "DELETE");
        if (status === 200 || status === 410) {
            this.withdrawn.set(plan.id, Date.now());
        }
    }

    #describeAccepted(plan: JobPlan): AcceptedJob {
        const { id, queue, steps, longRunning, crashesServers, credentials } = plan;
        const organisation = credentials?.organisation;
        return { id, queue, steps, longRunning, crashesServers, organisation, cancellation: "none", plan };
    }

    #findKey({ credentials }: JobPlan): string | undefined {
        return credentials === undefined ? undefined : this.options.organisations?.renew(credentials);
    }

    #call(plan: JobPlan, first: number, method: Method, attempts = maxAttempts): Promise<number> {
        const call = this.#callUntilAnswered(plan, first, method, attempts);
        this.#callsUnderWay.add(call);
        void call.finally(() => this.#callsUnderWay.delete(call));
        return call;
    }

    /** Sends a call to one process after the other until one answers; returns the status, 0 if none did. */
    async #callUntilAnswered(plan: JobPlan, first: number, method: Method, attempts: number): Promise<number> {
        const { processes } = this.options.deployment;
        const job = this.accepted.get(plan.id);
        for (let attempt = 0; attempt < attempts && !this.#stopped; attempt++) {
            const node = processes[(first + attempt) % processes.length]!;
            const key = this.#findKey(plan);
            const sentAt = Date.now();
            if (method === "DELETE" && job?.cancellation === "none") {
                job.cancellation = "sent";
            }
            const { status } = await this.#send(plan, node, method, key);
            if (method === "POST" && status === 200 && key !== undefined) {
                this.acceptedRequests.push({ job: plan.id, key, sentAt });
            }
            if (method === "DELETE" && status === 200 && job !== undefined) {
                job.cancellation = "acknowledged";
            }
            if (method !== "POST" && status === 410 && job !== undefined) {
                this.denials.push(`${plan.id}: ${node.name} answered ${method} with 410, though the job was accepted`);
            }
            if (status !== 0 && status !== 429 && status < 500) {
                return status;
            }
            await timers.setTimeout(retryDelay);
        }
        return 0;
    }

    async #send(
        { queue, id, body }: JobPlan,
        node: platformStandIns.EntryProcess,
        method: Method,
        key: string | undefined,
    ): Promise<Answer> {
        let pool = this.#pools.get(node.name);
        if (pool === undefined) {
            const origin = `http://${testUtils.loopbackHost}:${node.callerPort}`;
            pool = new undici.Pool(origin, { connections: connectionsPerProcess });
            this.#pools.set(node.name, pool);
        }
        try {
            const response = await pool.request({
                method,
                path: `/${queue}/${id}`,
                headers: {
                    "host": "queues.test",
                    "x-deadline-ms": String(callTimeout),
                    ...platformStandIns.createAuthorization(key),
                },
                body: method === "POST" ? JSON.stringify(body) : undefined,
                signal: AbortSignal.timeout(callTimeout),
            });
            const text = await response.body.text();
            const isState = method === "GET" && response.statusCode === 200;
            const state = isState ? (JSON.parse(text) as { readonly State?: string; }).State : undefined;
            return { status: response.statusCode, state };
        }
        catch {
            return { status: 0, state: undefined }; // No answer; the call is repeated elsewhere.
        }
    }
}
