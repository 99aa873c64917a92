/**
 * The fencing tokens of the calls to one backend server.
 *
 * A call without a response may be carried out seconds later, also by a later boot of the server, which has forgotten the token
 * of the boot before. Later calls then carry a higher token. The response to one of them shows all that the earlier calls
 * have done in that boot: from then on it refuses them.
 */

/**
 * Number of tokens that belong to an epoch, and so the distance between the epochs of successive terms. The epoch is the first of
 * its tokens. Once they are used up, the last one stays in use.
 */
export const tokensPerEpoch = 65_536;

/** The epoch after `last`, of whichever version of the program. */
export function computeNextEpoch(last: number): number {
    return (Math.floor(last / tokensPerEpoch) + 1) * tokensPerEpoch;
}

/** The tokens of one term. */
export class TermTokens {
    /** Highest token that a server may have got. */
    highest: number;

    constructor(private readonly epoch: number) {
        this.highest = epoch;
    }

    /** Returns the token after `token`; the same one if the epoch has no further one. */
    next(token: number): number {
        const next = Math.min(token + 1, this.epoch + tokensPerEpoch - 1);
        this.highest = Math.max(this.highest, next);
        return next;
    }
}

export class ServerFence {
    #token: number;
    /** Whether a call that must not be carried out late was sent with the token. */
    #isUsed = false;

    constructor(private readonly tokens: TermTokens) {
        // The server may have got any of the term's tokens, if it was used before and was forgotten meanwhile.
        this.#token = tokens.highest;
    }

    /** Of calls that do no harm whenever they are carried out. */
    get token(): number {
        return this.#token;
    }

    /** Whether a call that must not be carried out late was sent with the token. */
    get isUsed(): boolean {
        return this.#isUsed;
    }

    /** Returns the token of a call that must not be carried out late. */
    use(): number {
        this.#isUsed = true;
        return this.#token;
    }

    /** A call may be carried out late: those from now on get a higher token than all before. */
    raise(): void {
        if (this.#isUsed) {
            this.#token = this.tokens.next(this.#token);
            this.#isUsed = false;
        }
    }

    /** Whether the server refused a call with this token as it has got a later one of this coordinator. */
    isOwn(refused: number): boolean {
        return refused < this.#token;
    }
}
