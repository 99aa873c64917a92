/**
 * Notices that this process was paused: that much more time passed between two of its regular looks than should.
 */

export class PauseDetector {
    readonly #pauseMs: number;
    #lookedAt: number;
    #resumedAt: number | undefined;

    /** `pauseMs` is the length in ms from which a gap between looks counts as a pause. */
    constructor(pauseMs: number, now: number) {
        this.#pauseMs = pauseMs;
        this.#lookedAt = now;
    }

    /** Clock time in ms at which the process went on after its newest pause; undefined for none. */
    get resumedAt(): number | undefined {
        return this.#resumedAt;
    }

    /** Notes a look at `now` (clock ms). */
    look(now: number): void {
        if (now - this.#lookedAt >= this.#pauseMs) {
            this.#resumedAt = now;
        }
        this.#lookedAt = now;
    }
}
