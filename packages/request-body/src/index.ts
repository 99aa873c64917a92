/**
 * Reads the body of an incoming HTTP request, up to a size limit.
 */
import type * as http from "node:http";
import * as blockPool from "./block-pool.js";

export * from "./block-pool.js";

/** Why a body could not be read. */
export const BodyFault = {
    tooLarge: "too-large",
    /** The connection closed before the end of the body. */
    incomplete: "incomplete",
} as const;
export type BodyFault = (typeof BodyFault)[keyof typeof BodyFault];

/** Why whoever watches over a body ended its reading. */
export const WatchFault = {
    /** The body wasn't complete within the time for it. */
    late: "late",
    /** The process has no memory for the body, or no time for its chunks. */
    noMemory: "no-memory",
} as const;
export type WatchFault = (typeof WatchFault)[keyof typeof WatchFault];

/** Reads a body of at most `maxBytes` under a watch. */
export type WatchedReader = (
    message: http.IncomingMessage,
    maxBytes: number,
) => Promise<Buffer | BodyFault | WatchFault>;

/** What watches over a body while it is read. */
export interface BodyWatch<Fault extends string> {
    readonly pool: blockPool.BlockPool;
    /** Called for each chunk with its size. */
    readonly onChunk: (bytes: number) => void;
    /** Receives the function that ends the reading with a fault, before the first byte. */
    readonly onStart: (cancel: (fault: Fault) => void) => void;
    /** Called with the bytes of memory that the body takes whenever they change; 0 at its end. */
    readonly onHold: (bytes: number) => void;
}

/** Bytes of unused blocks that are kept for bodies without a watch. */
const maxFreeBytes = 1_048_576;
const defaultPool = new blockPool.BlockPool(maxFreeBytes);

/**
 * Reads the complete body if it has at most `maxBytes`. The rest of a larger body stays unread: the caller has to
 * discard it (`resume`) or close the connection.
 */
export function readBody<Fault extends string = never>(
    message: http.IncomingMessage,
    maxBytes: number,
    watch?: BodyWatch<Fault>,
): Promise<Buffer | BodyFault | Fault> {
    if (Number(message.headers["content-length"] ?? 0) > maxBytes) {
        return Promise.resolve(BodyFault.tooLarge);
    }
    const pool = watch?.pool ?? defaultPool;
    return new Promise(resolve => {
        const blocks: Buffer[] = [];
        let bytes = 0;
        let finished = false;
        function finish(result: () => Buffer | BodyFault | Fault): void {
            if (finished) {
                return;
            }
            finished = true;
            resolve(result());
            pool.giveBack(blocks.splice(0));
            watch?.onHold(0);
        }
        /** Copies the data, since a chunk of few bytes takes hundreds of bytes of memory. */
        function collect(chunk: Buffer): void {
            if (finished) {
                return;
            }
            if (bytes + chunk.byteLength > maxBytes) {
                message.pause();
                finish(() => BodyFault.tooLarge);
                return;
            }
            const blockCount = blocks.length;
            for (let copied = 0; copied < chunk.byteLength;) {
                const used = bytes % blockPool.blockSize;
                if (used === 0) {
                    blocks.push(pool.take());
                }
                const count = chunk.copy(blocks.at(-1)!, used, copied);
                copied += count;
                bytes += count;
            }
            if (blocks.length > blockCount) {
                watch?.onHold(blocks.length * blockPool.blockSize);
            }
            watch?.onChunk(chunk.byteLength);
        }
        watch?.onStart(fault => finish(() => fault));
        message.on("data", collect);
        message.on("end", () => {
            finish(() => message.complete ? Buffer.concat(blocks, bytes) : BodyFault.incomplete);
        });
        message.on("close", () => finish(() => BodyFault.incomplete));
        message.on("error", () => finish(() => BodyFault.incomplete));
    });
}
