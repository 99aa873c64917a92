/** The processor of a process in virtual time: it does one piece of work after the other, on its share of a core. */
import type * as virtualTime from "./virtual-time.js";

export class Processor {
    #freeAt = 0;

    /** @param share of a core that the process gets */
    constructor(private readonly time: virtualTime.VirtualTime, private readonly share: number) {}

    /** Calls back once all earlier work and this piece, which takes `cost` ms of a core, are done. */
    run(cost: number, callback: () => void): void {
        this.#freeAt = Math.max(this.time.now, this.#freeAt) + cost / this.share;
        this.time.schedule(callback, this.#freeAt - this.time.now);
    }
}
