/**
 * Selects the home of an instance by rendezvous hashing (highest random weight): D. Thaler and C. Ravishankar, "Using
 * name-based mappings to increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.
 *
 * When a session opens or closes, the selection changes only for the instances that it gains or had.
 */

import * as hash from "./hash.js";

/** Returns the session with the highest weight for an instance; undefined if there are no sessions. */
export type HomeSelector = (instance: string) => string | undefined;

/** Session with the highest weight for the instance, whatever the order of `sessions`; undefined if there are none. */
export function chooseHome(instance: string, sessions: readonly string[]): string | undefined {
    return createHomeSelector(sessions)(instance);
}

/** Prepares `chooseHome` for many instances and the same sessions: the sessions are hashed once. */
export function createHomeSelector(sessions: readonly string[]): HomeSelector {
    const candidates = sessions.map(session => ({ session, digest: hash.hashText(session) }));
    return instance => {
        const instanceDigest = hash.mixBits(hash.hashText(instance));
        let best: string | undefined;
        let bestWeight = -1;
        for (const { session, digest } of candidates) {
            const weight = hash.mixBits(digest ^ instanceDigest);
            if (best === undefined || weight > bestWeight || (weight === bestWeight && session > best)) {
                best = session;
                bestWeight = weight;
            }
        }
        return best;
    };
}
