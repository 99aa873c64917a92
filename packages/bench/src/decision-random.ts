/**
 * Seeded random numbers of the decision bench.
 */
import * as pureRand from "pure-rand";

/** Number of distinct values of `next`. */
const resolution = 1 << 30;
/** Spreads the seeds and skips the first numbers: neighbouring seeds would start with nearly the same numbers. */
const seedFactor = 0x9e3779b1;
const skippedNumbers = 64;

/** A sequence of random numbers that depends only on its seed. */
export class Random {
    readonly #generator: pureRand.RandomGenerator;

    constructor(seed: number) {
        this.#generator = pureRand.xoroshiro128plus(Math.imul(seed, seedFactor));
        pureRand.unsafeSkipN(this.#generator, skippedNumbers);
    }

    /** A number in [0, 1). */
    next(): number {
        return pureRand.unsafeUniformIntDistribution(0, resolution - 1, this.#generator) / resolution;
    }

    /** A number in [low, high). */
    between(low: number, high: number): number {
        return low + (high - low) * this.next();
    }

    /** One of the elements, which must not be empty. */
    pick<Element>(elements: readonly Element[]): Element {
        return elements[Math.floor(this.next() * elements.length)] as Element;
    }
}
