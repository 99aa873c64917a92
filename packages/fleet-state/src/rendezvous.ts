/**
 * Choice of a home by rendezvous hashing (highest random weight): D. Thaler and C. Ravishankar, "Using name-based
 * mappings to increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.
 *
 * A session that opens or closes changes the choice only for the instances that it wins or had.
 */

const fnvOffsetBasis = 0x811c9dc5;
const fnvPrime = 0x01000193;

/** Session with the highest weight for the instance; undefined if there are no sessions. Independent of order. */
export function chooseHome(instance: string, sessions: readonly string[]): string | undefined {
    const digest = mixBits(hashText(instance));
    let best: string | undefined;
    let bestWeight = -1;
    for (const session of sessions) {
        const weight = mixBits(hashText(session) ^ digest);
        if (best === undefined || weight > bestWeight || (weight === bestWeight && session > best)) {
            best = session;
            bestWeight = weight;
        }
    }
    return best;
}

/** FNV-1a over UTF-16 code units, 32 bits. */
function hashText(text: string): number {
    let hash = fnvOffsetBasis;
    for (let index = 0; index < text.length; index++) {
        hash = Math.imul(hash ^ text.charCodeAt(index), fnvPrime);
    }
    return hash;
}

/** Finalizer of MurmurHash3, 32 bits, unsigned. */
function mixBits(hash: number): number {
    let mixed = hash ^ (hash >>> 16);
    mixed = Math.imul(mixed, 0x85ebca6b);
    mixed ^= mixed >>> 13;
    mixed = Math.imul(mixed, 0xc2b2ae35);
    return (mixed ^ (mixed >>> 16)) >>> 0;
}
