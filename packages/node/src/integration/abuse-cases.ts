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
/** Bound of the open descriptors of the process. */
const descriptorBound = maxDescriptors - fileDescriptors;
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
/** Time in ms between two counts of the descriptors. */
const countInterval = 50;

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

/** Path of a job of the crowd. */
export function createJobPath(index: number): string {
    return `/quotes/${(0xabc_0000 + index).toString(16).padStart(16, "0")}`;
}

/** Runs the abuse: the process has to stay within its bounds, serve an ordinary request and run an earlier job. */
export async function runAbuse(abuse: Abuse): Promise<void> {
    const deployment = new platformStandIns.StandInDeployment([{ name: "quotes", service: "dispatch" }], {
        settings: { Limits: { MemoryMb: memoryBound, MaxFds: maxDescriptors } },
        maxBodyBytes,
        nodeArguments,
    });
    const sockets: net.Socket[] = [];
    try {
        await deployment.start(1, { dispatch: 2 });
        const node = deployment.processes[0]!;
        const pid = node.child!.pid!;
        await submit(deployment, "/quotes/00000000000000a1", 3000);
        const watch = watchDescriptors(pid);
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
        const descriptors = watch.stop();
        checkBounds(node, pid, descriptors);
        // The crowd still holds its connections.
        await submit(deployment, "/quotes/00000000000000a2", 20);
        await waitForCompletion(deployment, "/quotes/00000000000000a1");
        await waitForCompletion(deployment, "/quotes/00000000000000a2");
        checkBounds(node, pid, descriptors);
    }
    finally {
        sockets.forEach(socket => socket.destroy());
        await deployment.stop();
    }
}

/** Checks that the process lives, and that neither its memory nor its descriptors have ever been above the bounds. */
function checkBounds(node: platformStandIns.EntryProcess, pid: number, descriptors: number): void {
    const peak = readPeakMemory(pid);
    const { exitCode, signalCode } = node.child ?? {};
    process.stdout.write(`${JSON.stringify({ peak, descriptors, exitCode, signalCode })}\n`);
    assert.equal([node.child?.pid, exitCode, signalCode], [pid, null, null], "the process has ended"); // eslint-disable-line no-restricted-syntax -- Node's types
    assert.ok(peak <= memoryBound, `${peak} MB of memory, bound ${memoryBound} MB`);
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

/** Reads the highest resident memory of the process so far, in MB; 0 once it has ended. */
function readPeakMemory(pid: number): number {
    try {
        const status = fs.readFileSync(`/proc/${pid}/status`, "utf8");
        return Math.round(Number(/VmHWM:\s+(\d+)/.exec(status)?.[1] ?? 0) / 1024);
    }
    catch {
        return 0;
    }
}

/** Counts the open descriptors of a process again and again; `stop` returns the highest count. */
function watchDescriptors(pid: number): { readonly stop: () => number; } {
    let highest = 0;
    const timer = setInterval(() => {
        try {
            highest = Math.max(highest, fs.readdirSync(`/proc/${pid}/fd`).length);
        }
        catch {
            // The process has ended, which is checked elsewhere.
        }
    }, countInterval);
    return {
        stop: () => {
            clearInterval(timer);
            return highest;
        },
    };
}
