/**
 * Removes settled jobs from memory and from the store once their status no longer has to be reported to callers.
 *
 * A job's submission is removed before its progress: a submission without progress is a new job to the next coordinator,
 * which would run it again. How long a job has been settled is measured on the monotonic clock, from when this
 * coordinator first saw it so: the time in its progress is by the clock of a process whose time of day may have been
 * wrong, and a request that comes again after the removal is a new job.
 */
import * as jobState from "@catkinwharf/job-state";
import type * as storeClient from "@catkinwharf/store";
import type * as context from "./context.js";
import * as epochAppender from "./epoch-appender.js";

/** How long a settled job is kept, as a multiple of the time for which its status must be reported. */
const retentionFactor = 1.5;
/** Most jobs that one append removes. */
const maxJobsPerAppend = 200;

export class JobSweeper {
    readonly #appender: epochAppender.EpochAppender;
    #sweeping = false;
    /** On the monotonic clock: when each settled job was first seen so, by its ID. */
    #seenSettledAt: ReadonlyMap<string, number> = new Map();

    constructor(private readonly shared: context.CoordinatorContext, store: storeClient.StoreClient) {
        this.#appender = new epochAppender.EpochAppender(
            store,
            jobState.submissionsTopic,
            shared.claim,
            outcome => shared.stepDown(`the store refused to remove jobs under this epoch: ${outcome}`),
        );
    }

    stop(): void {
        this.#appender.stop();
    }

    /**
     * Removes the jobs that are due, unless an earlier call still does or there may be a successor: only the ledger refuses
     * the appends of an earlier epoch from the claim on, the submissions topic not before the successor's first removal.
     */
    async sweep(): Promise<void> {
        if (this.#sweeping || !this.shared.mayExtendLeases()) {
            return;
        }
        this.#sweeping = true;
        const { jobs, settings, clock, log, writer } = this.shared;
        const now = clock.monotonic();
        this.#seenSettledAt = new Map(jobs.listSettled().map(id => [id, this.#seenSettledAt.get(id) ?? now]));
        const due = [...this.#seenSettledAt]
            .filter(([, seenAt]) => now - seenAt >= retentionFactor * settings.bounds.status)
            .map(([id]) => id);
        for (let i = 0; i < due.length; i += maxJobsPerAppend) {
            const ids = due.slice(i, i + maxJobsPerAppend);
            if (!await this.#appender.append(ids.flatMap(id => jobState.encodeJobTombstones(id)))) {
                break;
            }
            for (const id of ids) {
                const storedParts = jobs.entries.get(id)?.storedParts ?? [];
                jobs.entries.delete(id);
                jobState.encodeProgressTombstones(id, storedParts).forEach(record => writer.add(record));
            }
            log.info("jobs-forgotten", { jobs: ids.length });
        }
        this.#sweeping = false;
    }
}
