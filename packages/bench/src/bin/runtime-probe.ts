/**
 * Idles and reports its own CPU time and memory: those of the bare runtime, or with a module loaded.
 *
 * Usage: node packages/bench/dist/bin/runtime-probe.js SECONDS [MODULE]
 * Prints `{}` once the module is loaded, and the result as JSON.
 */
const settleTimeMs = 5_000;

const [seconds = "1", library] = process.argv.slice(2);
if (library !== undefined) {
    await import(library);
}
process.stdout.write("{}\n");
// Waits until compilation and garbage collection after loading have finished.
await new Promise(resolve => setTimeout(resolve, settleTimeMs));
const [usedBefore, startedAt] = [process.cpuUsage(), performance.now()];
await new Promise(resolve => setTimeout(resolve, Number(seconds) * 1000));
const used = process.cpuUsage(usedBefore);
process.stdout.write(`${
    JSON.stringify({
        processorShare: (used.user + used.system) / 1000 / (performance.now() - startedAt),
        residentBytes: process.memoryUsage().rss,
    })
}\n`);
