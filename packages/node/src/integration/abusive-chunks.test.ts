/**
 * End-to-end tests with crowds of chunked bodies. They guard against a process whose memory they take, in the heap or in what it
 * has received and not read.
 */
import * as timers from "node:timers/promises";
import * as uvu from "uvu";
import * as abuseCases from "./abuse-cases.js";

const suite = uvu.suite("abusive clients: chunked bodies");
const { maxBodyBytes, createJobPath, createRequestHead, write, writeParts, encodeChunk, encodeBody, runAbuse } =
    abuseCases;

/** Connections of the crowd, and the descriptors that the settings allow. */
const crowd = { connections: 600, descriptors: 1700, countsUnread: true } as const;
const head = (index: number) => createRequestHead("POST", createJobPath(index), "Transfer-Encoding: chunked");
/** Time in ms between two writes of a client that goes on after its refusal. */
const pause = 20;

const lastByteMissing = Buffer.alloc(maxBodyBytes - 1, " ");
const largeChunks = Buffer.concat(encodeBody(lastByteMissing, 65_536).slice(0, -1));
/** 65,536 bytes on the wire. */
const smallChunks = Buffer.concat(encodeBody(lastByteMissing.subarray(0, 10_922), 1).slice(0, -1));
const smallParts = 24;
const extendedChunk = encodeChunk(Buffer.from(" "), `;a=${"x".repeat(15_000)}`);
const largeChunk = encodeChunk(Buffer.alloc(65_536, " "));

suite("bodies in chunks of 64 KB that stop one byte short of their end", () =>
    runAbuse({
        ...crowd,
        port: "callerPort",
        send: async (socket, i) => {
            await write(socket, head(i));
            await write(socket, largeChunks);
        },
    }));

suite("bodies in chunks of one byte that stop just short of their end", () =>
    runAbuse({
        ...crowd,
        port: "callerPort",
        send: async (socket, i) => {
            await write(socket, head(i));
            await writeParts(socket, smallChunks, smallParts);
        },
    }));

suite("bodies in large and in very small chunks, a quarter of which end", () =>
    runAbuse({
        ...crowd,
        port: "callerPort",
        send: async (socket, i) => {
            await write(socket, head(i));
            await (i % 2 === 0 ? write(socket, largeChunks) : writeParts(socket, smallChunks, smallParts));
            await write(socket, i % 4 < 2 ? "" : "0\r\n\r\n");
        },
    }));

suite("bodies in chunks with long extensions", () =>
    runAbuse({
        ...crowd,
        port: "callerPort",
        send: async (socket, i) => {
            await write(socket, head(i));
            await writeParts(socket, extendedChunk, 300);
        },
    }));

suite("bodies whose clients go on sending after the refusal", () =>
    runAbuse({
        ...crowd,
        port: "callerPort",
        reads: true,
        send: async (socket, i) => {
            await write(socket, head(i));
            while (!socket.destroyed) {
                await write(socket, i % 2 === 0 ? largeChunk : smallChunks);
                await timers.setTimeout(pause);
            }
        },
    }));

suite("bodies to the relay in large and in very small chunks", () =>
    runAbuse({
        ...crowd,
        connections: 300,
        port: "relayPort",
        send: async (socket, i) => {
            await write(socket, createRequestHead("POST", "/unstored-jobs", "Transfer-Encoding: chunked"));
            await writeParts(socket, i % 2 === 0 ? largeChunk : smallChunks, smallParts);
        },
    }));

suite.run();
