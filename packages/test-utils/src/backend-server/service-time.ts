/**
 * Exponentially distributed service times from a seeded random number generator.
 */

/** Returns a function that samples service times with mean 1. The same seed gives the same times. */
export function createUnitTimeSampler(seed: number): () => number {
    const random = createRandom(seed);
    return () => -Math.log(1 - random());
}

/** Mulberry32 by Tommy Ettinger (public domain): uniform numbers in [0, 1). */
function createRandom(seed: number): () => number {
    let state = seed >>> 0;
    return () => {
        state = (state + 0x6d2b79f5) >>> 0;
        let mixed = Math.imul(state ^ (state >>> 15), state | 1);
        mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
        return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
    };
}
