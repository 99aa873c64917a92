/**
 * Carries the bytes of one direction with a delay, in order.
 */
import type * as net from "node:net";

/** Decides about each chunk, and about the end, when it is due. */
export interface PipeOptions {
    /** One-way delay in ms; read for each chunk. Timers of Node.js have a resolution of 1 ms. */
    readonly readDelayMs: () => number;
    /** Whether what is due may pass; what may not is dropped. */
    readonly mayPass: () => boolean;
}

/** Forwards chunks and the end of `source` to `target` until either closes. */
export function pipeDelayed(source: net.Socket, target: net.Socket, options: PipeOptions): void {
    let lastDueAt = 0;
    const schedule = (action: () => void) => {
        const now = performance.now();
        lastDueAt = Math.max(lastDueAt, now + options.readDelayMs());
        const passOn = () => {
            if (options.mayPass() && !target.destroyed) {
                action();
            }
        };
        if (lastDueAt <= now) {
            passOn();
            return;
        }
        setTimeout(passOn, lastDueAt - now);
    };
    source.on("data", (chunk: Buffer) => schedule(() => writeWithBackpressure(source, target, chunk)));
    source.on("end", () => schedule(() => target.end()));
}

function writeWithBackpressure(source: net.Socket, target: net.Socket, chunk: Buffer): void {
    if (!target.write(chunk)) {
        source.pause();
        target.once("drain", () => source.resume());
    }
}
