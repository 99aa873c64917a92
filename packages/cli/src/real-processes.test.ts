import * as bench from "@catkinwharf/bench";
import * as testUtils from "@catkinwharf/test-utils";
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as path from "node:path";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as exitCode from "./exit-code.js";

const seed = 3;
const binary = path.resolve(import.meta.dirname, "bin/catkinwharf.js");
const suite = uvu.suite(`command line with real processes (seed ${seed})`);

/** Exit code and output of a command. */
interface CommandResult {
    readonly code: number;
    readonly output: string;
}

function runCommand(session: bench.Session, entry: number, ...args: readonly string[]): Promise<CommandResult> {
    const env = {
        ...process.env,
        CATKINWHARF_URL: session.running.entries[entry]?.operatorUrl,
        CATKINWHARF_OPERATOR_KEY: session.running.operatorKey,
    };
    return new Promise(resolve => {
        childProcess.execFile(process.execPath, [binary, ...args], { env }, (error, stdout, stderr) => {
            resolve({ code: Number(error?.code ?? 0), output: stdout + stderr });
        });
    });
}

async function publishConcurrently(session: bench.Session): Promise<void> {
    const file = path.join(path.dirname(session.running.entries[0]?.settingsFile ?? ""), "configuration.json");
    fs.writeFileSync(file, JSON.stringify(session.running.configuration()));
    const results = await Promise.all(
        [0, 1].map(entry => runCommand(session, entry, "config", "publish", file, "--expect-version", "1")),
    );
    const codes = results.map(result => result.code).sort();
    assert.equal(codes, [exitCode.ExitCode.done, exitCode.ExitCode.conflict], results.map(one => one.output).join());
}

async function stopOneInstance(session: bench.Session): Promise<void> {
    const instance = session.running.backendServers[0]?.instance ?? "";
    const announced = await runCommand(
        session,
        0,
        "stop",
        "announce",
        "kernel",
        "--reason",
        "kernel update",
        "--instance",
        instance,
    );
    assert.is(announced.code, exitCode.ExitCode.done, announced.output);
    const watched = await runCommand(session, 1, "stop", "watch", "kernel");
    assert.is(watched.code, exitCode.ExitCode.done, watched.output);
    const explained = await runCommand(session, 1, "explain", "instance", instance);
    assert.match(explained.output, "is active");
}

suite(
    "one of two concurrent publishes conflicts, a planned stop finishes, and killed entry instances are unreachable",
    () =>
        bench.runSession({ launch: { deployment: testUtils.createSmallDeployment() }, seed }, async session => {
            await publishConcurrently(session);
            await stopOneInstance(session);
            const status = await runCommand(session, 0, "status", "--json");
            assert.is(JSON.parse(status.output).configurationVersion, 2);
            for (const entry of session.running.entries) {
                await session.running.killEntry(entry.name);
            }
            const unreachable = await runCommand(session, 0, "status");
            assert.is(unreachable.code, exitCode.ExitCode.unreachable, unreachable.output);
            assert.not.match(unreachable.output, session.running.operatorKey);
        }),
);

suite.run();
