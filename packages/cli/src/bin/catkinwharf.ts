#!/usr/bin/env node
/**
 * Entry point of the `catkinwharf` binary: runs one command with the streams of the process.
 */
import * as clipanion from "clipanion";
import * as timers from "node:timers/promises";
import * as commandLine from "../command-line.js";

const interruptController = new AbortController();

/** Sleeps; ends early when the operator interrupts the command (SIGINT). */
async function sleep(durationMs: number): Promise<void> {
    await timers.setTimeout(durationMs, undefined, { signal: interruptController.signal }).catch(() => undefined);
}

process.once("SIGINT", () => interruptController.abort());
// Standard output can't be written any more, for example because the reader of a pipe has exited.
process.stdout.on("error", () => process.exit());
process.exitCode = await commandLine.runCli(process.argv.slice(2), {
    ...clipanion.Cli.defaultContext,
    now: () => Date.now(),
    sleep,
    signal: interruptController.signal,
});
