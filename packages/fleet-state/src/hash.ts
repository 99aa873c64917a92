/**
 * Fast non-cryptographic hash that distributes names uniformly and is the same in every process. It does not resist
 * deliberately chosen collisions.
 */

const fnvOffsetBasis = 0x811c9dc5;
const fnvPrime = 0x01000193;

/** FNV-1a over UTF-16 code units, 32 bits. */
export function hashText(text: string): number {
    let hash = fnvOffsetBasis;
    for (let index = 0; index < text.length; index++) {
        hash = Math.imul(hash ^ text.charCodeAt(index), fnvPrime);
    }
    return hash;
}

/** Finalizer of MurmurHash3, 32 bits, unsigned. */
export function mixBits(hash: number): number {
    let mixed = hash ^ (hash >>> 16);
    mixed = Math.imul(mixed, 0x85ebca6b);
    mixed ^= mixed >>> 13;
    mixed = Math.imul(mixed, 0xc2b2ae35);
    return (mixed ^ (mixed >>> 16)) >>> 0;
}
