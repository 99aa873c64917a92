/**
 * Seeded random numbers; runs print their seed, so that they can be repeated.
 */
import * as pureRand from "pure-rand";

/** Number of distinct values of `next`. */
const numbersOf32Bits = 2 ** 32;

/** A sequence of random numbers that depends only on its seed. */
export class RandomSource {
    readonly #generator: pureRand.RandomGenerator;

    constructor(seed: number) {
        this.#generator = pureRand.xoroshiro128plus(seed);
    }

    /** A number in [0, 1). */
    next(): number {
        return (pureRand.unsafeUniformIntDistribution(0, numbersOf32Bits - 1, this.#generator)) / numbersOf32Bits;
    }

    /** An integer in [0, bound). */
    nextBelow(bound: number): number {
        return Math.floor(this.next() * bound);
    }

    /** An exponentially distributed number with the given mean. */
    nextExponential(mean: number): number {
        return -Math.log(1 - this.next()) * mean;
    }

    /** One of the elements, which must not be empty. */
    pick<Element>(elements: readonly Element[]): Element {
        return elements[this.nextBelow(elements.length)] as Element;
    }
}
