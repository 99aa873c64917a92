/**
 * All jobs known to a process, built from two topics of the store: submissions holds jobs and cancellations, the ledger
 * their progress (see `records.ts`).
 */
import * as advance from "./advance-cancellations.js";
import * as jobs from "./job.js";
import * as parts from "./progress-parts.js";
import * as progress from "./progress.js";
import * as records from "./records.js";

/** Everything known about one job. Records of the two topics arrive in any order, so any of them may come first. */
export interface JobEntry {
    readonly id: string;
    /** Once `finalStatus` is known, without the payload and all but the demand of the steps. */
    job: jobs.Job | undefined;
    /**
     * Status of a job whose submission was replaced by its short form, as its final status was stored and no run was under
     * way. It holds whatever else is known of the job.
     */
    finalStatus?: jobs.JobStatus;
    /** Unix time in ms of the first cancellation; `undefined` if the job hasn't been cancelled. */
    cancelledAt: number | undefined;
    progress: progress.Progress | undefined;
    /**
     * Status in the newest progress record known to be stored; the coordinator's own progress is ahead of it. Callers
     * are shown only this one, because the next coordinator may not learn of anything else.
     */
    storedStatus: jobs.JobStatus | undefined;
    /** That record shows a settled job without runs, so a successor has nothing left to do for it. */
    endStored?: boolean;
    /** Keys of the records in the ledger that hold parts of the progress. */
    readonly storedParts: Set<string>;
}

export type JobListener = (entry: JobEntry) => void;

/** Jobs of a queue that are neither cancelled nor settled, by how far they are known to have come. */
export interface QueueCounts {
    /** Jobs that wait for their first task to start. */
    readonly pending: number;
    /** Begun jobs without a task that is done. */
    readonly begunWithoutResult: number;
}

export class JobTable {
    readonly entries = new Map<string, JobEntry>();
    readonly advanceCancellations = new advance.AdvanceCancellations();
    /** Called after each job or cancellation record, also when an earlier record of the same job has won. */
    onJobOrCancellation: JobListener = () => undefined;
    /** Number of records of the submissions topic that couldn't be decoded. */
    unreadableCount = 0;
    /** IDs of the jobs whose newest known record is a submission, not its short form. */
    readonly #submitted = new Set<string>();
    /** IDs of the jobs whose records were read from the topic. */
    readonly #readJobs = new Set<string>();
    /** Called once a record of the job has been read, by job ID. */
    readonly #waiting = new Map<string, Set<(job: jobs.Job) => void>>();
    /** Parts of progress, by job ID and key, whose job's record hasn't been read yet: they don't count without it. */
    readonly #pendingParts = new Map<string, Map<string, parts.ProgressPart>>();

    /**
     * Applies a record of the submissions topic. Of several submissions of a job, or cancellations, the first wins; the
     * short form of an ended job wins over all of them.
     *
     * @param isRead whether it was read from the topic; this process may also know that it has just stored the record
     */
    applySubmission(key: string, value: Uint8Array, isRead = true): void {
        const deletedJob = records.decodeJobTombstone(key, value);
        if (deletedJob !== undefined) {
            this.#remove(deletedJob);
            return;
        }
        if (value.length === 0) {
            this.advanceCancellations.delete(key);
            return; // Tombstone of a cancellation: the tombstone of its job deletes the entry.
        }
        const record = records.decodeSubmission(key, value);
        if (record === undefined) {
            this.unreadableCount += 1;
            return;
        }
        if (record.kind === "advance-cancellation") {
            this.#applyAdvanceCancellation(key, record.cancellation);
            return;
        }
        if (record.kind !== "cancellation") {
            const entry = this.#getOrCreate(record.job.id);
            if (record.kind === "ended") {
                entry.job = record.job;
                entry.finalStatus = record.status;
                this.#submitted.delete(entry.id);
            }
            else {
                entry.job ??= record.job;
                this.#submitted.add(entry.id);
            }
            entry.cancelledAt ??= this.advanceCancellations.find(entry.job)?.cancelledAt;
            if (isRead) {
                this.#readJobs.add(entry.id);
                this.#waiting.get(entry.id)?.forEach(resolve => resolve(entry.job!));
                this.#waiting.delete(entry.id);
            }
            this.onJobOrCancellation(entry);
            return;
        }
        const entry = this.#getOrCreate(record.id);
        entry.cancelledAt ??= record.cancelledAt;
        this.onJobOrCancellation(entry);
    }

    #applyAdvanceCancellation(key: string, cancellation: advance.AdvanceCancellation): void {
        this.advanceCancellations.set(key, cancellation);
        const entry = this.entries.get(cancellation.id);
        if (entry?.job !== undefined && advance.isInScope(entry.job, cancellation)) {
            entry.cancelledAt ??= cancellation.cancelledAt;
            this.onJobOrCancellation(entry);
        }
    }

    /** Number of calls of `waitForJob` that wait. */
    get waitingCount(): number {
        return [...this.#waiting.values()].reduce((sum, { size }) => sum + size, 0);
    }

    /**
     * Returns the job, once a record of it has been read from the topic.
     *
     * @param signal ends the wait; the promise then stays pending
     */
    waitForJob(id: string, signal: AbortSignal): Promise<jobs.Job> {
        const known = this.#readJobs.has(id) ? this.entries.get(id)?.job : undefined;
        if (known !== undefined) {
            return Promise.resolve(known);
        }
        return new Promise(resolve => {
            const waiting = this.#waiting.get(id) ?? new Set();
            this.#waiting.set(id, waiting.add(resolve));
            signal.addEventListener("abort", () => {
                waiting.delete(resolve);
                if (waiting.size === 0 && this.#waiting.get(id) === waiting) {
                    this.#waiting.delete(id);
                }
            }, { once: true });
        });
    }

    /**
     * Drops the jobs that were read earlier and have no record among the newest ones of the submissions topic: they were
     * removed, and their tombstones may have expired.
     *
     * @param newestKeys `undefined` if not all of them are known
     */
    dropRemoved(newestKeys: ReadonlySet<string> | undefined): void {
        if (newestKeys === undefined) {
            return; // A record that can't be read may be that of any job.
        }
        this.advanceCancellations.dropRemoved(newestKeys);
        for (const id of this.#readJobs) {
            if (!newestKeys.has(records.formatJobKey(id))) {
                this.#remove(id);
            }
        }
    }

    #remove(id: string): void {
        this.entries.delete(id);
        this.#submitted.delete(id);
        this.#readJobs.delete(id);
        this.#pendingParts.delete(id);
    }

    /** Applies a progress record of the ledger, which replaces the job's earlier progress but for parts of it. */
    applyProgress(id: string, current: progress.Progress): void {
        const entry = this.#getOrCreate(id);
        const layout = current.parts;
        if (layout === undefined) {
            entry.progress = current;
        }
        else {
            if (entry.progress?.parts?.size !== layout.size) {
                const restored = progress.createProgress(current.statusAt);
                this.#pendingParts.get(id)?.forEach(part => parts.applyPart(restored, part));
                entry.progress = restored;
            }
            parts.applyJobRecord(entry.progress, current, layout);
            this.#pendingParts.delete(id);
        }
        entry.storedStatus = current.status;
        entry.endStored = layout === undefined && progress.isOver(current);
    }

    /** Applies a record of a part of a job's progress; `undefined` for a part that is obsolete. */
    applyPart(id: string, key: string, part: parts.ProgressPart | undefined): void {
        if (part === undefined) {
            this.entries.get(id)?.storedParts.delete(key);
            this.#pendingParts.get(id)?.delete(key);
            return;
        }
        const entry = this.#getOrCreate(id);
        entry.storedParts.add(key);
        if (entry.progress?.parts !== undefined) {
            parts.applyPart(entry.progress, part);
            return;
        }
        const pending = this.#pendingParts.get(id) ?? new Map<string, parts.ProgressPart>();
        this.#pendingParts.set(id, pending.set(key, part));
    }

    /** Clears what was read from the ledger, before it is read anew. */
    clearProgress(): void {
        for (const entry of this.entries.values()) {
            entry.progress = undefined;
            entry.storedStatus = undefined;
            entry.endStored = false;
            entry.storedParts.clear();
        }
        this.#pendingParts.clear();
    }

    /** Status that is shown to the job's caller; `undefined` for an unknown job. */
    findStatus(id: string): jobs.JobStatus | undefined {
        const entry = this.entries.get(id);
        if (entry?.job === undefined) {
            return undefined;
        }
        const status = entry.finalStatus ?? entry.storedStatus ?? jobs.JobStatus.queued;
        return entry.cancelledAt !== undefined && !progress.isSettled(status) ? jobs.JobStatus.cancelled : status;
    }

    countUnfinished(queue: string): QueueCounts {
        let pending = 0;
        let begunWithoutResult = 0;
        for (const entry of this.entries.values()) {
            if (
                entry.job?.queue !== queue || entry.cancelledAt !== undefined || isSettled(entry)
            ) {
                continue;
            }
            if (entry.progress?.begun !== true) {
                pending += 1;
            }
            else if (!progress.hasResults(entry.progress)) {
                begunWithoutResult += 1;
            }
        }
        return { pending, begunWithoutResult };
    }

    /** Jobs whose submission or short form is known. */
    listJobs(): jobs.Job[] {
        return [...this.entries.values()].flatMap(({ job }) => job ?? []);
    }

    /** IDs of the settled jobs, and of those of which there is nothing but a cancellation. */
    listSettled(): string[] {
        return [...this.entries.values()].filter(entry => isSettled(entry) || isOrphaned(entry)).map(({ id }) => id);
    }

    /**
     * Jobs whose submission isn't needed any more: their final status is stored, and no run of them may be under way, also by
     * what is stored. Also those whose short form was replaced, by a submission that came again or was carried out late.
     */
    listShortenable(): JobEntry[] {
        return [...this.#submitted].flatMap(id => this.entries.get(id) ?? []).filter(isShortenable);
    }

    #getOrCreate(id: string): JobEntry {
        let entry = this.entries.get(id);
        if (entry === undefined) {
            entry = {
                id,
                job: undefined,
                cancelledAt: undefined,
                progress: undefined,
                storedStatus: undefined,
                storedParts: new Set(),
            };
            this.entries.set(id, entry);
        }
        return entry;
    }
}

function isSettled({ finalStatus, progress: current }: JobEntry): boolean {
    return finalStatus !== undefined || (current !== undefined && progress.isSettled(current.status));
}

/** Whether the job has been removed: a cancellation without an answer may be carried out afterwards. */
function isOrphaned({ job, progress: current, cancelledAt }: JobEntry): boolean {
    return job === undefined && current === undefined && cancelledAt !== undefined;
}

function isShortenable({ finalStatus, progress: current, endStored }: JobEntry): boolean {
    return finalStatus !== undefined || (endStored === true && current !== undefined && progress.isOver(current));
}
