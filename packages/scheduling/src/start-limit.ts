/**
 * Limits how many starts of tasks are under way at once.
 *
 * A coordinator that lacks processor time or bandwidth handles responses late. Without a limit, more starts make it
 * later still, until calls time out, are repeated, and leave no time for leases and heartbeats: it then completes fewer
 * starts the more it sends. The limit follows the time that starts take: it falls while they take long, and rises while
 * they don't and it is reached. Tasks beyond the limit stay ready, so the most important ones go next.
 */

/** Time in ms for which the median start may take; several times what a start takes in a process that isn't busy. */
const targetDuration = 200;
const initialLimit = 64;
/** Keeps enough samples coming to notice that starts take less time again. */
const minLimit = 8;
/** Factor by which the limit falls. */
const decrease = 0.7;
/** Factor by which the limit rises. */
const increase = 1.3;

/** Part of the room that each service may use, however many starts others take. */
const serviceShare = 1 / 16;

/**
 * Number of starts that may be added for one service, after `started` for those before it. A service whose tasks are always
 * ready and go first would otherwise keep those of the others from starting.
 */
export function computeServiceRoom(room: number, started: number): number {
    return Math.max(room - started, Math.ceil(room * serviceShare));
}

export class StartLimit {
    #limit = initialLimit;
    #durations: number[] = [];
    #reached = false;
    #overloaded = false;

    /** Number of starts that may be added to those under way. */
    computeRoom(startsUnderWay: number): number {
        return Math.max(0, Math.floor(this.#limit) - startsUnderWay);
    }

    /** Whether tasks wait for the limit, and starts take long. */
    get holdsBack(): boolean {
        return this.#reached && this.#overloaded;
    }

    /** Records how long a start took, in ms, whether or not it got a response. */
    recordDuration(duration: number): void {
        this.#durations.push(duration);
    }

    /** Records that a task didn't start because of the limit. */
    recordReached(): void {
        this.#reached = true;
    }

    /** Adapts the limit to the starts since the last update. */
    update(): void {
        if (this.#durations.length === 0) {
            return;
        }
        // The median, as the servers of a rack or an availability zone may stop responding at once.
        const median = this.#durations.sort((a, b) => a - b)[Math.floor(this.#durations.length / 2)]!;
        if (median > targetDuration) {
            this.#overloaded = true;
            this.#limit = Math.max(minLimit, this.#limit * decrease);
        }
        else if (this.#reached) {
            this.#limit *= increase;
        }
        if (median <= targetDuration / 2) {
            this.#overloaded = false;
        }
        this.#durations = [];
        this.#reached = false;
    }
}
