/**
 * Detects that this process was paused: much more time passed between two of its regular observations than expected.
 */

export class PauseDetector {
    readonly #minPauseMs: number;
    #observedAt: number;
    #resumedAt: number | undefined;

    /** A gap of at least `minPauseMs` (ms) between two observations counts as a pause; `now` is clock time in ms. */
    constructor(minPauseMs: number, now: number) {
        this.#minPauseMs = minPauseMs;
        this.#observedAt = now;
    }

    /** Clock time in ms at which the process resumed after its latest pause; undefined if there was none. */
    get resumedAt(): number | undefined {
        return this.#resumedAt;
    }

    /** Records that the process ran at `now` (clock time in ms). */
    observe(now: number): void {
        if (now - this.#observedAt >= this.#minPauseMs) {
            this.#resumedAt = now;
        }
        this.#observedAt = now;
    }
}
