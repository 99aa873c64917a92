/**
 * Blocks of memory in which bodies are collected. They are used again and again, so that a crowd of abandoned bodies
 * doesn't leave memory to the garbage collector faster than it is freed.
 */

/** Size of a block in bytes; most bodies of submissions fit into one. */
export const blockSize = 4096;

export class BlockPool {
    readonly #free: Buffer[] = [];

    /** @param maxFree bytes of unused blocks that are kept */
    constructor(private readonly maxFree: number) {}

    take(): Buffer {
        return this.#free.pop() ?? Buffer.allocUnsafeSlow(blockSize);
    }

    giveBack(blocks: readonly Buffer[]): void {
        for (const block of blocks) {
            if (this.#free.length * blockSize < this.maxFree) {
                this.#free.push(block);
            }
        }
    }
}
