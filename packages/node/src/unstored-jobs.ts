/**
 * Collects the jobs that this process couldn't store and reports them to the coordinator, so that it knows what callers
 * ask for while the store refuses submissions.
 *
 * A report goes straight to the coordinator, as the store is what fails. One that doesn't arrive is dropped: it's only a
 * measure of the present load.
 */
import type * as eventLog from "@catkinwharf/event-log";
import type * as jobState from "@catkinwharf/job-state";

/** Time in ms for which jobs are collected for one report; short compared with the averages of the demand. */
const reportDelay = 200;
/** Most jobs in one report; keeps it far below the size that a relay accepts. */
const maxJobsPerReport = 500;

export interface UnstoredJobsOptions {
    /** Sends jobs to the coordinator; returns its node, or `undefined` when they didn't arrive. */
    readonly report: (jobs: readonly jobState.Job[]) => Promise<string | undefined>;
    readonly log: eventLog.EventLog;
}

export class UnstoredJobs {
    #collected: jobState.Job[] = [];
    #scheduled = false;

    constructor(private readonly options: UnstoredJobsOptions) {}

    add(job: jobState.Job): void {
        if (this.#collected.length < maxJobsPerReport) {
            this.#collected.push(job);
        }
        if (!this.#scheduled) {
            this.#scheduled = true;
            setTimeout(() => void this.#report(), reportDelay);
        }
    }

    async #report(): Promise<void> {
        this.#scheduled = false;
        const jobs = this.#collected;
        this.#collected = [];
        const coordinator = await this.options.report(jobs);
        this.options.log.info("unstored-jobs-reported", { jobs: jobs.length, coordinator });
    }
}
