/** Writes `record.txt` of a case: what was sent, answered and run, one line for each event. */
import * as fs from "node:fs";

export class Recorder {
    readonly #startedAt = performance.now();

    constructor(private readonly file: string) {
        fs.writeFileSync(file, "");
    }

    write(event: string, fields: object = {}): void {
        const time = ((performance.now() - this.#startedAt) / 1000).toFixed(3);
        fs.appendFileSync(this.file, `${time} ${event} ${JSON.stringify(fields)}\n`);
    }
}
