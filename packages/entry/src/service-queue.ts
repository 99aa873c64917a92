/**
 * The requests of one service that wait for, or run on, backend servers homed here.
 *
 * The order is kept by the placement package's queue inside a p-queue, whose concurrency follows the usable slots.
 */
import * as placement from "@catkinwharf/placement";
import * as types from "@catkinwharf/types";
import * as pQueue from "p-queue";
import * as request from "./request.js";

/** A request that was run. */
export interface Execution {
    readonly result: request.RequestResult;
    /** Resolves when it holds no slot any more, which may be after its caller was told the result. */
    readonly ended: Promise<void>;
}

/** Runs an admitted request; called when its turn has come. */
export type Execute = (question: request.ServiceRequest) => Promise<Execution>;

interface Waiting {
    readonly timer: NodeJS.Timeout;
    settle(result: request.RequestResult): void;
}

export class ServiceQueue {
    readonly #order: placement.DeadlineQueue;
    readonly #queue: pQueue.default<placement.DeadlineQueue, placement.DeadlineQueueOptions>;
    readonly #waiting = new Map<string, Waiting>();
    readonly #execute: Execute;
    readonly #clock: () => number;

    constructor(execute: Execute, clock: () => number) {
        this.#execute = execute;
        this.#clock = clock;
        const order = new placement.DeadlineQueue();
        this.#order = order;
        class SharedOrder {
            constructor() {
                return order;
            }
        }
        this.#queue = new pQueue.default({
            queueClass: SharedOrder as unknown as new() => placement.DeadlineQueue,
            autoStart: false,
            concurrency: 1,
        });
    }

    /** Requests that wait. */
    get queued(): number {
        return this.#order.size;
    }

    /** Requests that run. */
    get running(): number {
        return this.#queue.pending;
    }

    /** Sets how many requests may run at once; 0 stops the queue. */
    setConcurrency(concurrency: number): void {
        if (concurrency < 1) {
            this.#queue.pause();
            return;
        }
        if (this.#queue.concurrency !== concurrency) {
            this.#queue.concurrency = concurrency;
        }
        if (this.#queue.isPaused) {
            this.#queue.start();
        }
    }

    /** The waiting request that would be given up first. */
    get worst(): ReturnType<placement.DeadlineQueue["peekWorst"]> {
        return this.#order.peekWorst();
    }

    /** How many waiting requests would go before this one. */
    countAhead(question: request.ServiceRequest): number {
        return this.#order.countAhead(question.urgency, question.deadline);
    }

    /**
     * Waits for a place and runs the request; the result tells if it was given up before.
     * `startBy` is the clock time in ms by which the run must start to be of use.
     */
    run(question: request.ServiceRequest, signal: AbortSignal, startBy: number): Promise<request.RequestResult> {
        return new Promise(resolve => {
            const id = question.requestId;
            const giveUp = (reason: types.Reason): void => this.giveUp(id, reason);
            const onAbort = (): void => giveUp(types.Reason.callerGone);
            const settle = (result: request.RequestResult): void => {
                clearTimeout(timer);
                signal.removeEventListener("abort", onAbort);
                this.#waiting.delete(id);
                resolve(result);
            };
            const remainingMs = Math.max(0, startBy - this.#clock());
            const timer = setTimeout(() => giveUp(types.Reason.expired), remainingMs);
            this.#waiting.set(id, { timer, settle });
            signal.addEventListener("abort", onAbort, { once: true });
            void this.#queue.add(() => this.#start(question, settle), {
                id,
                urgency: question.urgency,
                deadline: question.deadline,
            });
            if (signal.aborted) {
                onAbort();
            }
        });
    }

    async #start(
        question: request.ServiceRequest,
        settle: (result: request.RequestResult) => void,
    ): Promise<void> {
        const waiting = this.#waiting.get(question.requestId);
        if (waiting === undefined) {
            return;
        }
        clearTimeout(waiting.timer);
        this.#waiting.delete(question.requestId);
        const execution = await this.#execute(question);
        settle(execution.result);
        await execution.ended;
    }

    /** Removes a waiting request and frees its place. */
    giveUp(id: string, reason: types.Reason): void {
        const waiting = this.#waiting.get(id);
        if (waiting === undefined) {
            return;
        }
        this.#order.remove(id);
        waiting.settle(request.createNotRun(reason));
    }
}
