/**
 * Formats the results of the decision bench as tables with the median and range over the seeds.
 */
import type * as decisionBench from "./decision-bench.js";

/** A column of the table. */
interface Column {
    readonly heading: string;
    readonly read: (result: decisionBench.DecisionResult) => number | undefined;
    readonly digits: number;
}

const millisecondsPerMinute = 60_000;

const columns: readonly Column[] = [
    { heading: "buffer (instances)", read: result => result.bufferInstances, digits: 2 },
    { heading: "roll-out (min)", read: result => toMinutes(result.rollOutMs), digits: 1 },
    { heading: "lower bound (min)", read: result => toMinutes(result.lowerBoundMs), digits: 1 },
    { heading: "ratio", read: computeRatio, digits: 2 },
    { heading: "moves", read: result => result.moves, digits: 0 },
    { heading: "budget breaches", read: result => result.breaches, digits: 0 },
    { heading: "unseen", read: result => result.unseenBreaches, digits: 0 },
    { heading: "short (pool-s)", read: result => result.shortSeconds, digits: 0 },
];

/** Formats a Markdown table with one row for each deployment, scenario and policy. */
export function formatDecisionTable(results: readonly decisionBench.DecisionResult[]): string {
    const groups = new Map<string, decisionBench.DecisionResult[]>();
    for (const result of results) {
        const rowLabels = `${result.deployment} | ${result.scenario} | ${result.policy}`;
        groups.set(rowLabels, [...(groups.get(rowLabels) ?? []), result]);
    }
    const heading = `| deployment | scenario | policy | ${columns.map(column => column.heading).join(" | ")} |`;
    const separator = `|${"---|".repeat(columns.length + 3)}`;
    const rows = [...groups].map(([rowLabels, group]) =>
        `| ${rowLabels} | ${columns.map(column => formatCell(column, group)).join(" | ")} |`
    );
    return [heading, separator, ...rows].join("\n");
}

/** Formats the median, the range if the runs differ, and the number of runs without a value. */
function formatCell(column: Column, group: readonly decisionBench.DecisionResult[]): string {
    const values = group.map(column.read).filter(value => value !== undefined).sort((left, right) => left - right);
    const unfinished = group.length - values.length;
    if (values.length === 0) {
        return "-";
    }
    const median = values[Math.floor((values.length - 1) / 2)] as number;
    const [minimum, maximum] = [values[0] as number, values.at(-1) as number].map(value =>
        value.toFixed(column.digits)
    );
    const range = minimum === maximum ? "" : ` (${minimum} to ${maximum})`;
    return `${median.toFixed(column.digits)}${range}${unfinished > 0 ? `, ${unfinished} not finished` : ""}`;
}

function computeRatio(result: decisionBench.DecisionResult): number | undefined {
    return result.rollOutMs === undefined || result.lowerBoundMs === undefined
        ? undefined
        : result.rollOutMs / result.lowerBoundMs;
}

function toMinutes(milliseconds: number | undefined): number | undefined {
    return milliseconds === undefined ? undefined : milliseconds / millisecondsPerMinute;
}
