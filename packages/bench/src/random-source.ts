/**
 * Random numbers with a seed that is printed, so that a run can be repeated.
 */
import * as pureRand from "pure-rand";

const numbersOf32Bits = 2 ** 32;

/** A sequence of random numbers that depends only on its seed. */
export class RandomSource {
    readonly #generator: pureRand.RandomGenerator;

    constructor(seed: number) {
        this.#generator = pureRand.xoroshiro128plus(seed);
    }

    /** Number from 0 up to 1. */
    next(): number {
        return (pureRand.unsafeUniformIntDistribution(0, numbersOf32Bits - 1, this.#generator)) / numbersOf32Bits;
    }

    /** Whole number from 0 up to `bound`, without it. */
    nextBelow(bound: number): number {
        return Math.floor(this.next() * bound);
    }

    /** Exponentially distributed number with this mean. */
    nextExponential(mean: number): number {
        return -Math.log(1 - this.next()) * mean;
    }

    /** One of the elements; they must not be empty. */
    pick<Element>(elements: readonly Element[]): Element {
        return elements[this.nextBelow(elements.length)] as Element;
    }
}
