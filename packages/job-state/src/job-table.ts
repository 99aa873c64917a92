/**
 * All jobs that a process knows, folded from the submissions and the ledger.
 */
import * as jobs from "./job.js";
import * as progress from "./progress.js";
import * as records from "./records.js";

/** One job with all that is known of it. Records of one job may arrive in any order over the two topics. */
export interface JobEntry {
    readonly id: string;
    job: jobs.Job | undefined;
    /** Unix time in ms, or `undefined` while nobody has cancelled it. */
    cancelledAt: number | undefined;
    progress: progress.Progress | undefined;
}

export type JobListener = (entry: JobEntry) => void;

export class JobTable {
    readonly entries = new Map<string, JobEntry>();
    /** Told of each entry that a submission record changed. */
    onSubmission: JobListener = () => undefined;
    /** Records that couldn't be read. */
    unreadable = 0;

    /** Folds a record of the submissions. The first record of a job wins. */
    applySubmission(key: string, value: Uint8Array): void {
        const forgotten = records.decodeForgottenJob(key, value);
        if (forgotten !== undefined) {
            this.entries.delete(forgotten);
            return;
        }
        if (value.length === 0) {
            return; // The key of a cancellation is dropped with its job.
        }
        const record = records.decodeSubmission(key, value);
        if (record === undefined) {
            this.unreadable += 1;
            return;
        }
        if (record.kind === "job") {
            const entry = this.#find(record.job.id);
            entry.job ??= record.job;
            this.onSubmission(entry);
            return;
        }
        const entry = this.#find(record.id);
        entry.cancelledAt ??= record.cancelledAt;
        this.onSubmission(entry);
    }

    /** Folds a progress record of the ledger; the newest wins. */
    applyProgress(id: string, current: progress.Progress): void {
        this.#find(id).progress = current;
    }

    /** What the caller of a job is shown. */
    findStatus(id: string): jobs.JobStatus | undefined {
        const entry = this.entries.get(id);
        if (entry?.job === undefined) {
            return undefined;
        }
        if (entry.progress !== undefined && progress.isSettled(entry.progress.status)) {
            return entry.progress.status;
        }
        if (entry.cancelledAt !== undefined) {
            return jobs.JobStatus.cancelled;
        }
        return entry.progress?.status ?? jobs.JobStatus.queued;
    }

    /** Jobs of a queue that were accepted and of which no task has started. */
    countPending(queue: string): number {
        let pending = 0;
        for (const entry of this.entries.values()) {
            if (
                entry.job?.queue === queue && entry.cancelledAt === undefined && entry.progress?.begun !== true
                && (entry.progress === undefined || !progress.isSettled(entry.progress.status))
            ) {
                pending += 1;
            }
        }
        return pending;
    }

    /** Drops jobs whose status was settled before `limit`, Unix time in ms; returns their ids. */
    dropSettledBefore(limit: number): string[] {
        const dropped: string[] = [];
        for (const [id, entry] of this.entries) {
            if (
                entry.progress !== undefined && progress.isSettled(entry.progress.status)
                && entry.progress.statusAt < limit
            ) {
                this.entries.delete(id);
                dropped.push(id);
            }
        }
        return dropped;
    }

    #find(id: string): JobEntry {
        let entry = this.entries.get(id);
        if (entry === undefined) {
            entry = { id, job: undefined, cancelledAt: undefined, progress: undefined };
            this.entries.set(id, entry);
        }
        return entry;
    }
}
