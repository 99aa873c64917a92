/**
 * Measures what becomes of the jobs of each queue, and logs the figures once a second.
 *
 * Lines on single jobs are limited in number, so in a burst they don't tell at which rate jobs came, began, ended in time
 * and were left waiting. These lines do, also where a queue loses its time: on the way to the coordinator, before its
 * first start, or by runs that have to be repeated.
 */
import type * as eventLog from "@catkinwharf/event-log";
import type * as jobState from "@catkinwharf/job-state";
import * as summary from "./summary.js";

/** Time in ms between two reports. */
const reportInterval = 1000;

/** How a job was settled, judged by its objective where it is completed. */
export const Settlement = {
    onTime: "onTime",
    /** Completed after its objective, but of use to its caller. */
    late: "late",
    /** Completed too late to be of use to its caller. */
    expired: "expired",
    failed: "failed",
    cancelled: "cancelled",
} as const;
export type Settlement = (typeof Settlement)[keyof typeof Settlement];

/** Jobs of a queue at the time of a report. */
export interface QueueState {
    readonly queue: string;
    /** Jobs that no task has been started of. */
    waitingJobs: number;
    /** Those of them whose result would be too late to be of use. */
    expiredJobs: number;
    begunJobs: number;
    /** Tasks that could start if a server had room. */
    readyTasks: number;
}

class QueueSample {
    readonly arrivalDelay = new summary.Sample();
    readonly beginDelay = new summary.Sample();
    readonly storedDelay = new summary.Sample();
    planned = 0;
    repeated = 0;
    readonly ends: Partial<Record<jobState.RunEnd, number>> = {};
    readonly settled: Partial<Record<Settlement, number>> = {};
}

export class QueueMeter {
    #samples = new Map<string, QueueSample>();
    #reportedAt: number;

    /** @param now on the monotonic clock, ms */
    constructor(private readonly log: eventLog.EventLog, now: number) {
        this.#reportedAt = now;
    }

    /** A job became known `delay` ms after it was submitted. */
    recordArrival(queue: string, delay: number): void {
        this.#find(queue).arrivalDelay.add(delay);
    }

    /** A server confirmed the first start of a job, `delay` ms after the job was submitted. */
    recordBegun(queue: string, delay: number): void {
        this.#find(queue).beginDelay.add(delay);
    }

    recordPlannedRun(queue: string, runNumber: number): void {
        const sample = this.#find(queue);
        sample.planned += 1;
        sample.repeated += runNumber > 1 ? 1 : 0;
    }

    recordRunEnd(queue: string, how: jobState.RunEnd): void {
        const { ends } = this.#find(queue);
        ends[how] = (ends[how] ?? 0) + 1;
    }

    recordSettled(queue: string, how: Settlement): void {
        const { settled } = this.#find(queue);
        settled[how] = (settled[how] ?? 0) + 1;
    }

    /** The status of a settled job was stored `delay` ms after it was settled. */
    recordStored(queue: string, delay: number): void {
        this.#find(queue).storedDelay.add(delay);
    }

    /** Logs a line on each queue with jobs when a report is due. */
    report(now: number, listStates: () => readonly QueueState[]): void {
        if (now - this.#reportedAt < reportInterval) {
            return;
        }
        const samples = this.#samples;
        this.#samples = new Map();
        const states = new Map(listStates().map(state => [state.queue, state]));
        for (const queue of new Set([...samples.keys(), ...states.keys()])) {
            const sample = samples.get(queue) ?? new QueueSample();
            this.log.info("queue-load", {
                span: Math.round(now - this.#reportedAt),
                queue,
                ...states.get(queue),
                arrived: sample.arrivalDelay.summarize(),
                begun: sample.beginDelay.summarize(),
                planned: sample.planned,
                repeated: sample.repeated,
                ends: sample.ends,
                settled: sample.settled,
                stored: sample.storedDelay.summarize(),
            });
        }
        this.#reportedAt = now;
    }

    #find(queue: string): QueueSample {
        let sample = this.#samples.get(queue);
        if (sample === undefined) {
            sample = new QueueSample();
            this.#samples.set(queue, sample);
        }
        return sample;
    }
}
