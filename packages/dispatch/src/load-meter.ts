/**
 * Measures how well the coordinator keeps up with its work, and logs the figures once a second.
 *
 * A backlog of ready tasks has several causes that look alike to callers: servers without free capacity, a process that
 * lacks processor time, a link that delays the calls to the servers, a slow ledger, or passes that take longer as the
 * backlog grows. Each has a figure of its own here.
 */
import type * as eventLog from "@catkinwharf/event-log";
import * as summary from "./summary.js";

/** Time in ms between two reports. */
const reportInterval = 1000;

/** What the coordinator does that takes time; each kind is measured separately. */
export const Activity = {
    /** Delay of a timer behind its due time: the process had no processor time or was busy with other events. */
    timerDelay: "timerDelay",
    /** One placement pass. */
    pass: "pass",
    /** From planning runs until their intents were stored. */
    intent: "intent",
    /** From sending a start until its response. */
    start: "start",
} as const;
export type Activity = (typeof Activity)[keyof typeof Activity];

/** State of the work at the time of a report. */
export interface WorkState {
    readonly activeJobs: number;
    /** Tasks that could start if a server had room. */
    readonly readyTasks: number;
    /** Steps with ready tasks of which the last pass placed none. */
    readonly unplacedSteps: number;
    /** Steps with ready tasks that the last pass didn't try, because of the limit on starts. */
    readonly untriedSteps: number;
    /** Those of which no task may start before others of their organisation have ended. */
    readonly stepsOverQuota: number;
    /** Those of which no task may start before other runs have ended, as the coordinator has no memory for more. */
    readonly stepsOverRunLimit: number;
    /** Tasks that this coordinator has started on servers that other steps had reserved. */
    readonly backfilledTasks: number;
    /** Ms for which a task that becomes ready now waits because of the limit on starts. */
    readonly startDelay: number;
    readonly runs: number;
    readonly reachableServers: number;
}

/** Share of the recent lateness that remains with each timer that is on time. */
const latenessDecay = 0.9;

export class LoadMeter {
    #samples = createSamples();
    #lateness = 0;
    #reportedAt: number;
    #timerDueAt: number | undefined;

    /**
     * @param observe receives every measured time in ms, for histograms
     * @param now on the monotonic clock, ms
     */
    constructor(
        private readonly log: eventLog.EventLog,
        private readonly observe: (activity: Activity, duration: number) => void,
        now: number,
    ) {
        this.#reportedAt = now;
    }

    /** @param duration ms */
    record(activity: Activity, duration: number): void {
        this.#samples[activity].add(duration);
        this.observe(activity, duration);
    }

    /** Records the delay of a periodic timer that fires at `now`, and expects it again after `interval` ms. */
    recordTimer(now: number, interval: number): void {
        if (this.#timerDueAt !== undefined) {
            const delay = Math.max(0, now - this.#timerDueAt);
            this.record(Activity.timerDelay, delay);
            this.#lateness = Math.max(delay, this.#lateness * latenessDecay);
        }
        this.#timerDueAt = now + interval;
    }

    /** Longest delay in ms of the periodic timer, where earlier ones count less. */
    get lateness(): number {
        return this.#lateness;
    }

    /** Logs a report when one is due. */
    report(now: number, describe: () => WorkState): void {
        if (now - this.#reportedAt < reportInterval) {
            return;
        }
        const samples = this.#samples;
        this.#samples = createSamples();
        this.log.info("coordinator-load", {
            span: Math.round(now - this.#reportedAt),
            ...describe(),
            timerDelay: samples.timerDelay.summarize(),
            pass: samples.pass.summarize(),
            intent: samples.intent.summarize(),
            start: samples.start.summarize(),
        });
        this.#reportedAt = now;
    }
}

function createSamples(): Record<Activity, summary.Sample> {
    return {
        timerDelay: new summary.Sample(),
        pass: new summary.Sample(),
        intent: new summary.Sample(),
        start: new summary.Sample(),
    };
}
