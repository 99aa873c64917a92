/**
 * Finds the cancellations of unknown jobs that are no longer needed: no submission that arrived before them can be stored any
 * more, or the job's end is stored.
 */
import * as jobState from "@catkinwharf/job-state";

/** A cancellation as it was last seen. */
interface SeenCancellation {
    readonly cancelledAt: number;
    /** On the monotonic clock: when this coordinator first saw it so. */
    readonly seenAt: number;
}

export class AdvanceCancellationSweep {
    /** By the key of the record. */
    #seen: ReadonlyMap<string, SeenCancellation> = new Map();

    /** Keys of the records that may be removed; `now` is on the monotonic clock. */
    listDue(jobs: Pick<jobState.JobTable, "advanceCancellations" | "entries">, now: number): string[] {
        const seen = new Map<string, SeenCancellation>();
        const due: string[] = [];
        for (const [key, cancellation] of jobs.advanceCancellations.entries) {
            const { cancelledAt } = cancellation;
            const before = this.#seen.get(key);
            // One that was stored again is counted from then on.
            const seenAt = before?.cancelledAt === cancelledAt ? before.seenAt : now;
            seen.set(key, { cancelledAt, seenAt });
            if (
                now - seenAt >= jobState.advanceCancellationTime
                && !isNeeded(jobs.entries.get(cancellation.id), cancellation)
            ) {
                due.push(key);
            }
        }
        this.#seen = seen;
        return due;
    }
}

/** Whether the cancellation holds for a job whose end isn't stored: to a successor it would be one that nobody cancelled. */
function isNeeded(entry: jobState.JobEntry | undefined, cancellation: jobState.AdvanceCancellation): boolean {
    return entry?.job !== undefined && jobState.isInScope(entry.job, cancellation)
        && entry.finalStatus === undefined && entry.endStored !== true;
}
