/**
 * Reads the CPU time and memory of entry processes from their metrics.
 */
import * as testUtils from "@catkinwharf/test-utils";
import * as metricsReader from "./metrics-reader.js";

/** Total CPU time and maximum resident memory of a deployment's entry processes. */
export interface ProcessUsage {
    readonly processorSeconds: number;
    readonly maxResidentBytes: number;
}

/** Reads the resource usage of the entry processes since they started. */
export async function readProcessUsage(running: testUtils.RunningDeployment): Promise<ProcessUsage> {
    const samplesByEntry = await Promise.all(running.entries.map(metricsReader.readSamples));
    const residentBytes = samplesByEntry.map(samples =>
        metricsReader.sumSamples(samples, "process_resident_memory_bytes")
    );
    return {
        processorSeconds: metricsReader.sumSamples(samplesByEntry.flat(), "process_cpu_seconds_total"),
        maxResidentBytes: Math.max(...residentBytes),
    };
}
