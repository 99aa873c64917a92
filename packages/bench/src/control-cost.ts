/**
 * Measures the control overhead of a deployment: CPU time, memory and network traffic of its entry processes.
 */
import * as testUtils from "@catkinwharf/test-utils";
import * as os from "node:os";
import * as path from "node:path";
import * as timers from "node:timers/promises";
import * as undici from "undici";
import * as metricsText from "./metrics-text.js";

/** CPU time and memory of one process. */
export interface ProcessCost {
    readonly name: string;
    /** CPU time as a share of one core. */
    readonly processorShare: number;
    readonly residentBytes: number;
}

/** Bytes per second of one traffic path. */
export interface PathTraffic {
    readonly path: string;
    readonly receivedPerSecond: number;
    readonly sentPerSecond: number;
}

/** Cost of one entry process. */
export interface EntryCost extends ProcessCost {
    readonly heapBytes: number;
    /** Whether the process has sent or received coordinator traffic since it started. */
    readonly coordinator: boolean;
    readonly traffic: readonly PathTraffic[];
    /** Bytes per second of all paths in both directions. */
    readonly bytesPerSecond: number;
}

export interface ControlCost {
    readonly deployment: string;
    readonly seconds: number;
    /** Load averages of the machine at the end of the measurement, over 1, 5 and 15 minutes. */
    readonly loadAverages: readonly number[];
    readonly entries: readonly EntryCost[];
    /** Append calls per second to all streams of the log, from all entry processes. */
    readonly appendsPerSecond: number;
    readonly readsPerSecond: number;
    /** Cost of idle processes with the bare runtime and with the entry process's libraries, for comparison. */
    readonly runtimes: readonly ProcessCost[];
}

/** Time in ms before the measurement for connections and the coordinator to settle. */
const settleTimeMs = 5_000;
const binFolder = path.resolve(import.meta.dirname, "bin");
const entryModule = path.resolve(import.meta.dirname, "../../entry/dist/index.js");

interface CounterReading {
    readonly at: number;
    readonly entries: ReadonlyMap<string, readonly metricsText.Sample[]>;
    readonly platform: Readonly<Record<string, number>>;
}

/** Measures the processes of a running deployment for some seconds, after they have settled. */
export async function measureControlCost(
    running: testUtils.RunningDeployment,
    seconds: number,
): Promise<ControlCost> {
    await timers.setTimeout(settleTimeMs);
    const before = await readCounters(running);
    const [runtimes] = await Promise.all([probeRuntimes(seconds), timers.setTimeout(seconds * 1000)]);
    const after = await readCounters(running);
    const elapsed = (after.at - before.at) / 1000;
    const loadAverages = os.loadavg();
    const rate = (counter: string) => ((after.platform[counter] ?? 0) - (before.platform[counter] ?? 0)) / elapsed;
    return {
        deployment: running.deployment.name,
        seconds,
        loadAverages,
        entries: running.entries.map(entry =>
            computeEntryCost(
                entry.name,
                before.entries.get(entry.name) ?? [],
                after.entries.get(entry.name) ?? [],
                elapsed,
            )
        ),
        appendsPerSecond: rate("appends"),
        readsPerSecond: rate("reads"),
        runtimes,
    };
}

async function readCounters(running: testUtils.RunningDeployment): Promise<CounterReading> {
    const entries = await Promise.all(running.entries.map(async entry => {
        const response = await undici.request(`${entry.operatorUrl}/metrics`);
        return [entry.name, metricsText.parseSamples(await response.body.text())] as const;
    }));
    const platform = await testUtils.callControl(running.platform.controlPort, "GET", "/counters");
    return { at: performance.now(), entries: new Map(entries), platform: platform as Readonly<Record<string, number>> };
}

function computeEntryCost(
    name: string,
    before: readonly metricsText.Sample[],
    after: readonly metricsText.Sample[],
    elapsed: number,
): EntryCost {
    const rate = (metric: string, labels: Readonly<Record<string, string>> = {}) =>
        (metricsText.sumSamples(after, metric, labels) - metricsText.sumSamples(before, metric, labels)) / elapsed;
    const trafficMetric = "catkinwharf_traffic_bytes_total";
    const paths = new Set(after.flatMap(sample => sample.name === trafficMetric ? [sample.labels["path"] ?? ""] : []));
    const traffic = [...paths].sort().map(one => ({
        path: one,
        receivedPerSecond: rate(trafficMetric, { path: one, direction: "received" }),
        sentPerSecond: rate(trafficMetric, { path: one, direction: "sent" }),
    }));
    return {
        name,
        processorShare: rate("process_cpu_seconds_total"),
        residentBytes: metricsText.sumSamples(after, "process_resident_memory_bytes"),
        heapBytes: metricsText.sumSamples(after, "nodejs_heap_size_used_bytes"),
        coordinator: paths.has("coordinator"),
        traffic,
        bytesPerSecond: rate(trafficMetric),
    };
}

function probeRuntimes(seconds: number): Promise<ProcessCost[]> {
    return Promise.all([
        probeRuntime("bare runtime", seconds),
        probeRuntime("runtime with libraries", seconds, entryModule),
    ]);
}

async function probeRuntime(name: string, seconds: number, library?: string): Promise<ProcessCost> {
    const script = path.join(binFolder, "runtime-probe.js");
    const handle = testUtils.startProcess(script, String(seconds), ...(library === undefined ? [] : [library]));
    await handle.exited;
    const result = handle.readOutput().trim().split("\n").at(-1) ?? "";
    return { name, ...JSON.parse(result) as Omit<ProcessCost, "name"> };
}
