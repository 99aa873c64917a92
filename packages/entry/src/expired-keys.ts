/**
 * Remembers keys whose claims have expired, so that a request with such a key is refused instead of being run again.
 *
 * Only a 53-bit hash of each key is stored. A new key collides with a stored one with a probability of 2^-53 for each
 * stored key; its request is then refused without having run.
 */
import * as crypto from "node:crypto";

/** Number of keys that are stored; the oldest are evicted first. */
const maxKeys = 250_000;

export class ExpiredKeys {
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

/** The first 53 bits of the key's SHA-256 hash, which a number represents exactly. */
function hashKey(key: string): number {
    const digest = crypto.createHash("sha256").update(key).digest();
    return digest.readUIntBE(0, 6) * 32 + ((digest[6] ?? 0) >> 3);
}
