/**
 * Forwards the bytes of one direction in order, with a delay.
 */
import type * as net from "node:net";

/** Delay and filter of the chunks and of the end of a connection. */
export interface PipeOptions {
    /** One-way delay in ms, read for each chunk. Node.js timers have a resolution of 1 ms. */
    readonly readDelayMs: () => number;
    /** Whether a chunk or the end is forwarded once its delay has passed; otherwise it is dropped. */
    readonly shouldForward: () => boolean;
}

/** Forwards chunks and the end of `source` to `target` until either closes. */
export function pipeDelayed(source: net.Socket, target: net.Socket, options: PipeOptions): void {
    let lastDueAt = 0;
    const schedule = (action: () => void) => {
        const now = performance.now();
        lastDueAt = Math.max(lastDueAt, now + options.readDelayMs());
        const forward = () => {
            if (options.shouldForward() && !target.destroyed) {
                action();
            }
        };
        if (lastDueAt <= now) {
            forward();
            return;
        }
        setTimeout(forward, lastDueAt - now);
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
