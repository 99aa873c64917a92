/**
 * Starts and ends child processes; none outlives its parent.
 */
import * as childProcess from "node:child_process";
import * as timers from "node:timers/promises";

/** A process that this one started. */
export interface ProcessHandle {
    readonly pid: number;
    /** First line of standard output, parsed as JSON. Rejects when the process ends before it. */
    readonly ready: Promise<unknown>;
    /** Resolves when the process has ended. */
    readonly exited: Promise<ProcessExit>;
    /** Newest part of both outputs, for reports of failures. */
    readOutput(): string;
    readonly child: childProcess.ChildProcess;
}

/** How a process ended: with a code, or by a signal. */
export interface ProcessExit {
    readonly code: number | undefined;
    readonly signal: NodeJS.Signals | undefined;
}

/** Signals that tests send. */
export type ProcessSignal = "SIGSTOP" | "SIGCONT" | "SIGKILL" | "SIGTERM";

const keptOutputCharacters = 64 * 1024;
const stopGraceMs = 5000;
const readyLimitMs = 30_000;
const children = new Set<childProcess.ChildProcess>();
let isWatchingExit = false;

/** Starts a Node.js script. Its standard input stays open for as long as this process lives. */
export function startProcess(script: string, ...scriptArguments: readonly string[]): ProcessHandle {
    watchExit();
    const child = childProcess.spawn(process.execPath, [script, ...scriptArguments], { stdio: "pipe" });
    children.add(child);
    let output = "";
    const keepOutput = (data: Buffer) => output = (output + data.toString("utf8")).slice(-keptOutputCharacters);
    child.stdout.on("data", keepOutput);
    child.stderr.on("data", keepOutput);
    const readOutput = () => output;
    child.stdin.on("error", () => {});
    const exited = new Promise<ProcessExit>((resolve, reject) => {
        child.once("error", reject);
        child.once("exit", (code, signal) => {
            children.delete(child);
            resolve({ code: code ?? undefined, signal: signal ?? undefined });
        });
    });
    const ready = readReadyLine(child, script, exited, readOutput);
    ready.catch(() => {});
    return { pid: child.pid ?? 0, ready, exited, readOutput, child };
}

/** Sends a signal to a process that this one started and that still runs. Returns whether it was sent. */
export function signalProcess(handle: ProcessHandle, signal: ProcessSignal): boolean {
    return children.has(handle.child) && handle.child.kill(signal);
}

/** Asks the process to end, and kills it if it has not ended in time. */
export async function stopProcess(handle: ProcessHandle): Promise<ProcessExit> {
    signalProcess(handle, "SIGCONT");
    signalProcess(handle, "SIGTERM");
    const grace = new AbortController();
    const killing = timers.setTimeout(stopGraceMs, undefined, { signal: grace.signal })
        .then(() => signalProcess(handle, "SIGKILL"), () => false);
    const exit = await handle.exited;
    grace.abort();
    await killing;
    return exit;
}

/** Kills processes and waits until they have ended. */
export async function killProcesses(handles: readonly ProcessHandle[]): Promise<void> {
    for (const handle of handles) {
        signalProcess(handle, "SIGKILL");
    }
    await Promise.all(handles.map(handle => handle.exited));
}

function readReadyLine(
    child: childProcess.ChildProcessWithoutNullStreams,
    script: string,
    exited: Promise<ProcessExit>,
    readOutput: () => string,
): Promise<unknown> {
    return new Promise((resolve, reject) => {
        const fail = (reason: string) => reject(new Error(`${script} ${reason}: ${readOutput()}`));
        const limit = setTimeout(() => fail("printed no ready line"), readyLimitMs);
        let text = "";
        const read = (data: Buffer) => {
            text += data.toString("utf8");
            const end = text.indexOf("\n");
            if (end < 0) {
                return;
            }
            child.stdout.off("data", read);
            clearTimeout(limit);
            try {
                resolve(JSON.parse(text.slice(0, end)));
            }
            catch {
                fail("printed something else first");
            }
        };
        child.stdout.on("data", read);
        exited.finally(() => {
            clearTimeout(limit);
            fail("ended before its ready line");
        }).catch(() => {});
    });
}

/** Entry processes don't watch their standard input, so they are killed when this process ends. */
function watchExit(): void {
    if (isWatchingExit) {
        return;
    }
    isWatchingExit = true;
    process.on("exit", killChildren);
    for (const signal of ["SIGINT", "SIGTERM", "SIGHUP"] as const) {
        process.once(signal, () => {
            killChildren();
            process.kill(process.pid, signal);
        });
    }
}

function killChildren(): void {
    for (const child of children) {
        child.kill("SIGKILL");
    }
}
