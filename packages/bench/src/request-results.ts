/**
 * Turns the calls and executions of a run into the figures that the request bench prints.
 */
import * as schema from "@catkinwharf/schema";
import * as testUtils from "@catkinwharf/test-utils";
import * as types from "@catkinwharf/types";
import * as hdr from "hdr-histogram-js";
import * as callRecord from "./call-record.js";
import * as load from "./load.js";

/** Where a call stands relative to the bursts. */
export const Window = { own: "own burst", other: "other's burst", none: "no burst" } as const;
export type Window = (typeof Window)[keyof typeof Window];

/** Latencies in ms of the answered calls of one urgency in one window, counted from the time they were due. */
export interface LatencyRow {
    readonly window: Window;
    readonly urgency: number;
    readonly calls: number;
    readonly answered: number;
    readonly p50: number;
    readonly p99: number;
    readonly p999: number;
    /** Latency less the run time asked for. */
    readonly p50Added: number;
    readonly p99Added: number;
}

/** What a run showed. */
export interface RunEvidence {
    readonly deployment: schema.settings.Deployment;
    readonly shape: load.LoadShape;
    readonly durationMs: number;
    readonly calls: readonly callRecord.Call[];
    readonly executions: readonly testUtils.Execution[];
}

/** Places calls in windows; the load begins when the first call is due. */
export class BurstClock {
    readonly #evidence: RunEvidence;
    readonly startedAt: number;

    constructor(evidence: RunEvidence) {
        this.#evidence = evidence;
        this.startedAt = evidence.calls.reduce((first, call) => Math.min(first, call.dueAt), Number.POSITIVE_INFINITY);
    }

    findWindow(call: callRecord.Call): Window {
        const { deployment, shape } = this.#evidence;
        const index = load.findBursting(shape, deployment.services.length, call.dueAt - this.startedAt);
        if (index === undefined) {
            return Window.none;
        }
        return deployment.services[index]?.name === call.service ? Window.own : Window.other;
    }
}

/** Latencies by window and urgency. */
export function summarizeLatencies(evidence: RunEvidence): readonly LatencyRow[] {
    const clock = new BurstClock(evidence);
    const groups = new Map<string, callRecord.Call[]>();
    for (const call of evidence.calls) {
        const key = `${clock.findWindow(call)}/${call.urgency}`;
        const group = groups.get(key) ?? [];
        group.push(call);
        groups.set(key, group);
    }
    return [...groups].sort(([left], [right]) => left.localeCompare(right)).map(([key, calls]) => {
        const [window, urgency] = key.split("/");
        return summarizeGroup(window as Window, Number(urgency), calls);
    });
}

function summarizeGroup(window: Window, urgency: number, calls: readonly callRecord.Call[]): LatencyRow {
    const total = createHistogram();
    const added = createHistogram();
    const answered = calls.filter(isServed);
    for (const call of answered) {
        const latencyMs = (callRecord.readFinal(call)?.endedAt ?? 0) - call.dueAt;
        recordMs(total, latencyMs);
        recordMs(added, latencyMs - (call.runMs ?? 0));
    }
    return {
        window,
        urgency,
        calls: calls.length,
        answered: answered.length,
        p50: readMs(total, 50),
        p99: readMs(total, 99),
        p999: readMs(total, 99.9),
        p50Added: readMs(added, 50),
        p99Added: readMs(added, 99),
    };
}

/** Histograms hold microseconds. */
const perMs = 1_000;

function createHistogram(): hdr.Histogram {
    return hdr.build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: 120_000_000,
        numberOfSignificantValueDigits: 3,
    });
}

function recordMs(histogram: hdr.Histogram, milliseconds: number): void {
    histogram.recordValue(Math.max(1, Math.round(milliseconds * perMs)));
}

function readMs(histogram: hdr.Histogram, percentile: number): number {
    return histogram.totalCount === 0 ? 0 : histogram.getValueAtPercentile(percentile) / perMs;
}

/** Whether the caller got a successful answer. */
export function isServed(call: callRecord.Call): boolean {
    const final = callRecord.readFinal(call);
    return final?.outcome === types.Outcome.answered && final.status < 400;
}

/**
 * Share of the bursting pools' slot time that ran requests whose callers got their answers. 0 without bursts.
 * A call's run counts with the part that falls into the burst.
 */
export function measureBurstGoodput(evidence: RunEvidence): number {
    const { deployment, shape, durationMs } = evidence;
    if (shape.burstMs === 0) {
        return 0;
    }
    const clock = new BurstClock(evidence);
    const served = new Set(evidence.calls.filter(isServed).map(call => call.path));
    const turnMs = shape.burstMs + (shape.gapMs ?? 0);
    let usedMs = 0;
    let offeredMs = 0;
    for (let turn = 0; turn * turnMs + shape.burstMs <= durationMs; turn++) {
        const service = deployment.services[turn % deployment.services.length];
        const from = clock.startedAt + turn * turnMs;
        const runs = evidence.executions.filter(run => run.service === service?.name && served.has(run.path));
        usedMs += runs.reduce((sum, run) => sum + measureOverlap(run, from, from + shape.burstMs), 0);
        offeredMs += (service?.workers ?? 0) * deployment.worker.slots * shape.burstMs;
    }
    return usedMs / offeredMs;
}

function measureOverlap(run: testUtils.Execution, from: number, to: number): number {
    return Math.max(0, Math.min(run.end ?? to, to) - Math.max(run.start, from));
}
