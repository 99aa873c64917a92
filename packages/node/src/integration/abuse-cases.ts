/**
 * Runs one kind of abuse against a real entry process, and checks what has to hold whatever the machine's speed.
 */
import * as platformStandIns from "@catkinwharf/platform-stand-ins";
import * as testUtils from "@catkinwharf/test-utils";
import * as fs from "node:fs";
import * as net from "node:net";
import * as timers from "node:timers/promises";
import * as assert from "uvu/assert";

/** Memory in MB of the machine that the settings describe, and the bound of the process's resident memory. */
export const memoryBound = 160;
/** Descriptors that the settings allow, and how many of them belong to files. */
const maxDescriptors = 500;
const fileDescriptors = 200;
/** Connections of a crowd that takes more descriptors than the bound. */
export const crowdSize = 350;
/** Largest body in bytes of a submission, as in the known deployments. */
export const maxBodyBytes = 262_144;
/** Arguments of Node as in deploy/system.toml. */
const nodeArguments = ["--max-old-space-size=200", "--min-semi-space-size=4"];
/** Time in ms for which the crowd keeps its connections after it has sent everything. */
const holdTime = 1500;
/** Longest time in ms for which the crowd sends. */
const sendTimeout = 8000;
/** Time in ms between two measurements of the process. */
const watchInterval = 50;
/** State of a listening socket in /proc/net/tcp. */
const listening = "0A";

export type Port = "callerPort" | "readinessPort" | "metricsPort" | "relayPort";

/** One kind of abuse. */
export interface Abuse {
    readonly port: Port;
    /** Number of connections. */
    readonly connections: number;
    /** Sends on a connection; ends when everything is sent, or never. The socket stays open. */
    readonly send: (socket: net.Socket, index: number) => Promise<void>;
    /** The clients read the responses. */
    readonly reads?: boolean;
    /** Descriptors that the settings allow; `maxDescriptors` unless given. */
    readonly descriptors?: number;
    /** Received bytes that the process hasn't read count as its memory. */
    readonly countsUnread?: boolean;
}

/** Writes the data, and waits until the socket takes more; returns at once if the connection is closed. */
export async function write(socket: net.Socket, data: string | Uint8Array): Promise<void> {
    if (socket.destroyed || !socket.writable) {
        return;
    }
    await new Promise<void>(resolve => {
        function finish(): void {
            socket.off("close", finish);
            resolve();
        }
        socket.once("close", finish);
        socket.write(data, finish);
    });
}

/** Writes the parts one by one until the connection is closed. */
export async function writeParts(socket: net.Socket, part: string | Uint8Array, count: number): Promise<void> {
    for (let i = 0; i < count && !socket.destroyed; i++) {
        await write(socket, part);
    }
}

export function createRequestHead(method: string, path: string, ...fields: readonly string[]): string {
    return [`${method} ${path} HTTP/1.1`, "Host: queues.test", ...fields, "", ""].join("\r\n");
}

export function encodeChunk(data: Uint8Array, extension = ""): Buffer {
    return Buffer.concat([Buffer.from(`${data.byteLength.toString(16)}${extension}\r\n`), data, Buffer.from("\r\n")]);
}

/** Encodes a body in chunks of a size. */
export function encodeBody(body: Buffer, size: number, extension = ""): Buffer[] {
    const chunks = Array.from(
        { length: Math.ceil(body.length / size) },
        (_, i) => encodeChunk(body.subarray(i * size, (i + 1) * size), extension),
    );
    return [...chunks, Buffer.from("0\r\n\r\n")];
}

/** Path of a job of the crowd. */
export function createJobPath(index: number): string {
    return `/quotes/${(0xabc_0000 + index).toString(16).padStart(16, "0")}`;
}

/** Highest figures of a process so far. */
interface Usage {
    descriptors: number;
    /** Resident memory and unread bytes together, in MB. */
    memory: number;
    /** Received bytes that the process hasn't read, in MB. */
    unread: number;
}

function createDeployment(descriptors: number): platformStandIns.StandInDeployment {
    return new platformStandIns.StandInDeployment([{ name: "quotes", service: "dispatch" }], {
        settings: { Limits: { MemoryMb: memoryBound, MaxFds: descriptors } },
        maxBodyBytes,
        nodeArguments,
    });
}

/** Submits a job in the given parts of a chunked body in calm: it has to be accepted and to run. */
export async function runInCalm(encode: (body: Buffer) => Iterable<Uint8Array>): Promise<void> {
    const deployment = createDeployment(maxDescriptors);
    const path = createJobPath(0);
    try {
        await deployment.start(1, { dispatch: 1 });
        await submit(deployment, "/quotes/00000000000000a1", 20);
        const socket = net.connect(deployment.processes[0]!.callerPort, testUtils.loopbackHost);
        socket.setNoDelay(true);
        socket.on("error", () => undefined);
        let received = "";
        socket.on("data", data => received += String(data));
        const closed = new Promise(resolve => socket.once("close", resolve));
        await write(
            socket,
            createRequestHead("POST", path, "Transfer-Encoding: chunked", "Connection: close"),
        );
        const job = JSON.stringify(platformStandIns.createJobBody({ duration: 20 }, { tasks: 1 }));
        for (const part of encode(Buffer.from(job.padEnd(maxBodyBytes)))) {
            await write(socket, part);
        }
        await closed;
        assert.match(received, /^HTTP\/1.1 200 /);
        await waitForCompletion(deployment, path);
    }
    finally {
        await deployment.stop();
    }
}

/** Runs the abuse: the process has to stay within its bounds, serve an ordinary request and run an earlier job. */
export async function runAbuse(abuse: Abuse): Promise<void> {
    const deployment = createDeployment(abuse.descriptors ?? maxDescriptors);
    const sockets: net.Socket[] = [];
    let watch: { readonly highest: Usage; readonly stop: () => void; } | undefined;
    try {
        await deployment.start(1, { dispatch: 2 });
        const node = deployment.processes[0]!;
        const pid = node.child!.pid!;
        await submit(deployment, "/quotes/00000000000000a1", 3000);
        watch = watchProcess(node, pid);
        const sending = Promise.all(Array.from({ length: abuse.connections }, async (_, i) => {
            const socket = net.connect(node[abuse.port], testUtils.loopbackHost);
            sockets.push(socket);
            socket.on("error", () => undefined);
            if (abuse.reads === true) {
                socket.resume();
            }
            await new Promise(resolve => socket.once("connect", resolve).once("close", resolve));
            await abuse.send(socket, i);
        }));
        await Promise.race([sending, timers.setTimeout(sendTimeout)]);
        await timers.setTimeout(holdTime);
        checkBounds(node, pid, watch.highest, abuse);
        // The crowd still holds its connections.
        await submit(deployment, "/quotes/00000000000000a2", 20);
        await waitForCompletion(deployment, "/quotes/00000000000000a1");
        await waitForCompletion(deployment, "/quotes/00000000000000a2");
        checkBounds(node, pid, watch.highest, abuse);
    }
    finally {
        watch?.stop();
        sockets.forEach(socket => socket.destroy());
        await deployment.stop();
    }
}

/** Checks that the process lives, and that neither its memory nor its descriptors have ever been above the bounds. */
function checkBounds(node: platformStandIns.EntryProcess, pid: number, highest: Usage, abuse: Abuse): void {
    const descriptorBound = (abuse.descriptors ?? maxDescriptors) - fileDescriptors;
    const { descriptors, memory, unread } = highest;
    const peak = readMemory(pid, "VmHWM");
    const { exitCode, signalCode } = node.child ?? {};
    process.stdout.write(`${JSON.stringify({ peak, memory, unread, descriptors, exitCode, signalCode })}\n`);
    assert.equal([node.child?.pid, exitCode, signalCode], [pid, null, null], "the process has ended"); // eslint-disable-line no-restricted-syntax -- Node's types
    assert.ok(peak <= memoryBound, `${peak} MB of memory, bound ${memoryBound} MB`);
    assert.ok(
        abuse.countsUnread !== true || memory <= memoryBound,
        `${memory} MB of memory and unread bytes, bound ${memoryBound} MB`,
    );
    assert.ok(descriptors <= descriptorBound, `${descriptors} descriptors, bound ${descriptorBound}`);
}

async function submit(
    deployment: platformStandIns.StandInDeployment,
    path: string,
    duration: number,
): Promise<void> {
    const body = platformStandIns.createJobBody({ duration }, { tasks: 1 });
    await deployment.waitFor(`${path} is accepted`, async () => {
        return (await deployment.sendRequest(deployment.processes[0]!, "POST", path, body))?.status === 200;
    });
}

async function waitForCompletion(deployment: platformStandIns.StandInDeployment, path: string): Promise<void> {
    await deployment.waitFor(`${path} is completed`, async () => {
        return (await deployment.sendRequest(deployment.processes[0]!, "GET", path))?.body.State === "completed";
    });
}

/** Reads a size of the status of the process, in MB; 0 once it has ended. */
function readMemory(pid: number, field: "VmHWM" | "VmRSS"): number {
    try {
        const status = fs.readFileSync(`/proc/${pid}/status`, "utf8");
        return Math.round(Number(new RegExp(`${field}:\\s+(\\d+)`).exec(status)?.[1] ?? 0) / 1024);
    }
    catch {
        return 0;
    }
}

/** Sums the bytes in MB that the connections of the process's ports have received and it hasn't read. */
function readUnread(node: platformStandIns.EntryProcess): number {
    const ports = [node.callerPort, node.readinessPort, node.metricsPort, node.relayPort];
    const bytes = fs.readFileSync("/proc/net/tcp", "utf8").split("\n").slice(1)
        .map(line => line.trim().split(/\s+/))
        .filter(([, local, , state]) => state !== listening && ports.includes(parseInt(local?.split(":")[1] ?? "", 16)))
        .reduce((sum, [, , , , queues]) => sum + parseInt(queues!.split(":")[1]!, 16), 0);
    return Math.round(bytes / 1_048_576);
}

/** Measures what a process takes again and again. */
function watchProcess(
    node: platformStandIns.EntryProcess,
    pid: number,
): { readonly highest: Usage; readonly stop: () => void; } {
    const highest: Usage = { descriptors: 0, memory: 0, unread: 0 };
    const timer = setInterval(() => {
        try {
            highest.descriptors = Math.max(highest.descriptors, fs.readdirSync(`/proc/${pid}/fd`).length);
            const unread = readUnread(node);
            highest.unread = Math.max(highest.unread, unread);
            highest.memory = Math.max(highest.memory, readMemory(pid, "VmRSS") + unread);
        }
        catch {
            // The process has ended, which is checked elsewhere.
        }
    }, watchInterval);
    return { highest, stop: () => clearInterval(timer) };
}
