/**
 * All jobs known to a process, built from the records of the submissions topic and the ledger.
 */
import * as jobs from "./job.js";
import * as progress from "./progress.js";
import * as records from "./records.js";

/** Everything known about one job. Its records may arrive in any order across the two topics. */
export interface JobEntry {
    readonly id: string;
    job: jobs.Job | undefined;
    /** Unix time in ms, or `undefined` if it hasn't been cancelled. */
    cancelledAt: number | undefined;
    progress: progress.Progress | undefined;
}

export type JobListener = (entry: JobEntry) => void;

export class JobTable {
    readonly entries = new Map<string, JobEntry>();
    /** Called with the entry of each job or cancellation record that is applied. */
    onSubmission: JobListener = () => undefined;
    /** Number of submission records that couldn't be decoded. */
    unreadableCount = 0;

    /** Applies a record of the submissions topic. The first record of a job wins. */
    applySubmission(key: string, value: Uint8Array): void {
        const deletedJob = records.decodeJobTombstone(key, value);
        if (deletedJob !== undefined) {
            this.entries.delete(deletedJob);
            return;
        }
        if (value.length === 0) {
            return; // Tombstone of a cancellation: the tombstone of its job deletes the entry.
        }
        const record = records.decodeSubmission(key, value);
        if (record === undefined) {
            this.unreadableCount += 1;
            return;
        }
        if (record.kind === "job") {
            const entry = this.#getOrCreate(record.job.id);
            entry.job ??= record.job;
            this.onSubmission(entry);
            return;
        }
        const entry = this.#getOrCreate(record.id);
        entry.cancelledAt ??= record.cancelledAt;
        this.onSubmission(entry);
    }

    /** Applies a progress record of the ledger. The newest record wins. */
    applyProgress(id: string, current: progress.Progress): void {
        this.#getOrCreate(id).progress = current;
    }

    /** Status that is shown to the job's caller; `undefined` for an unknown job. */
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

    /** Number of accepted jobs of a queue of which no task has started. */
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

    /** Drops jobs that were settled before `limit`, Unix time in ms, and returns their ids. */
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

    #getOrCreate(id: string): JobEntry {
        let entry = this.entries.get(id);
        if (entry === undefined) {
            entry = { id, job: undefined, cancelledAt: undefined, progress: undefined };
            this.entries.set(id, entry);
        }
        return entry;
    }
}
