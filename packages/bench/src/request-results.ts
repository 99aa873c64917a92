/**
 * Computes the figures that the request bench prints from the calls and executions of a run.
 */
import * as schema from "@catkinwharf/schema";
import * as testUtils from "@catkinwharf/test-utils";
import * as types from "@catkinwharf/types";
import * as hdr from "hdr-histogram-js";
import * as callRecord from "./call-record.js";
import * as load from "./load.js";

/** Whether a call was due in a burst of its own service, in a burst of another service, or outside of bursts. */
export const Window = { own: "own burst", other: "other's burst", none: "no burst" } as const;
export type Window = (typeof Window)[keyof typeof Window];

/** Latencies in ms of the answered calls of one urgency in one window, measured from their scheduled start. */
export interface LatencyRow {
    readonly window: Window;
    readonly urgency: number;
    readonly calls: number;
    readonly answered: number;
    readonly p50: number;
    readonly p99: number;
    readonly p999: number;
    /** Percentiles of the latency minus the requested run time. */
    readonly p50Added: number;
    readonly p99Added: number;
}

/** Evidence of one run. */
export interface RunEvidence {
    readonly deployment: schema.settings.Deployment;
    readonly shape: load.LoadShape;
    readonly durationMs: number;
    readonly calls: readonly callRecord.Call[];
    readonly executions: readonly testUtils.Execution[];
}

/** Assigns calls to windows. The first burst starts when the first call is due. */
export class BurstSchedule {
    readonly #evidence: RunEvidence;
    readonly startedAt: number;

    constructor(evidence: RunEvidence) {
        this.#evidence = evidence;
        this.startedAt = evidence.calls.reduce((first, call) => Math.min(first, call.dueAt), Number.POSITIVE_INFINITY);
    }

    findWindow(call: callRecord.Call): Window {
        const { deployment, shape } = this.#evidence;
        const index = load.findBurstingService(shape, deployment.services.length, call.dueAt - this.startedAt);
        if (index === undefined) {
            return Window.none;
        }
        return deployment.services[index]?.name === call.service ? Window.own : Window.other;
    }
}

/** Computes the latencies by window and urgency. */
export function summarizeLatencies(evidence: RunEvidence): readonly LatencyRow[] {
    const schedule = new BurstSchedule(evidence);
    const groups = new Map<string, callRecord.Call[]>();
    for (const call of evidence.calls) {
        const key = `${schedule.findWindow(call)}/${call.urgency}`;
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
    const totalLatency = createHistogram();
    const addedLatency = createHistogram();
    const answered = calls.filter(isServed);
    for (const call of answered) {
        const latencyMs = (callRecord.getLastAttempt(call)?.endedAt ?? 0) - call.dueAt;
        recordMs(totalLatency, latencyMs);
        recordMs(addedLatency, latencyMs - (call.runMs ?? 0));
    }
    return {
        window,
        urgency,
        calls: calls.length,
        answered: answered.length,
        p50: computePercentileMs(totalLatency, 50),
        p99: computePercentileMs(totalLatency, 99),
        p999: computePercentileMs(totalLatency, 99.9),
        p50Added: computePercentileMs(addedLatency, 50),
        p99Added: computePercentileMs(addedLatency, 99),
    };
}

/** Histograms record microseconds. */
const microsecondsPerMs = 1_000;

function createHistogram(): hdr.Histogram {
    return hdr.build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: 120_000_000,
        numberOfSignificantValueDigits: 3,
    });
}

function recordMs(histogram: hdr.Histogram, milliseconds: number): void {
    histogram.recordValue(Math.max(1, Math.round(milliseconds * microsecondsPerMs)));
}

function computePercentileMs(histogram: hdr.Histogram, percentile: number): number {
    return histogram.totalCount === 0 ? 0 : histogram.getValueAtPercentile(percentile) / microsecondsPerMs;
}

/** Whether the call was answered with a status below 400. */
export function isServed(call: callRecord.Call): boolean {
    const last = callRecord.getLastAttempt(call);
    return last?.outcome === types.Outcome.answered && last.status < 400;
}

/**
 * Computes the share of the bursting pools' slot time that was spent on requests whose callers got a successful answer;
 * 0 without bursts. Only the part of an execution that overlaps the burst counts.
 */
export function computeBurstGoodput(evidence: RunEvidence): number {
    const { deployment, shape, durationMs } = evidence;
    if (shape.burstMs === 0) {
        return 0;
    }
    const schedule = new BurstSchedule(evidence);
    const served = new Set(evidence.calls.filter(isServed).map(call => call.path));
    const periodMs = shape.burstMs + (shape.gapMs ?? 0);
    let goodputMs = 0;
    let capacityMs = 0;
    for (let burst = 0; burst * periodMs + shape.burstMs <= durationMs; burst++) {
        const service = deployment.services[burst % deployment.services.length];
        const from = schedule.startedAt + burst * periodMs;
        const runs = evidence.executions.filter(run => run.service === service?.name && served.has(run.path));
        goodputMs += runs.reduce((sum, run) => sum + computeOverlap(run, from, from + shape.burstMs), 0);
        capacityMs += (service?.workers ?? 0) * deployment.worker.slots * shape.burstMs;
    }
    return goodputMs / capacityMs;
}

function computeOverlap(run: testUtils.Execution, from: number, to: number): number {
    return Math.max(0, Math.min(run.end ?? to, to) - Math.max(run.start, from));
}
