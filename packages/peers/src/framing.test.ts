import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as framing from "./framing.js";

const seed = 20261204;
const maxFrameBytes = 4096;

function decodeAll(decoder: framing.FrameDecoder): unknown[] {
    const messages: unknown[] = [];
    for (let next = decoder.next(); next.isOk() && next.value !== undefined; next = decoder.next()) {
        messages.push(next.value.message);
    }
    return messages;
}

function split(bytes: Buffer, sizes: readonly number[]): Buffer[] {
    const chunks: Buffer[] = [];
    let rest = bytes;
    for (let index = 0; rest.length > 0; index++) {
        const size = sizes[index % sizes.length]!;
        chunks.push(rest.subarray(0, size));
        rest = rest.subarray(size);
    }
    return chunks;
}

const suite = uvu.suite("framing");

suite(`decodes the same messages however their bytes are split (seed ${seed})`, () => {
    const message = fastCheck.record({
        kind: fastCheck.string(),
        exchange: fastCheck.nat(),
        body: fastCheck.uint8Array({ maxLength: 200 }).map(bytes => Buffer.from(bytes)),
    });
    const chunkSizes = fastCheck.array(fastCheck.integer({ min: 1, max: 64 }), { minLength: 1 });
    const property = fastCheck.property(fastCheck.array(message), chunkSizes, (messages, sizes) => {
        const frames = messages.map(each => framing.encodeFrame(each, maxFrameBytes)._unsafeUnwrap());
        const decoder = new framing.FrameDecoder(maxFrameBytes);
        const decoded = split(Buffer.concat(frames), sizes).flatMap(chunk => {
            decoder.push(chunk);
            return decodeAll(decoder);
        });
        assert.equal(JSON.stringify(decoded), JSON.stringify(messages));
    });
    fastCheck.assert(property, { seed });
});

suite(`doesn't throw on random bytes (seed ${seed})`, () => {
    const property = fastCheck.property(fastCheck.uint8Array({ maxLength: 300 }), bytes => {
        const framed = framing.encodeFrame("", maxFrameBytes)._unsafeUnwrap();
        framed.writeUInt32BE(bytes.length, 0);
        const decoder = new framing.FrameDecoder(maxFrameBytes);
        decoder.push(Buffer.concat([framed.subarray(0, framing.headerBytes), bytes]));
        decodeAll(decoder);
        const unframed = new framing.FrameDecoder(maxFrameBytes);
        unframed.push(Buffer.from(bytes));
        decodeAll(unframed);
    });
    fastCheck.assert(property, { seed, numRuns: 2000 });
});

suite("rejects an oversized frame by its length prefix, and doesn't encode one", () => {
    const decoder = new framing.FrameDecoder(maxFrameBytes);
    decoder.push(Buffer.from([0xff, 0xff, 0xff, 0xff]));
    assert.is(decoder.next()._unsafeUnwrapErr().fault, framing.FrameFault.oversized);
    const large = framing.encodeFrame(Buffer.alloc(maxFrameBytes), maxFrameBytes);
    assert.is(large._unsafeUnwrapErr().fault, framing.FrameFault.oversized);
});

suite.run();
