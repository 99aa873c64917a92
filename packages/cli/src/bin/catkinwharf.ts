#!/usr/bin/env node
/**
 * Binary `catkinwharf`: runs one command on the process's own streams.
 */
import * as clipanion from "clipanion";
import * as timers from "node:timers/promises";
import * as commandLine from "../command-line.js";

const interruption = new AbortController();

/** Waits, but not longer than until the operator interrupts. */
async function sleep(durationMs: number): Promise<void> {
    await timers.setTimeout(durationMs, undefined, { signal: interruption.signal }).catch(() => undefined);
}

process.once("SIGINT", () => interruption.abort());
process.stdout.on("error", () => process.exit());
process.exitCode = await commandLine.runCli(process.argv.slice(2), {
    ...clipanion.Cli.defaultContext,
    now: () => Date.now(),
    sleep,
    signal: interruption.signal,
});
