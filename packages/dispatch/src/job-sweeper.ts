/**
 * Removes settled jobs from memory and from the store once their status no longer has to be reported to callers.
 */
import * as jobState from "@catkinwharf/job-state";
import type * as storeClient from "@catkinwharf/store";
import type * as context from "./context.js";

/** How long a settled job is kept, as a multiple of the time for which its status must be reported. */
const retentionFactor = 1.5;
/** Most records in one append that removes jobs. */
const maxRecordsPerAppend = 400;

export class JobSweeper {
    constructor(
        private readonly shared: context.CoordinatorContext,
        private readonly store: storeClient.StoreClient,
    ) {}

    async sweep(): Promise<void> {
        const { jobs, settings, clock, log, writer } = this.shared;
        const dropped = jobs.dropSettledBefore(clock.wall() - retentionFactor * settings.bounds.status);
        if (dropped.length === 0) {
            return;
        }
        log.info("jobs-forgotten", { jobs: dropped.length });
        for (const id of dropped) {
            writer.add(jobState.encodeProgressTombstone(id));
        }
        const records = dropped.flatMap(id => jobState.encodeJobTombstones(id));
        for (let i = 0; i < records.length; i += maxRecordsPerAppend) {
            const answer = await this.store.append(
                jobState.submissionsTopic,
                records.slice(i, i + maxRecordsPerAppend),
            );
            if (answer.isErr()) {
                log.warn("jobs-not-forgotten", { reason: answer.error.reason });
            }
        }
    }
}
