/** Refuses jobs that can never be stored or started, however often they are sent. */
import * as jobState from "@catkinwharf/job-state";
import * as platform from "@catkinwharf/platform";
import * as scheduling from "@catkinwharf/scheduling";
import * as store from "@catkinwharf/store";
import type * as jobResponses from "./job-responses.js";

export interface JobLimits {
    readonly storeLimits: platform.settings.StoreLimits;
    /** Number of tasks of the largest gang that a coordinator can start. */
    readonly largestGang: number;
}

/** The job's record would exceed what the store takes, and an append with it would be refused with all others in it. */
const jobTooLarge: jobResponses.JobResponse = { status: 413, body: "", reason: "the job is too large for the store" };

/** The response to a job that exceeds a limit; `undefined` if it doesn't. `record` is its record. */
export function refuseOversized(
    job: jobState.Job,
    record: jobState.KeyedRecord,
    { storeLimits, largestGang }: JobLimits,
): jobResponses.JobResponse | undefined {
    if (!store.isStorable(record, storeLimits)) {
        return jobTooLarge;
    }
    const gang = scheduling.findWidestGang(job);
    if (gang <= largestGang) {
        return undefined;
    }
    const reason = `a gang of ${gang} tasks can't start; the largest one that can has ${largestGang}`;
    return { status: 413, body: platform.callerBodies.encodeError(reason), reason };
}
