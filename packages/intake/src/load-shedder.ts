/**
 * Decides which submissions are refused because they can't be served in time: first those beyond their organisation's
 * committed rate for a service that is short of capacity, and those that their organisation's own quota holds back.
 *
 * The coordinator publishes the waits; what callers need decides: a job beyond the rate has to meet its objective, any
 * other has to end while it is of use to its caller.
 */
import type * as jobState from "@catkinwharf/job-state";
import type * as platform from "@catkinwharf/platform";
import * as scheduling from "@catkinwharf/scheduling";

/** Shortest time in ms over which retries are spread. */
const minRetrySpread = 2000;

export const RefusalReason = {
    coordinatorBusy: "the coordinator can't start the job in time",
    beyondRate: "capacity is short, and the job is beyond its organisation's committed rate",
    quota: "the organisation's quota can't let the job run in time",
} as const;
export type RefusalReason = (typeof RefusalReason)[keyof typeof RefusalReason];

export interface Refusal {
    readonly reason: RefusalReason;
    /** Ms until capacity is expected. */
    readonly wait: number;
}

export interface LoadShedderOptions {
    /** Waits that the coordinator published lately. */
    readonly expectedWaits: () => jobState.ExpectedWaits | undefined;
    readonly committedRates: Pick<scheduling.CommittedRates, "wouldBeBeyond">;
}

export class LoadShedder {
    constructor(private readonly options: LoadShedderOptions) {}

    /** Why a job that is submitted now can't be served in time; `undefined` if it may be. */
    findRefusal(job: jobState.Job, route: platform.operatorRecords.Route): Refusal | undefined {
        const waits = this.options.expectedWaits();
        if (waits === undefined || job.organisation === undefined) {
            return undefined;
        }
        const isBeyond = this.options.committedRates.wouldBeBeyond(job);
        const quotaWait = waits.quota[job.organisation] ?? 0;
        const canWait = isBeyond ? scheduling.canMeetObjective : scheduling.canBeOfUse;
        if (!canWait(job, route, quotaWait)) {
            return { reason: RefusalReason.quota, wait: quotaWait };
        }
        const beyondWait = isBeyond ? waits.beyondRate[route.service] ?? 0 : 0;
        return scheduling.canMeetObjective(job, route, beyondWait)
            ? undefined
            : { reason: RefusalReason.beyondRate, wait: beyondWait };
    }
}

/**
 * Value of Retry-After in seconds for a caller that was refused, spread over the time after which capacity is expected,
 * so that callers don't all come back at once.
 *
 * @param random from 0 to 1
 */
export function computeRetryAfter(wait: number, random: number): number {
    return Math.ceil((wait + random * Math.max(wait, minRetrySpread)) / 1000);
}
