/**
 * Keeps answers of keyed requests for repeated questions, up to a bound in bytes and age; the oldest go first.
 */
import * as request from "./request.js";

interface KeptAnswer {
    readonly answer: request.Answered;
    readonly bytes: number;
    readonly keptAt: number;
}

/** Bytes charged for an answer besides its body. */
const answerOverheadBytes = 512;

export class AnswerMemory {
    readonly #answers = new Map<string, KeptAnswer>();
    readonly #maxBytes: number;
    readonly #rememberMs: number;
    #bytes = 0;

    constructor(maxBytes: number, rememberMs: number) {
        this.#maxBytes = maxBytes;
        this.#rememberMs = rememberMs;
    }

    /** Keeps an answer under the id of its request. */
    keep(requestId: string, answer: request.Answered, now: number): void {
        const bytes = answer.body.byteLength + answerOverheadBytes;
        this.#answers.set(requestId, { answer, bytes, keptAt: now });
        this.#bytes += bytes;
        this.expire(now);
    }

    get(requestId: string): request.Answered | undefined {
        return this.#answers.get(requestId)?.answer;
    }

    /** Drops answers that are too old or too many; insertion order is age order. */
    expire(now: number): void {
        for (const [requestId, kept] of this.#answers) {
            if (this.#bytes <= this.#maxBytes && now - kept.keptAt < this.#rememberMs) {
                return;
            }
            this.#answers.delete(requestId);
            this.#bytes -= kept.bytes;
        }
    }
}
