/**
 * Set of indices as ascending ranges. Its size in memory follows the number of gaps between them, not the number of indices:
 * tasks start and end roughly in order, so that a job of a million of them takes hardly more than one of ten.
 */

/** Consecutive indices: the first, and how many. */
export type IndexRange = readonly [first: number, count: number];

/** Index of the first one, and the one after the last. */
type Interval = [first: number, end: number];

export class IndexRanges implements Iterable<number> {
    /** Neither overlapping nor adjacent, in ascending order. */
    readonly #intervals: Interval[] = [];
    #size = 0;

    constructor(ranges: Iterable<IndexRange> = []) {
        for (const [first, count] of ranges) {
            this.addRange(first, count);
        }
    }

    static of(indices: Iterable<number>): IndexRanges {
        const created = new IndexRanges();
        for (const index of indices) {
            created.add(index);
        }
        return created;
    }

    /** Number of indices. */
    get size(): number {
        return this.#size;
    }

    /** The lowest index; `undefined` if there is none. */
    get first(): number | undefined {
        return this.#intervals[0]?.[0];
    }

    /** In ascending order. */
    get ranges(): IndexRange[] {
        return this.#intervals.map(([first, end]) => [first, end - first]);
    }

    /** All indices in ascending order. */
    *[Symbol.iterator](): Generator<number> {
        for (const [first, end] of this.#intervals) {
            for (let index = first; index < end; index++) {
                yield index;
            }
        }
    }

    /** The lowest indices, at most `count`. */
    take(count: number): number[] {
        const taken: number[] = [];
        for (const index of this) {
            if (taken.length >= count) {
                break;
            }
            taken.push(index);
        }
        return taken;
    }

    has(index: number): boolean {
        return this.findEnd(index) !== undefined;
    }

    /** The index after the range that includes this one; `undefined` if none does. */
    findEnd(index: number): number | undefined {
        const interval = this.#intervals[this.#findFrom(index + 1) - 1];
        return interval !== undefined && index < interval[1] ? interval[1] : undefined;
    }

    add(index: number): void {
        this.addRange(index, 1);
    }

    addRange(first: number, count: number): void {
        if (count <= 0) {
            return;
        }
        let from = this.#findFrom(first);
        if (from > 0 && this.#intervals[from - 1]![1] >= first) {
            from -= 1;
        }
        const to = this.#findFrom(first + count + 1);
        const joined = this.#intervals.slice(from, to);
        const start = Math.min(first, joined[0]?.[0] ?? first);
        const end = Math.max(first + count, joined.at(-1)?.[1] ?? 0);
        this.#replace(from, joined, [[start, end]]);
    }

    deleteRange(first: number, count: number): void {
        if (count <= 0) {
            return;
        }
        const end = first + count;
        let from = this.#findFrom(first);
        if (from > 0 && this.#intervals[from - 1]![1] > first) {
            from -= 1;
        }
        const cut = this.#intervals.slice(from, this.#findFrom(end));
        const kept = cut.flatMap(([start, stop]): Interval[] => [[start, Math.min(stop, first)], [
            Math.max(start, end),
            stop,
        ]]);
        this.#replace(from, cut, kept.filter(([start, stop]) => start < stop));
    }

    /** Those of the indices that lie in the range. */
    clip(first: number, count: number): IndexRanges {
        const clipped = new IndexRanges();
        for (const [start, end] of this.#listWithin(first, count)) {
            clipped.#append(start, end);
        }
        return clipped;
    }

    /** The indices of the range that aren't in the set. */
    complement(first: number, count: number): IndexRanges {
        const missing = new IndexRanges();
        let next = first;
        for (const [start, end] of this.#listWithin(first, count)) {
            missing.#append(next, start);
            next = end;
        }
        missing.#append(next, first + count);
        return missing;
    }

    /** Number of the indices that lie in the range. */
    countIn(first: number, count: number): number {
        let sum = 0;
        for (const [start, end] of this.#listWithin(first, count)) {
            sum += end - start;
        }
        return sum;
    }

    /** The parts of the intervals that lie in a range. */
    *#listWithin(first: number, count: number): Generator<Interval> {
        const rangeEnd = first + count;
        for (let i = Math.max(0, this.#findFrom(first) - 1); i < this.#intervals.length; i++) {
            const [start, end] = this.#intervals[i]!;
            if (start >= rangeEnd) {
                return;
            }
            if (end > first) {
                yield [Math.max(start, first), Math.min(end, rangeEnd)];
            }
        }
    }

    /** Adds an interval after all others. */
    #append(first: number, end: number): void {
        if (first < end) {
            this.#intervals.push([first, end]);
            this.#size += end - first;
        }
    }

    #replace(from: number, before: readonly Interval[], after: readonly Interval[]): void {
        this.#intervals.splice(from, before.length, ...after);
        this.#size += sumLengths(after) - sumLengths(before);
    }

    /** Position of the first interval that begins at the index or after it. */
    #findFrom(index: number): number {
        let low = 0;
        let high = this.#intervals.length;
        while (low < high) {
            const middle = (low + high) >> 1;
            if (this.#intervals[middle]![0] < index) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        return low;
    }
}

function sumLengths(intervals: readonly Interval[]): number {
    return intervals.reduce((sum, [first, end]) => sum + end - first, 0);
}
