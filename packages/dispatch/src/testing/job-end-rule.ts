/**
 * Judges whether each job that nobody has cancelled has ended as it should: completed, or failed because runs of one of its
 * tasks have failed as often as they may, or because the task crashes the servers that start it.
 */
import * as jobState from "@catkinwharf/job-state";

export class JobEndRule {
    readonly #failures = new Map<string, number>();
    readonly #hopeless = new Set<string>();

    constructor(private readonly maxAttempts: number) {}

    /** A run of the task has failed by itself. */
    recordFailure(task: string): void {
        const failures = (this.#failures.get(task) ?? 0) + 1;
        this.#failures.set(task, failures);
        if (failures >= this.maxAttempts) {
            this.addHopeless(task);
        }
    }

    /** The task can't be done. */
    addHopeless(task: string): void {
        this.#hopeless.add(task.slice(0, task.indexOf(".")));
    }

    /**
     * Lists the jobs that haven't ended as they should.
     *
     * @param statuses stored status by job ID; none for a job of which nothing is stored
     */
    judge(jobs: readonly string[], statuses: ReadonlyMap<string, string>): string[] {
        return jobs.flatMap(id => {
            const status = statuses.get(id) ?? "unknown";
            const due = this.#hopeless.has(id) ? jobState.JobStatus.failed : jobState.JobStatus.completed;
            return status === due ? [] : [`${id} is ${status}, not ${due}`];
        });
    }
}
