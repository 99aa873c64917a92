/**
 * Answers questions about jobs that peers pass on for their callers, from what this process has read. It never passes
 * them on.
 */
import * as jobState from "@catkinwharf/job-state";
import * as limitedWait from "./limited-wait.js";

export interface QuestionAnswererOptions {
    readonly jobs: jobState.JobTable;
    /** Whether this process has read the newest submissions and all progress since its start. */
    readonly hasRead: () => boolean;
    /** Reads all submissions stored so far; false when the store could not be read. */
    readonly refreshJobs: () => Promise<boolean>;
    /** Reads the progress of all jobs stored so far; false when the store could not be read. */
    readonly refreshProgress: () => Promise<boolean>;
    /** Whether the store counts as unavailable, by the last calls. */
    readonly isStoreUnavailable: () => boolean;
    /** Ages in ms of what this process has read. */
    readonly measureDataAge: () => { readonly submissionsAge: number; readonly progressAge: number; };
}

/**
 * Time in ms that a question may take until its answer arrives, by kind. A healthy peer takes a few ms, but a small
 * process's link may be full of what it reads; and a count ages on its way.
 */
export const questionTimeouts: Readonly<Record<jobState.Question["kind"], number>> = { status: 1200, count: 600 };
/** Time in ms for which a question may wait for reads of the store. */
const maxReadTime = 400;
/**
 * Age in ms up to which a process's view of the jobs is good enough for a queue's pending count, by the platform's
 * protocol.
 */
export const maxCountAge = 2000;
/** Questions that wait for reads at a time at most; the others aren't answered then, and their askers turn to others. */
const maxWaiting = 200;

const untold: jobState.QuestionAnswer = { kind: "untold" };

/** Whether the job is one of the queue that the organisation may know of: its own, or one that belongs to none. */
export function isShown(
    job: jobState.Job,
    { queue, organisation }: Pick<jobState.StatusQuestion, "queue" | "organisation">,
): boolean {
    return jobState.isInScope(job, { id: job.id, queue, organisation });
}

export class QuestionAnswerer {
    #waiting = 0;

    constructor(private readonly options: QuestionAnswererOptions) {}

    answer(question: jobState.Question): Promise<jobState.QuestionAnswer> {
        if (!this.options.hasRead()) {
            return Promise.resolve(untold);
        }
        return question.kind === "count" ? this.#answerCount(question) : this.#answerStatus(question);
    }

    async #answerCount({ queue }: jobState.CountQuestion): Promise<jobState.QuestionAnswer> {
        const { measureDataAge, refreshJobs, refreshProgress } = this.options;
        const { submissionsAge, progressAge } = measureDataAge();
        const isFresh = Math.max(submissionsAge, progressAge) <= maxCountAge - questionTimeouts.count;
        return isFresh || await this.#read(refreshJobs, refreshProgress)
            ? { kind: "count", pending: this.options.jobs.countUnfinished(queue).pending }
            : untold;
    }

    async #answerStatus(question: jobState.StatusQuestion): Promise<jobState.QuestionAnswer> {
        const { jobs } = this.options;
        if (jobs.entries.get(question.id)?.job === undefined && !await this.#read(this.options.refreshJobs)) {
            return untold;
        }
        const job = jobs.entries.get(question.id)?.job;
        const status = jobs.findStatus(question.id);
        return job !== undefined && status !== undefined && isShown(job, question)
            ? { kind: "status", status }
            : { kind: "no-job" };
    }

    /** Reads what was stored before the question came; false if that isn't known to be all. */
    async #read(...reads: readonly (() => Promise<boolean>)[]): Promise<boolean> {
        if (this.#waiting >= maxWaiting || this.options.isStoreUnavailable()) {
            return false;
        }
        this.#waiting += 1;
        try {
            const results = await limitedWait.waitFor(maxReadTime, Promise.all(reads.map(read => read())));
            return results?.every(Boolean) === true;
        }
        finally {
            this.#waiting -= 1;
        }
    }
}
