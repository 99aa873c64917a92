/**
 * Decides whether a process takes one more small chunk. Each chunk of a body takes about as much time as a large one, so
 * that a crowd with chunks of a few bytes would keep the process busy.
 */

/** Chunks of this size in bytes and larger ones aren't counted. */
const smallChunkSize = 512;
/** Small chunks of each body that aren't counted, as a body of ordinary size has a few. */
const freeChunks = 64;
/** Time in ms in which a budget that is used up becomes whole again. */
const refillTime = 10_000;

export class ChunkBudget {
    #left: number;
    #countedAt: number;

    constructor(private readonly limit: number, now: number) {
        this.#left = limit;
        this.#countedAt = now;
    }

    /** Small chunks that may arrive at once. */
    get left(): number {
        return Math.floor(this.#left);
    }

    /**
     * Counts a chunk; returns whether its body may go on.
     *
     * @param smallChunks small chunks of the body so far, with this one
     */
    take(smallChunks: number, now: number): boolean {
        if (smallChunks <= freeChunks) {
            return true;
        }
        this.#left = Math.min(this.limit, this.#left + (now - this.#countedAt) / refillTime * this.limit);
        this.#countedAt = now;
        if (this.#left < 1) {
            return false;
        }
        this.#left -= 1;
        return true;
    }
}

export function isSmall(bytes: number): boolean {
    return bytes < smallChunkSize;
}
