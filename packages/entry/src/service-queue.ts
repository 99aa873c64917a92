/**
 * The requests of one service that wait for, or run on, backend servers homed here.
 *
 * The placement package's queue orders the requests, inside a p-queue whose concurrency follows the usable slots.
 */
import * as placement from "@catkinwharf/placement";
import * as types from "@catkinwharf/types";
import * as pQueue from "p-queue";
import * as request from "./request.js";

/** Execution of one request. */
export interface Execution {
    readonly result: request.RequestResult;
    /** Resolves when the request no longer holds a slot, which may be after its caller got the result. */
    readonly slotReleased: Promise<void>;
}

/** Runs an admitted request; called when it has a slot. */
export type Execute = (serviceRequest: request.ServiceRequest) => Promise<Execution>;

interface WaitingRequest {
    readonly timer: NodeJS.Timeout;
    settle(result: request.RequestResult): void;
}

export class ServiceQueue {
    readonly #order: placement.DeadlineQueue;
    readonly #queue: pQueue.default<placement.DeadlineQueue, placement.DeadlineQueueOptions>;
    readonly #waiting = new Map<string, WaitingRequest>();
    readonly #execute: Execute;
    readonly #clock: () => number;

    constructor(execute: Execute, clock: () => number) {
        this.#execute = execute;
        this.#clock = clock;
        const order = new placement.DeadlineQueue();
        this.#order = order;
        // p-queue creates its queue from a class; this one returns the queue that the methods below inspect.
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

    /** Number of waiting requests. */
    get queued(): number {
        return this.#order.size;
    }

    /** Number of running requests. */
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

    /** The waiting request that would be dropped first. */
    get worst(): ReturnType<placement.DeadlineQueue["peekLast"]> {
        return this.#order.peekLast();
    }

    /** Number of waiting requests that would run before this one. */
    countAhead(serviceRequest: request.ServiceRequest): number {
        return this.#order.countAhead(serviceRequest.urgency, serviceRequest.deadline);
    }

    /**
     * Waits for a slot and runs the request; a request dropped before that gets the result `not-run`.
     * `startBy` is the clock time in ms by which the run must start to be of use.
     */
    run(serviceRequest: request.ServiceRequest, signal: AbortSignal, startBy: number): Promise<request.RequestResult> {
        return new Promise(resolve => {
            const id = serviceRequest.requestId;
            const drop = (reason: types.Reason): void => this.drop(id, reason);
            const onAbort = (): void => drop(types.Reason.callerGone);
            const settle = (result: request.RequestResult): void => {
                clearTimeout(timer);
                signal.removeEventListener("abort", onAbort);
                this.#waiting.delete(id);
                resolve(result);
            };
            const remainingMs = Math.max(0, startBy - this.#clock());
            const timer = setTimeout(() => drop(types.Reason.expired), remainingMs);
            this.#waiting.set(id, { timer, settle });
            signal.addEventListener("abort", onAbort, { once: true });
            void this.#queue.add(() => this.#runIfWaiting(serviceRequest, settle), {
                id,
                urgency: serviceRequest.urgency,
                deadline: serviceRequest.deadline,
            });
            if (signal.aborted) {
                onAbort();
            }
        });
    }

    async #runIfWaiting(
        serviceRequest: request.ServiceRequest,
        settle: (result: request.RequestResult) => void,
    ): Promise<void> {
        const waiting = this.#waiting.get(serviceRequest.requestId);
        if (waiting === undefined) {
            return;
        }
        clearTimeout(waiting.timer);
        this.#waiting.delete(serviceRequest.requestId);
        const execution = await this.#execute(serviceRequest);
        settle(execution.result);
        await execution.slotReleased;
    }

    /** Drops a waiting request, whose result is then `not-run`. */
    drop(id: string, reason: types.Reason): void {
        const waiting = this.#waiting.get(id);
        if (waiting === undefined) {
            return;
        }
        this.#order.remove(id);
        waiting.settle(request.createNotRun(reason));
    }
}
