/**
 * Decides which holder of memory gives it up when all together hold more than a budget.
 */

export interface Holder {
    /** Address of the client. */
    readonly address: string;
    /** Monotonic time in ms since which it holds memory, or since which it has made no progress. */
    since: number;
    /** Bytes, or the count that the budget is for. */
    held: number;
}

export class MemoryBudget<Item extends Holder> {
    readonly #holders = new Set<Item>();
    #held = 0;

    constructor(private readonly limit: number) {}

    get held(): number {
        return this.#held;
    }

    /** Sets what an item holds. */
    set(item: Item, bytes: number): void {
        this.#held += bytes - item.held;
        item.held = bytes;
        if (bytes > 0) {
            this.#holders.add(item);
        }
        else {
            this.#holders.delete(item);
        }
    }

    /**
     * The item that has to give up its memory; `undefined` while all together are within the budget.
     *
     * It is the oldest one of the address that holds most. Whatever the crowd, an item that takes less time than the link
     * needs to transfer the whole budget isn't the oldest one.
     */
    findExcess(): Item | undefined {
        if (this.#held <= this.limit) {
            return undefined;
        }
        const byAddress = new Map<string, { held: number; oldest: Item; }>();
        for (const item of this.#holders) {
            const found = byAddress.get(item.address);
            if (found === undefined) {
                byAddress.set(item.address, { held: item.held, oldest: item });
            }
            else {
                found.held += item.held;
                found.oldest = item.since < found.oldest.since ? item : found.oldest;
            }
        }
        return [...byAddress.values()].reduce((most, found) => found.held > most.held ? found : most).oldest;
    }

    /** The item that holds most, of several the oldest one; `undefined` while all together are within the budget. */
    findLargest(): Item | undefined {
        if (this.#held <= this.limit) {
            return undefined;
        }
        return [...this.#holders].reduce((found, item) =>
            item.held > found.held || (item.held === found.held && item.since < found.since) ? item : found
        );
    }
}
