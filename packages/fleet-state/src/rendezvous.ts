/**
 * Choice of a home by rendezvous hashing (highest random weight): D. Thaler and C. Ravishankar, "Using name-based
 * mappings to increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.
 *
 * A session that opens or closes changes the choice only for the instances that it wins or had.
 */

import * as hash from "./hash.js";

/** Gives the session with the highest weight for an instance. */
export type Choice = (instance: string) => string | undefined;

/** Session with the highest weight for the instance; undefined if there are no sessions. Independent of order. */
export function chooseHome(instance: string, sessions: readonly string[]): string | undefined {
    return prepareChoice(sessions)(instance);
}

/** `chooseHome` for many instances and the same sessions. */
export function prepareChoice(sessions: readonly string[]): Choice {
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
