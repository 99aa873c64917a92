/**
 * Formats results of the request bench as Markdown tables.
 */
import * as requestBench from "./request-bench.js";

/** Formats the summary and the tables of one run, line by line. */
export function formatRequestResult(result: requestBench.RequestBenchResult): readonly string[] {
    const { deployment, scenario, policy, seed } = result;
    return [
        `${deployment}, ${scenario}, ${policy}, seed ${seed}: ${result.calls} calls, ${result.served} served, `
        + `${result.violations.length} violations of promises`,
        `goodput in bursts ${formatShare(result.burstGoodput)}, runs per call ${result.runsPerCall.toFixed(3)}, `
        + `processor time per call ${result.processorMsPerCall.toFixed(2)} ms, `
        + `resident memory ${result.residentMegabytes.toFixed(0)} MB`,
        "",
        "| result | calls |",
        "|---|---|",
        ...result.finals.map(count => `| ${count.label} | ${count.calls} |`),
        "",
        "| window | urgency | calls | served | p50 | p99 | p99.9 | added p50 | added p99 |",
        "|---|---|---|---|---|---|---|---|---|",
        ...result.latencies.map(row =>
            `| ${
                [
                    row.window,
                    row.urgency,
                    row.calls,
                    row.answered,
                    ...[row.p50, row.p99, row.p999, row.p50Added, row.p99Added].map(ms => ms.toFixed(1)),
                ].join(" | ")
            } |`
        ),
    ];
}

function formatShare(share: number): string {
    return `${(share * 100).toFixed(1)}%`;
}
