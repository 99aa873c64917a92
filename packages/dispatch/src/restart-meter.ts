/**
 * Measures how long the tasks of lost servers wait for their next start.
 *
 * The time begins with the last list of runs that the server sent, as when it was really lost isn't known, and ends with the
 * confirmation of the next start. A coordinator that takes over doesn't measure what was lost before.
 */
import * as jobState from "@catkinwharf/job-state";
import * as session from "./server-session.js";

/** A task whose run was on a server that was lost. */
interface WaitingTask {
    /** On the monotonic clock: when its server last listed its runs. */
    readonly lastSeenAt: number;
    readonly entry: jobState.JobEntry;
    /** Its next run; `undefined` until one is planned. */
    next: session.ActiveRun | undefined;
}

/** Ends of runs by which a server may have been lost. */
const lossEnds: ReadonlySet<jobState.RunEnd> = new Set([jobState.RunEnd.lost, jobState.RunEnd.lapsed]);

export class RestartMeter {
    /** By step key and index of the task. */
    readonly #waiting = new Map<string, WaitingTask>();

    /** @param observe receives each time in ms */
    constructor(private readonly observe: (delay: number) => void) {}

    recordEnd(server: session.ServerSession, run: session.ActiveRun, how: jobState.RunEnd): void {
        const key = formatTaskKey(run);
        const waiting = this.#waiting.get(key);
        if (waiting?.next === run) {
            this.#observeIfConfirmed(key, waiting);
        }
        if (how === jobState.RunEnd.done) {
            this.#waiting.delete(key);
        }
        // A reachable server on the boot of the run wasn't lost: it no longer lists the run.
        const isServerLost = !server.reachable || run.bootId !== server.bootId;
        if (lossEnds.has(how) && isServerLost && !hasOtherRun(run) && !this.#waiting.has(key)) {
            this.#waiting.set(key, { lastSeenAt: server.lastAnswerAt, entry: run.entry, next: undefined });
        }
    }

    recordPlanned(run: session.ActiveRun): void {
        const waiting = this.#waiting.get(formatTaskKey(run));
        if (waiting !== undefined) {
            waiting.next = run;
        }
    }

    /** Observes the starts that were confirmed since the last call, and forgets tasks that needn't start any more. */
    update(): void {
        for (const [key, waiting] of this.#waiting) {
            const { cancelledAt, progress } = waiting.entry;
            if (cancelledAt !== undefined || (progress !== undefined && jobState.isSettled(progress.status))) {
                this.#waiting.delete(key);
            }
            else {
                this.#observeIfConfirmed(key, waiting);
            }
        }
    }

    #observeIfConfirmed(key: string, { lastSeenAt, next }: WaitingTask): void {
        if (next?.phase === session.RunPhase.running && next.expectedInListsFrom !== undefined) {
            this.#waiting.delete(key);
            this.observe(next.expectedInListsFrom - lastSeenAt);
        }
    }
}

function formatTaskKey({ stepKey, position }: session.ActiveRun): string {
    return `${stepKey}.${position.index}`;
}

/** Whether the task has another run, as a copy of it. */
function hasOtherRun({ entry, position, taskIndex }: session.ActiveRun): boolean {
    const history = entry.progress?.occurrences.get(position.occurrence)?.histories.get(taskIndex);
    return history !== undefined && history.runs.length > 0;
}
