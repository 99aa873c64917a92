/**
 * Remembers that keys were used after their claims have expired, so that an old key is refused and not run again.
 *
 * Each key costs one number. A different key has the same number with a probability of 2^-53 for each kept key; it is
 * then refused, not run.
 */
import * as crypto from "node:crypto";

/** Keys that are kept; the oldest go first. */
const maxKeys = 250_000;

export class ForgottenKeys {
    readonly #hashes = new Set<number>();

    add(key: string): void {
        this.#hashes.add(hashKey(key));
        if (this.#hashes.size > maxKeys) {
            const [oldest] = this.#hashes;
            this.#hashes.delete(oldest ?? 0);
        }
    }

    has(key: string): boolean {
        return this.#hashes.has(hashKey(key));
    }
}

/** The first 53 bits of SHA-256, which a number holds exactly. */
function hashKey(key: string): number {
    const digest = crypto.createHash("sha256").update(key).digest();
    return digest.readUIntBE(0, 6) * 32 + ((digest[6] ?? 0) >> 3);
}
