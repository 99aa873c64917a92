/**
 * Idles and reports its own processor time and memory: the bare runtime, or with the entry process's libraries loaded.
 *
 * Usage: node packages/bench/dist/bin/runtime-probe.js SECONDS [MODULE]
 * Prints a line when it begins to idle and one with the result.
 */
const settleMs = 5_000;

const [seconds = "1", library] = process.argv.slice(2);
if (library !== undefined) {
    await import(library);
}
process.stdout.write("{}\n");
// What loading left behind is compiled and collected first.
await new Promise(resolve => setTimeout(resolve, settleMs));
const [usedBefore, startedAt] = [process.cpuUsage(), performance.now()];
await new Promise(resolve => setTimeout(resolve, Number(seconds) * 1000));
const used = process.cpuUsage(usedBefore);
process.stdout.write(`${
    JSON.stringify({
        processorShare: (used.user + used.system) / 1000 / (performance.now() - startedAt),
        residentBytes: process.memoryUsage().rss,
    })
}\n`);
