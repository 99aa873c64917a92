/**
 * Starts and stops child processes, and kills those that still run when the parent process exits.
 */
import * as childProcess from "node:child_process";
import * as timers from "node:timers/promises";

/** A process that this one started. */
export interface ProcessHandle {
    readonly pid: number;
    /** First line of standard output, parsed as JSON. Rejects if the process ends before it printed one. */
    readonly ready: Promise<unknown>;
    /** Resolves when the process has ended. */
    readonly exited: Promise<ProcessExit>;
    /** Latest part of standard output and standard error, for failure reports. */
    readOutput(): string;
    readonly child: childProcess.ChildProcess;
}

/** Exit code of a process, or the signal that ended it. */
export interface ProcessExit {
    readonly code: number | undefined;
    readonly signal: NodeJS.Signals | undefined;
}

/** Signals that tests send. */
export type ProcessSignal = "SIGSTOP" | "SIGCONT" | "SIGKILL" | "SIGTERM";

const maxOutputCharacters = 64 * 1024;
const stopGraceMs = 5000;
const readyTimeoutMs = 30_000;
const children = new Set<childProcess.ChildProcess>();
let exitHandlersInstalled = false;

/** Starts a Node.js script. Its standard input stays open until this process ends. */
export function startProcess(script: string, ...scriptArguments: readonly string[]): ProcessHandle {
    installExitHandlers();
    const child = childProcess.spawn(process.execPath, [script, ...scriptArguments], { stdio: "pipe" });
    children.add(child);
    let output = "";
    const keepOutput = (data: Buffer) => output = (output + data.toString("utf8")).slice(-maxOutputCharacters);
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

/** Sends a signal to a child process if it still runs. Returns whether the signal was sent. */
export function signalProcess(handle: ProcessHandle, signal: ProcessSignal): boolean {
    return children.has(handle.child) && handle.child.kill(signal);
}

/** Stops a process with SIGTERM, and with SIGKILL if it has not ended within the grace period. */
export async function stopProcess(handle: ProcessHandle): Promise<ProcessExit> {
    signalProcess(handle, "SIGCONT");
    signalProcess(handle, "SIGTERM");
    const killAbort = new AbortController();
    const killTimeout = timers.setTimeout(stopGraceMs, undefined, { signal: killAbort.signal })
        .then(() => signalProcess(handle, "SIGKILL"), () => false);
    const exit = await handle.exited;
    killAbort.abort();
    await killTimeout;
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
        const timer = setTimeout(() => fail("printed no ready line"), readyTimeoutMs);
        let text = "";
        const read = (data: Buffer) => {
            text += data.toString("utf8");
            const end = text.indexOf("\n");
            if (end < 0) {
                return;
            }
            child.stdout.off("data", read);
            clearTimeout(timer);
            try {
                resolve(JSON.parse(text.slice(0, end)));
            }
            catch {
                fail("printed a first line that is not JSON");
            }
        };
        child.stdout.on("data", read);
        exited.finally(() => {
            clearTimeout(timer);
            fail("ended before its ready line");
        }).catch(() => {});
    });
}

/** Kills the child processes when this process exits; entry processes don't exit when their standard input closes. */
function installExitHandlers(): void {
    if (exitHandlersInstalled) {
        return;
    }
    exitHandlersInstalled = true;
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
