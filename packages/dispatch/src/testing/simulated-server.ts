/** A backend server in memory: runs long-running tasks under a lease, and reports ends until they are acknowledged. */
import * as platform from "@catkinwharf/platform";
import * as platformTesting from "@catkinwharf/platform/testing";
import type * as availabilityRule from "./availability-rule.js";
import type * as singleRunRule from "./single-run-rule.js";
import type * as virtualTime from "./virtual-time.js";

/** Longest lease in ms that a server grants. */
export const maxLease = 10_000;

export interface ServerHost {
    readonly time: virtualTime.VirtualTime;
    readonly rule: availabilityRule.AvailabilityRule;
    /** Next number from 0 to 1. */
    readonly random: () => number;
    /** Whether anything has been disturbed so shortly before that a lapsed lease isn't the coordinator's fault. */
    readonly isDisturbed: () => boolean;
    /** Time in ms until a new run fails by itself; `undefined` for one that doesn't. */
    readonly chooseFailure: () => number | undefined;
    /** Time in ms until a run of the task has done its work; `undefined` for a long-running one. */
    readonly findDuration: (task: string) => number | undefined;
    readonly singleRunRule: singleRunRule.SingleRunRule;
    /** A run of the task was started, or has ended for whatever reason. */
    readonly onStarted: (task: string, server: SimulatedServer) => void;
    readonly onEnded: (task: string) => void;
    /** A run of the task has failed by itself. */
    readonly onFailed: (task: string) => void;
    /** A run of the task has done its work. */
    readonly onDone: (task: string) => void;
    /** Reading in ms at which a server's clock begins in its next boot. */
    readonly chooseClockStart: () => number;
}

interface SimulatedRun {
    readonly number: number;
    readonly startedAt: number;
    readonly judged: singleRunRule.ServerRun;
    atWork: boolean;
    stopping: boolean;
}

interface End {
    readonly number: number;
    readonly task: string;
    readonly run: number;
    readonly how: string;
    readonly judged: singleRunRule.ServerRun;
    /** The server's lease has expired since. */
    lapsed: boolean;
}

type Respond = (response: platform.HttpResponse) => void;

/** Range in ms of the time from the start of a task until it is at work, and of that which a stop takes. */
const warmUp = { min: 300, max: 1400 };
const stopTime = { min: 5, max: 400 };

export class SimulatedServer {
    draining = false;
    frozen = false;
    bootedAt: number;
    readonly running = new Map<string, SimulatedRun>();
    #ended = false;
    #down = false;
    /** Number of crashes after which the polls under way stay without an answer. */
    #crashCount = 0;
    /** Time of the simulation at which the clock read 0. */
    #clockStart: number;
    #fencingToken = 0;
    #leaseEnd = 0;
    #ends: End[] = [];
    #lastEnd = 0;
    readonly #highestEnded = new Map<string, number>();
    readonly #startedTasks = new Set<string>();
    #waiting: (() => void)[] = [];
    #delayed: (() => void)[] = [];

    constructor(
        private readonly host: ServerHost,
        readonly registration: Omit<platform.operatorRecords.ServerRegistration, "draining" | "bootedAt">,
    ) {
        this.#clockStart = host.time.now - host.chooseClockStart();
        this.bootedAt = Math.floor(host.time.clock.wall());
    }

    get ended(): boolean {
        return this.#ended;
    }

    /** Whether the server has crashed and not started again yet. */
    get down(): boolean {
        return this.#down;
    }

    /** Whether it has ever started the task, in any boot. */
    hasRun(task: string): boolean {
        return this.#startedTasks.has(task);
    }

    get clock(): number {
        return Math.floor(this.host.time.now - this.#clockStart);
    }

    /** The server has crashed or left, or its machine was ordered away: nothing runs there any more. */
    end(order?: "move" | "maintenance"): void {
        this.#waiting = []; // Nobody is told.
        for (const task of [...this.running.keys()]) {
            this.#endRun(task, "lost", order);
        }
        this.#ended = true;
    }

    /** Crashes without a trace: calls under way and those that come until it starts again get no answer. */
    crash(): void {
        this.#down = true;
        this.#crashCount += 1;
        this.#endAllRuns();
    }

    /** Crashes, unless it has already, and starts again under the same ID. */
    reboot(): void {
        this.#endAllRuns();
        this.#down = false;
        this.bootedAt = Math.floor(this.host.time.clock.wall());
        this.#clockStart = this.host.time.now - this.host.chooseClockStart();
        this.#fencingToken = 0;
        this.#leaseEnd = 0;
        this.#ends = [];
        this.#lastEnd = 0;
        this.#highestEnded.clear();
    }

    #endAllRuns(): void {
        this.#waiting = [];
        for (const task of [...this.running.keys()]) {
            this.#endRun(task, "lost", undefined);
        }
    }

    /** Whatever has arrived meanwhile is handled, after leases that have expired. */
    thaw(): void {
        this.frozen = false;
        this.#checkLease();
        this.#delayed.splice(0).forEach(handle => handle());
    }

    /** @param late the call was carried out much later than it was sent */
    receive(order: platformTesting.ServerOrder, late: boolean, respond: Respond): void {
        if (this.frozen) {
            this.#delayed.push(() => this.receive(order, true, respond));
            return;
        }
        if (this.#ended || this.#down) {
            return;
        }
        if (order.fencingToken < this.#fencingToken) {
            respond(platformTesting.createOrderResponse(this.#identity, platform.serverCalls.Refusal.fenced));
            return;
        }
        this.#fencingToken = order.fencingToken;
        this.#extendLease(order.leaseEnd);
        const handlers: Readonly<Record<typeof order.kind, () => void>> = {
            start: () => this.#start(order, respond),
            stop: () => this.#stop(order, late, respond),
            pace: () => respond(platformTesting.createOrderResponse(this.#identity)),
            renewal: () => this.#list(order, respond),
        };
        handlers[order.kind]();
    }

    get #identity(): platformTesting.ServerIdentity {
        return { clock: this.clock, bootedAt: this.bootedAt };
    }

    #extendLease(until: number): void {
        const leaseEnd = Math.min(until, this.clock + maxLease);
        if (leaseEnd > this.#leaseEnd) {
            this.#leaseEnd = leaseEnd;
            this.host.time.schedule(() => this.#checkLease(), leaseEnd - this.clock + 1);
        }
    }

    #checkLease(): void {
        if (!this.frozen && this.clock > this.#leaseEnd) {
            this.#ends.forEach(end => end.lapsed = true);
            for (const task of [...this.running.keys()]) {
                this.#endRun(task, "lapsed", this.host.isDisturbed() ? undefined : "lapse");
            }
        }
    }

    #start({ task, run, leaseEnd }: platformTesting.ServerOrder, respond: Respond): void {
        const present = this.running.get(task);
        if (present?.number === run) {
            respond(platformTesting.createOrderResponse(this.#identity));
            return;
        }
        if (run <= (this.#highestEnded.get(task) ?? 0)) {
            respond(platformTesting.createOrderResponse(this.#identity, platform.serverCalls.Refusal.outdated));
            return;
        }
        if (this.clock > leaseEnd) {
            respond(platformTesting.createOrderResponse(this.#identity, platform.serverCalls.Refusal.late));
            return;
        }
        const { time } = this.host;
        const judged: singleRunRule.ServerRun = {
            task,
            number: run,
            server: this.registration.id,
            isUnderWay: () => this.running.get(task) === started && this.clock <= this.#leaseEnd,
        };
        const started: SimulatedRun = { number: run, startedAt: time.now, judged, atWork: false, stopping: false };
        if (present !== undefined) {
            this.host.onEnded(task); // The new run takes its place.
        }
        this.running.set(task, started);
        this.#startedTasks.add(task);
        this.host.onStarted(task, this);
        this.host.singleRunRule.recordStart(judged);
        const duration = this.host.findDuration(task);
        if (duration === undefined) {
            time.schedule(() => {
                if (this.running.get(task) === started) {
                    started.atWork = true;
                    this.host.rule.recordAtWork(task);
                }
            }, this.#choose(warmUp));
        }
        else {
            time.schedule(() => {
                if (this.running.get(task) === started) {
                    this.host.onDone(task);
                    this.#endRun(task, "done", undefined);
                }
            }, duration);
        }
        const failure = this.host.chooseFailure();
        if (failure !== undefined) {
            time.schedule(() => {
                if (this.running.get(task) === started) {
                    this.host.onFailed(task);
                    this.#endRun(task, "failed", undefined);
                }
            }, failure);
        }
        if (!this.#down) {
            respond(platformTesting.createOrderResponse(this.#identity));
        }
    }

    #stop({ task, run }: platformTesting.ServerOrder, late: boolean, respond: Respond): void {
        const present = this.running.get(task);
        this.#highestEnded.set(task, Math.max(run, this.#highestEnded.get(task) ?? 0));
        if (present?.number === run && !present.stopping) {
            present.stopping = true;
            this.host.time.schedule(() => {
                if (this.running.get(task) === present) {
                    this.#endRun(task, "stopped", "stop", !late);
                }
            }, this.#choose(stopTime));
        }
        respond(platformTesting.createOrderResponse(this.#identity));
    }

    #list({ acknowledgedEnd, wait }: platformTesting.ServerOrder, respond: Respond): void {
        this.#acknowledge(acknowledgedEnd);
        let responded = false;
        const crashCount = this.#crashCount;
        const answer = () => {
            if (!responded && !this.#ended && !this.frozen && crashCount === this.#crashCount) {
                responded = true;
                const running = [...this.running].map(([task, run]) => ({
                    task,
                    run: run.number,
                    percent: this.#computePercent(task, run),
                }));
                respond(platformTesting.createRenewalResponse(this.#identity, running, this.#ends));
            }
        };
        if (this.#ends.length > 0 || wait === 0) {
            answer();
            return;
        }
        this.#waiting.push(answer);
        this.host.time.schedule(answer, wait);
    }

    #acknowledge(last: number): void {
        const acknowledged = this.#ends.filter(({ number }) => number <= last);
        this.#ends = this.#ends.filter(({ number }) => number > last);
        for (const { judged, how, lapsed } of acknowledged) {
            if (how === "done" && !lapsed) {
                this.host.singleRunRule.recordAcknowledgement(judged);
            }
        }
    }

    /** Of an ordinary task the share of its work that is done, of a long-running one how far it is available. */
    #computePercent(task: string, { startedAt, atWork }: SimulatedRun): number {
        const duration = this.host.findDuration(task);
        return duration === undefined
            ? atWork ? 100 : 40
            : Math.min(99, Math.floor(100 * (this.host.time.now - startedAt) / duration));
    }

    #endRun(task: string, how: string, order: availabilityRule.OrderedEnd["order"] | undefined, inTime = true): void {
        const run = this.running.get(task)!;
        this.running.delete(task);
        this.host.onEnded(task);
        this.#highestEnded.set(task, Math.max(run.number, this.#highestEnded.get(task) ?? 0));
        if (run.atWork) {
            this.host.rule.recordAway(task);
        }
        if (order !== undefined && this.host.findDuration(task) === undefined) {
            const counts = !this.draining && inTime;
            this.host.rule.recordOrderedEnd({ task, order, wasAtWork: run.atWork, counts });
        }
        this.#lastEnd += 1;
        const { number, judged } = run;
        this.#ends.push({ number: this.#lastEnd, task, run: number, how, judged, lapsed: false });
        if (how === "done") {
            this.host.singleRunRule.recordDone(judged);
        }
        this.#waiting.splice(0).forEach(answer => answer());
    }

    #choose({ min, max }: { readonly min: number; readonly max: number; }): number {
        return min + this.host.random() * (max - min);
    }
}
