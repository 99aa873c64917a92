/** Finds jobs of which a task has failed as often as the route of their queue allows. */
import * as jobState from "@catkinwharf/job-state";
import type * as jobRegistry from "./job-registry.js";

/** Whether a task of the job has used up its attempts; false while the route isn't known, or once the job is settled. */
export function hasExhaustedTask({ job, progress, route }: jobRegistry.ActiveJob): boolean {
    if (route === undefined || jobState.isSettled(progress.status)) {
        return false;
    }
    for (const { done, histories } of progress.occurrences.values()) {
        for (const [taskIndex, history] of histories) {
            const isOpen = !done.has(taskIndex) && history.runs.length === 0;
            const { longRunning } = job.steps[jobState.findStep(job, taskIndex)]!;
            if (isOpen && !longRunning && history.failures >= route.maxAttempts) {
                return true;
            }
        }
    }
    return false;
}
