/**
 * Caches the answers of keyed requests for repeats of the same request, limited by total size and age. The oldest
 * entries are evicted first.
 */
import * as request from "./request.js";

interface CacheEntry {
    readonly answer: request.Answered;
    readonly bytes: number;
    readonly cachedAt: number;
}

/** Bytes counted for an answer in addition to its body. */
const answerOverheadBytes = 512;

export class AnswerCache {
    readonly #answers = new Map<string, CacheEntry>();
    readonly #maxBytes: number;
    readonly #rememberMs: number;
    #bytes = 0;

    constructor(maxBytes: number, rememberMs: number) {
        this.#maxBytes = maxBytes;
        this.#rememberMs = rememberMs;
    }

    /** Caches an answer under the id of its request. `now` is clock time in ms. */
    add(requestId: string, answer: request.Answered, now: number): void {
        const bytes = answer.body.byteLength + answerOverheadBytes;
        this.#answers.set(requestId, { answer, bytes, cachedAt: now });
        this.#bytes += bytes;
        this.expire(now);
    }

    get(requestId: string): request.Answered | undefined {
        return this.#answers.get(requestId)?.answer;
    }

    /** Evicts answers while the cache is too large or its oldest entry too old. Insertion order is age order. */
    expire(now: number): void {
        for (const [requestId, entry] of this.#answers) {
            if (this.#bytes <= this.#maxBytes && now - entry.cachedAt < this.#rememberMs) {
                return;
            }
            this.#answers.delete(requestId);
            this.#bytes -= entry.bytes;
        }
    }
}
