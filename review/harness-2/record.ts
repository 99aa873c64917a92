/**
 * The record of one run of a case: what was sent, answered and run, with the time in ms since the beginning.
 */
import * as fs from "node:fs";

export class Record {
    readonly #startedAt = Date.now();

    /** @param file is written anew */
    constructor(private readonly file: string) {
        fs.writeFileSync(file, "");
    }

    /** Unix time in ms of the beginning. */
    get startedAt(): number {
        return this.#startedAt;
    }

    add(text: string, at = Date.now()): void {
        fs.appendFileSync(this.file, `${String(at - this.#startedAt).padStart(7)} ${text}\n`);
    }
}
