/**
 * Random numbers of a decision run, from its seed alone.
 */
import * as pureRand from "pure-rand";

const range = 1 << 30;
/** Neighbouring seeds would start with nearly the same numbers. */
const seedFactor = 0x9e3779b1;
const warmUp = 64;

/** Source of random numbers. */
export class Random {
    readonly #generator: pureRand.RandomGenerator;

    constructor(seed: number) {
        this.#generator = pureRand.xoroshiro128plus(Math.imul(seed, seedFactor));
        pureRand.unsafeSkipN(this.#generator, warmUp);
    }

    /** A number in [0, 1). */
    next(): number {
        return pureRand.unsafeUniformIntDistribution(0, range - 1, this.#generator) / range;
    }

    /** A number in [low, high). */
    between(low: number, high: number): number {
        return low + (high - low) * this.next();
    }

    /** One of the elements. */
    pick<Element>(elements: readonly Element[]): Element {
        return elements[Math.floor(this.next() * elements.length)] as Element;
    }
}
