/**
 * Shortens what is stored of ended jobs, and removes them from memory and from the store once their status no longer has
 * to be reported to callers.
 *
 * Every process that starts reads what is stored of all jobs. The short form takes the place of a job's submission once its
 * final status is in the ledger, and says by itself that the job has ended. The ledger keeps the status all the same: an
 * append of the submission that got no answer may be carried out after the short form.
 *
 * A job's submission is removed before its progress: a submission without progress is a new job to the next coordinator,
 * which would run it again. How long a job has been settled is measured on the monotonic clock, from when this
 * coordinator first saw it so: the time in its progress is by the clock of a process whose time of day may have been
 * wrong, and a request that comes again after the removal is a new job.
 */
import * as jobState from "@catkinwharf/job-state";
import * as platform from "@catkinwharf/platform";
import * as storeClient from "@catkinwharf/store";
import * as advanceCancellationSweep from "./advance-cancellation-sweep.js";
import type * as context from "./context.js";
import * as epochAppender from "./epoch-appender.js";

/** How long a settled job is kept, as a multiple of the time for which its status must be reported. */
const retentionFactor = 1.5;
/** Most records in one append, in addition to the store's limits. */
const maxRecordsPerAppend = 400;
/** Most jobs that one append removes, with two records each. */
const maxJobsPerRemoval = maxRecordsPerAppend / 2;

export class JobSweeper {
    readonly #appender: epochAppender.EpochAppender;
    #sweeping = false;
    /** On the monotonic clock: when each settled job was first seen so, by its ID. */
    #seenSettledAt: ReadonlyMap<string, number> = new Map();
    readonly #advanceCancellations = new advanceCancellationSweep.AdvanceCancellationSweep();

    constructor(private readonly shared: context.CoordinatorContext, store: storeClient.StoreClient) {
        this.#appender = new epochAppender.EpochAppender(
            store,
            jobState.submissionsTopic,
            shared.claim,
            outcome => shared.stepDown(`the store refused to shorten or remove jobs under this epoch: ${outcome}`),
        );
    }

    stop(): void {
        this.#appender.stop();
    }

    /**
     * Removes and shortens the jobs that are due, unless an earlier call still does or there may be a successor: only the
     * ledger refuses the appends of an earlier epoch from the claim on, the submissions topic not before the successor's
     * first one. Removal comes first, before there may be one; what is shortened has ended whoever coordinates.
     */
    async sweep(): Promise<void> {
        if (this.#sweeping || !this.shared.mayExtendLeases()) {
            return;
        }
        this.#sweeping = true;
        await this.#remove();
        await this.#shorten();
        await this.#removeAdvanceCancellations();
        this.#sweeping = false;
    }

    /** Replaces the submissions of ended jobs by their short form. */
    async #shorten(): Promise<void> {
        const { jobs, log } = this.shared;
        const due = jobs.listShortenable();
        const records = due.flatMap(entry => shortenRecords(entry));
        const bytes = records.reduce((sum, record) => sum + platform.storeCalls.measureRecord(record), 0);
        while (records.length > 0) {
            const batch = this.#takeBatch(records);
            if (!await this.#appender.append(batch)) {
                return;
            }
            batch.forEach(({ key, value }) => jobs.applySubmission(key, value, false));
        }
        if (due.length > 0) {
            log.info("jobs-shortened", { jobs: due.length, bytes });
        }
    }

    async #removeAdvanceCancellations(): Promise<void> {
        const { jobs, clock, log, mayExtendLeases } = this.shared;
        const due = this.#advanceCancellations.listDue(jobs, clock.monotonic());
        const records = due.map(key => jobState.encodeTombstone(key));
        while (records.length > 0) {
            const batch = this.#takeBatch(records);
            if (!mayExtendLeases() || !await this.#appender.append(batch)) {
                return;
            }
            batch.forEach(({ key, value }) => jobs.applySubmission(key, value, false));
        }
        if (due.length > 0) {
            log.info("advance-cancellations-removed", { count: due.length, left: jobs.advanceCancellations.size });
        }
    }

    #takeBatch(records: platform.storeCalls.KeyedRecord[]): platform.storeCalls.KeyedRecord[] {
        const batch = new storeClient.RecordBatch(this.shared.settings.storeLimits);
        const count = records.slice(0, maxRecordsPerAppend).findIndex(record => !batch.add(record));
        return records.splice(0, count === -1 ? maxRecordsPerAppend : count);
    }

    async #remove(): Promise<void> {
        const { jobs, settings, clock, log, writer } = this.shared;
        const now = clock.monotonic();
        this.#seenSettledAt = new Map(jobs.listSettled().map(id => [id, this.#seenSettledAt.get(id) ?? now]));
        const due = [...this.#seenSettledAt]
            .filter(([, seenAt]) => now - seenAt >= retentionFactor * settings.bounds.status)
            .map(([id]) => id);
        for (let i = 0; i < due.length; i += maxJobsPerRemoval) {
            const ids = due.slice(i, i + maxJobsPerRemoval);
            if (!await this.#appender.append(ids.flatMap(id => jobState.encodeJobTombstones(id)))) {
                return;
            }
            for (const id of ids) {
                const storedParts = jobs.entries.get(id)?.storedParts ?? [];
                jobs.entries.delete(id);
                jobState.encodeProgressTombstones(id, storedParts).forEach(record => writer.add(record));
            }
            log.info("jobs-forgotten", { jobs: ids.length });
        }
    }
}

/** Records that take the place of those of an ended job; the short form comes first, as it shows a cancelled job, too. */
function shortenRecords(
    { id, job, cancelledAt, finalStatus, progress }: jobState.JobEntry,
): platform.storeCalls.KeyedRecord[] {
    const status = finalStatus ?? progress?.status;
    if (job === undefined || status === undefined) {
        return [];
    }
    const shortened = jobState.encodeEndedJob(job, status);
    return cancelledAt === undefined ? [shortened] : [shortened, jobState.encodeCancellationTombstone(id)];
}
