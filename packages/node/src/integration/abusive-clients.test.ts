/**
 * End-to-end tests with crowds of clients that send bodies which are late, fragmented, unfinished or too large. They
 * guard against a process that runs out of memory or descriptors, or no longer serves others.
 */
import * as timers from "node:timers/promises";
import * as uvu from "uvu";
import * as abuseCases from "./abuse-cases.js";

const suite = uvu.suite("abusive clients: bodies");
const { maxBodyBytes, crowdSize, createJobPath, createRequestHead, write, writeParts, runAbuse } = abuseCases;

/** Size in bytes of a body that no process may read. */
const hugeBodyBytes = 1_073_741_824;
/** Bytes that the crowd sends of such a body on each connection, if the connection stays open. */
const hugeBodyPart = 4_194_304;
const block = Buffer.alloc(65_536, " ");
/** Largest body in bytes that the relay takes. */
const maxRelayedBytes = 2_097_152;

/** A chunk of one byte in the chunked transfer coding. */
const smallChunk = "1\r\n \r\n";
const chunked = "Transfer-Encoding: chunked";

suite("bodies of legal size, sent at once, that stop just short of their end", () =>
    runAbuse({
        port: "callerPort",
        connections: crowdSize,
        send: async (socket, i) => {
            await write(socket, createRequestHead("POST", createJobPath(i), `Content-Length: ${maxBodyBytes}`));
            await write(socket, Buffer.alloc(maxBodyBytes - 1, " "));
        },
    }));

suite("bodies of legal size, sent in fragments, that stop just short of their end", () =>
    runAbuse({
        port: "callerPort",
        connections: crowdSize,
        send: async (socket, i) => {
            socket.setNoDelay(true);
            await write(socket, createRequestHead("POST", createJobPath(i), `Content-Length: ${maxBodyBytes}`));
            await writeParts(socket, block.subarray(0, 512), maxBodyBytes / 512 - 1);
        },
    }));

suite("bodies of legal size in chunks of one byte that stop just short of their end", () =>
    runAbuse({
        port: "callerPort",
        connections: 60,
        send: async (socket, i) => {
            await write(socket, createRequestHead("POST", createJobPath(i), chunked));
            await writeParts(socket, smallChunk.repeat(10_000), 20);
        },
    }));

suite("bodies that arrive byte by byte from a crowd", () =>
    runAbuse({
        port: "callerPort",
        connections: crowdSize,
        send: async (socket, i) => {
            await write(socket, createRequestHead("POST", createJobPath(i), `Content-Length: ${maxBodyBytes}`));
            while (!socket.destroyed) {
                await write(socket, " ");
                await timers.setTimeout(200);
            }
        },
    }));

for (const [name, field] of [["a declared", `Content-Length: ${hugeBodyBytes}`], ["no declared", chunked]] as const) {
    for (const path of ["a job", "no queue"]) {
        suite(`bodies far over the limit with ${name} length, for ${path}`, () =>
            runAbuse({
                port: "callerPort",
                connections: crowdSize,
                send: async (socket, i) => {
                    const target = path === "a job" ? createJobPath(i) : "/nothing/here";
                    await write(socket, createRequestHead("POST", target, field));
                    const part = field === chunked
                        ? Buffer.concat([Buffer.from("10000\r\n"), block, Buffer.from("\r\n")])
                        : block;
                    await writeParts(socket, part, hugeBodyPart / block.byteLength);
                },
            }));
    }
}

for (const [port, path] of [["callerPort", "/nothing/here"], ["readinessPort", "/-/readyz"]] as const) {
    suite(`bodies that stop just short of their end, for ${path}`, () =>
        runAbuse({
            port,
            connections: crowdSize,
            reads: true,
            send: async socket => {
                await write(socket, createRequestHead("POST", path, `Content-Length: ${maxBodyBytes}`));
                await write(socket, Buffer.alloc(maxBodyBytes - 1, " "));
            },
        }));
}

suite("submissions of legal size with very many steps and very many fields", () =>
    runAbuse({
        port: "callerPort",
        connections: crowdSize,
        reads: true,
        send: async (socket, i) => {
            const steps = '{"Count":1},'.repeat(14_000);
            const fields = Array.from({ length: 12_000 }, (_, k) => `"${k.toString(36)}":0,`).join("");
            const body = `{${fields}"Spec":"","Steps":[${steps}{"Count":1}]}`;
            await write(socket, createRequestHead("POST", createJobPath(i), `Content-Length: ${body.length}`));
            await write(socket, body);
        },
    }));

suite("bodies of legal size to the relay that stop just short of their end", () =>
    runAbuse({
        port: "relayPort",
        connections: 100,
        send: async socket => {
            await write(socket, createRequestHead("POST", "/unstored-jobs", `Content-Length: ${maxRelayedBytes}`));
            await write(socket, Buffer.alloc(maxRelayedBytes - 1, " "));
        },
    }));

suite.run();
