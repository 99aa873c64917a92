/**
 * Reads the body of an incoming HTTP request, up to a size limit.
 */
import type * as http from "node:http";

/** Why a body could not be read. */
export const BodyFault = {
    tooLarge: "too-large",
    /** The connection closed before the end of the body. */
    incomplete: "incomplete",
} as const;
export type BodyFault = (typeof BodyFault)[keyof typeof BodyFault];

/**
 * Reads the complete body if it has at most `maxBytes`. The rest of a larger body stays unread: the caller has to
 * discard it (`resume`) or close the connection.
 */
export function readBody(message: http.IncomingMessage, maxBytes: number): Promise<Buffer | BodyFault> {
    if (Number(message.headers["content-length"] ?? 0) > maxBytes) {
        return Promise.resolve(BodyFault.tooLarge);
    }
    return new Promise(resolve => {
        const chunks: Buffer[] = [];
        let bytes = 0;
        message.on("data", (chunk: Buffer) => {
            bytes += chunk.byteLength;
            if (bytes > maxBytes) {
                message.pause();
                resolve(BodyFault.tooLarge);
                return;
            }
            chunks.push(chunk);
        });
        message.on("end", () => resolve(message.complete ? Buffer.concat(chunks) : BodyFault.incomplete));
        message.on("close", () => resolve(BodyFault.incomplete));
        message.on("error", () => resolve(BodyFault.incomplete));
    });
}
