/**
 * Encodes and decodes frames: a big-endian length of four bytes, followed by that many bytes of CBOR (RFC 8949).
 */
import * as errors from "@catkinwharf/errors";
import * as cborX from "cbor-x";
import * as neverthrow from "neverthrow";

/** Size of the length prefix, in bytes. */
export const headerBytes = 4;
/** Maximum declared size of an array or map, so that a short message can't make the decoder reserve much memory. */
const maxCollectionSize = 1_000_000;

const codec = new cborX.Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });
cborX.setSizeLimits({
    maxArraySize: maxCollectionSize,
    maxMapSize: maxCollectionSize,
    maxObjectSize: maxCollectionSize,
});

/** Why bytes can't be decoded as frames; the connection can't be used afterwards. */
export const FrameFault = {
    /** The length exceeds the limit. */
    oversized: "oversized-frame",
    /** The content isn't valid CBOR. */
    undecodable: "undecodable-frame",
} as const;
export type FrameFault = (typeof FrameFault)[keyof typeof FrameFault];

export interface FrameError {
    readonly fault: FrameFault;
    readonly reason: string;
}

/** Encodes a message as a frame with its length prefix; fails if the content exceeds the limit. */
export function encodeFrame(message: unknown, maxFrameBytes: number): neverthrow.Result<Buffer, FrameError> {
    const content = codec.encode(message);
    if (content.length > maxFrameBytes) {
        return neverthrow.err({ fault: FrameFault.oversized, reason: `${content.length} bytes` });
    }
    const frame = Buffer.allocUnsafe(headerBytes + content.length);
    frame.writeUInt32BE(content.length, 0);
    content.copy(frame, headerBytes);
    return neverthrow.ok(frame);
}

/** Decodes a stream of bytes into messages. Must not be used after an error. */
export class FrameDecoder {
    private chunks: Buffer[] = [];
    private buffered = 0;

    constructor(private maxFrameBytes: number) {}

    /** Changes the limit for the frames that follow. */
    setMaxFrameBytes(maxFrameBytes: number): void {
        this.maxFrameBytes = maxFrameBytes;
    }

    /** Appends received bytes. */
    push(chunk: Buffer): void {
        this.chunks.push(chunk);
        this.buffered += chunk.length;
    }

    /** Returns the next complete message, wrapped since it may be any value; undefined if more bytes are needed. */
    next(): neverthrow.Result<{ readonly message: unknown; } | undefined, FrameError> {
        if (this.buffered < headerBytes) {
            return neverthrow.ok(undefined);
        }
        const length = this.peekLength();
        if (length > this.maxFrameBytes) {
            return neverthrow.err({ fault: FrameFault.oversized, reason: `${length} bytes` });
        }
        if (this.buffered < headerBytes + length) {
            return neverthrow.ok(undefined);
        }
        const bytes = this.consume(headerBytes + length);
        return decodeContent(bytes.subarray(headerBytes));
    }

    private peekLength(): number {
        if (this.chunks[0]!.length < headerBytes) {
            this.chunks = [Buffer.concat(this.chunks)];
        }
        return this.chunks[0]!.readUInt32BE(0);
    }

    private consume(length: number): Buffer {
        const whole = this.chunks.length === 1 ? this.chunks[0]! : Buffer.concat(this.chunks);
        const rest = whole.subarray(length);
        this.chunks = rest.length === 0 ? [] : [rest];
        this.buffered = rest.length;
        return whole.subarray(0, length);
    }
}

function decodeContent(content: Buffer): neverthrow.Result<{ readonly message: unknown; }, FrameError> {
    try {
        return neverthrow.ok({ message: codec.decode(content) as unknown });
    }
    catch (thrown) {
        return neverthrow.err({ fault: FrameFault.undecodable, reason: errors.getErrorMessage(thrown) });
    }
}
