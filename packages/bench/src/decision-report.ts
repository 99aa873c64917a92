/**
 * Tables of decision results: median and spread over the seeds.
 */
import type * as decisionBench from "./decision-bench.js";

/** A column: its heading, and its value in a result. */
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
    { heading: "ratio", read: readRatio, digits: 2 },
    { heading: "moves", read: result => result.moves, digits: 0 },
    { heading: "budget breaches", read: result => result.breaches, digits: 0 },
    { heading: "unseen", read: result => result.unseenBreaches, digits: 0 },
    { heading: "short (pool-s)", read: result => result.shortSeconds, digits: 0 },
];

/** A Markdown table: one line for each deployment, scenario and policy. */
export function formatDecisionTable(results: readonly decisionBench.DecisionResult[]): string {
    const groups = new Map<string, decisionBench.DecisionResult[]>();
    for (const result of results) {
        const key = `${result.deployment} | ${result.scenario} | ${result.policy}`;
        groups.set(key, [...(groups.get(key) ?? []), result]);
    }
    const heading = `| deployment | scenario | policy | ${columns.map(column => column.heading).join(" | ")} |`;
    const rule = `|${"---|".repeat(columns.length + 3)}`;
    const lines = [...groups].map(([key, group]) =>
        `| ${key} | ${columns.map(column => formatCell(column, group)).join(" | ")} |`
    );
    return [heading, rule, ...lines].join("\n");
}

/** Median, and the range where the runs differ; runs without a value are counted. */
function formatCell(column: Column, group: readonly decisionBench.DecisionResult[]): string {
    const values = group.map(column.read).filter(value => value !== undefined).sort((left, right) => left - right);
    const missing = group.length - values.length;
    if (values.length === 0) {
        return "-";
    }
    const median = values[Math.floor((values.length - 1) / 2)] as number;
    const [least, greatest] = [values[0] as number, values.at(-1) as number].map(value => value.toFixed(column.digits));
    const range = least === greatest ? "" : ` (${least} to ${greatest})`;
    return `${median.toFixed(column.digits)}${range}${missing > 0 ? `, ${missing} not finished` : ""}`;
}

function readRatio(result: decisionBench.DecisionResult): number | undefined {
    return result.rollOutMs === undefined || result.lowerBoundMs === undefined
        ? undefined
        : result.rollOutMs / result.lowerBoundMs;
}

function toMinutes(milliseconds: number | undefined): number | undefined {
    return milliseconds === undefined ? undefined : milliseconds / millisecondsPerMinute;
}
