/**
 * Runs every compiled test file in a separate process and sums the counts that uvu prints.
 *
 * Usage: node scripts/run-tests.mjs [part of a path ...]
 * A file that exits without a summary, or with a non-zero exit code but no failed test, counts as one failure.
 */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as path from "node:path";

const root = path.resolve(import.meta.dirname, "..");
/** Number of test files that run concurrently. */
const concurrency = 2;
/** Time in ms after which a test file that has not exited is terminated and counts as failed. */
const fileTimeoutMs = 300_000;
/** Test files that load the machine; they run one at a time after all the others. */
const isolatedFiles = /^abusive-.*\.test\.js$/;
const knownFailuresFile = path.join(root, "KNOWN-RED.txt");

function listTests() {
    const pathFilters = process.argv.slice(2);
    return [...fs.readdirSync(path.join(root, "packages")), "platform"]
        .flatMap(name => {
            const dist = name === "platform"
                ? path.join(root, name, "dist")
                : path.join(root, "packages", name, "dist");
            return fs.existsSync(dist)
                ? fs.readdirSync(dist, { recursive: true }).map(file => path.join(dist, String(file)))
                : [];
        })
        .filter(file => file.endsWith(".test.js"))
        .filter(file =>
            fs.existsSync(
                file.replace(`${path.sep}dist${path.sep}`, `${path.sep}src${path.sep}`).replace(/\.js$/, ".ts"),
            )
        )
        .filter(file => pathFilters.length === 0 || pathFilters.some(part => file.includes(part)))
        .sort();
}

function runFile(file) {
    return new Promise(resolve => {
        const child = childProcess.spawn(process.execPath, [file], {
            cwd: root,
            stdio: ["ignore", "pipe", "pipe"],
            env: { ...process.env, FORCE_COLOR: "0", NO_COLOR: "1" },
            detached: true, // In a process group of its own, which its processes share.
        });
        let output = "";
        child.stdout.on("data", data => output += data);
        child.stderr.on("data", data => output += data);
        const timer = setTimeout(() => {
            output += `did not exit within ${fileTimeoutMs} ms`;
            child.kill("SIGTERM");
        }, fileTimeoutMs);
        // A test that ends early may leave processes, which hold its output open: `close` would never come.
        child.on("exit", () => endGroup(child.pid));
        child.on("close", code => {
            clearTimeout(timer);
            resolve(summarize(file, output, code));
        });
    });
}

/** Ends the processes of a group that are left. */
function endGroup(id) {
    try {
        process.kill(-id, "SIGKILL");
    }
    catch (error) {
        if (error.code !== "ESRCH") {
            throw error;
        }
    }
}

function summarize(file, output, code) {
    const total = Number(/Total:\s+(\d+)/.exec(output)?.[1] ?? Number.NaN);
    const passed = Number(/Passed:\s+(\d+)/.exec(output)?.[1] ?? Number.NaN);
    const name = path.relative(root, file);
    if (Number.isNaN(total)) {
        return { name, passed: 0, failed: 1, failedNames: [], output };
    }
    const failedNames = [...output.matchAll(/FAIL\s+(?:[^"\n]+\s+)?"(.+)"/g)].map(match => match[1]);
    const failed = total - passed;
    return { name, passed, failed: failed === 0 && code !== 0 ? 1 : failed, failedNames, output };
}

async function main() {
    const tests = listTests();
    const isIsolated = file => isolatedFiles.test(path.basename(file));
    const results = [];
    async function runWorker(pending) {
        for (let file = pending.shift(); file !== undefined; file = pending.shift()) {
            const result = await runFile(file);
            results.push(result);
            console.log(
                `${
                    result.failed === 0
                        ? "ok  "
                        : "FAIL"
                } ${result.name} (${result.passed} passed, ${result.failed} failed)`,
            );
            if (result.failed > 0) {
                console.log(result.output);
            }
        }
    }
    const shared = tests.filter(file => !isIsolated(file));
    await Promise.all(Array.from({ length: concurrency }, () => runWorker(shared)));
    await runWorker(tests.filter(isIsolated));
    const knownFailures = readKnownFailures();
    const passed = results.reduce((sum, result) => sum + result.passed, 0);
    const failed = results.reduce((sum, result) => sum + result.failed, 0);
    const newFailures = results.filter(result => hasNewFailure(result, knownFailures));
    for (const line of knownFailures) {
        console.log(`known red: ${line}`);
    }
    console.log(`${passed} passed, ${failed} failed`);
    process.exitCode = newFailures.length > 0 || passed === 0 ? 1 : 0;
}

/** A failure is known if a line of KNOWN-RED.txt starts with its file and the quoted title of its test. */
function hasNewFailure(result, knownFailures) {
    const expectedNames = result.failedNames.filter(name =>
        knownFailures.some(line => line.startsWith(`${result.name} "${name}"`))
    );
    return result.failed > expectedNames.length;
}

function readKnownFailures() {
    return fs.existsSync(knownFailuresFile)
        ? fs.readFileSync(knownFailuresFile, "utf8").split("\n").filter(line => line.includes('.test.js "'))
        : [];
}

await main();
