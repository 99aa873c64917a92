/**
 * Count, mean and maximum of measured times, for log lines.
 */

export interface Summary {
    readonly count: number;
    /** Ms. */
    readonly mean: number;
    /** Ms. */
    readonly max: number;
}

/** Values of one kind, in ms, since the last report. */
export class Sample {
    #count = 0;
    #sum = 0;
    #max = 0;

    add(value: number): void {
        this.#count += 1;
        this.#sum += value;
        this.#max = Math.max(this.#max, value);
    }

    summarize(): Summary {
        const mean = this.#count === 0 ? 0 : this.#sum / this.#count;
        return { count: this.#count, mean: Math.round(mean * 10) / 10, max: Math.round(this.#max) };
    }
}
