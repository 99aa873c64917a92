/** Guards against bodies that are put together wrongly, and against fragments that take many times their size. */
import type * as http from "node:http";
import * as stream from "node:stream";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as requestBody from "./index.js";

const suite = uvu.suite("request body");

function createMessage(parts: Iterable<Buffer>): http.IncomingMessage {
    return Object.assign(stream.Readable.from(parts, { objectMode: false }), {
        headers: {},
        complete: true,
    }) as unknown as http.IncomingMessage;
}

/** Reads the parts, and records the memory that they were reported to take. */
async function read(
    parts: Iterable<Buffer>,
    maxBytes: number,
): Promise<{ readonly body: Buffer | string; readonly held: readonly number[]; }> {
    const held: number[] = [];
    const body = await requestBody.readBody(createMessage(parts), maxBytes, {
        pool: new requestBody.BlockPool(1_000_000),
        onStart: () => undefined,
        onChunk: () => undefined,
        onHold: bytes => held.push(bytes),
    });
    return { body, held };
}

suite("a body is the same whatever parts it arrives in", async () => {
    const whole = Buffer.from(Array.from({ length: 20_000 }, (_, i) => i % 251));
    for (const size of [1, 7, 4095, 4096, 4097, 12_288, 20_000]) {
        const parts = Array.from(
            { length: Math.ceil(whole.length / size) },
            (_, i) => whole.subarray(i * size, (i + 1) * size),
        );
        const { body, held } = await read(parts, whole.length);
        assert.ok(typeof body !== "string" && body.equals(whole), `parts of ${size} bytes`);
        assert.is(Math.max(...held), 5 * requestBody.blockSize);
        assert.is(held.at(-1), 0);
    }
    assert.is((await read([], 10)).body.length, 0);
});

suite("a body over the limit is reported once it exceeds the limit, and frees its memory", async () => {
    const { body, held } = await read([Buffer.alloc(5000), Buffer.alloc(5001)], 10_000);
    assert.is(body, requestBody.BodyFault.tooLarge);
    assert.is(held.at(-1), 0);
});

suite("a body whose reading was ended isn't taken when the rest arrives", async () => {
    const message = createMessage([Buffer.from("12"), Buffer.from("34")]);
    let cancel: (fault: "late") => void = () => undefined;
    const result = requestBody.readBody<"late">(message, 10, {
        pool: new requestBody.BlockPool(0),
        onStart: given => cancel = given,
        onChunk: () => cancel("late"),
        onHold: () => undefined,
    });
    assert.is(await result, "late");
});

suite.run();
