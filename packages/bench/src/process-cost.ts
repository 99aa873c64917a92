/**
 * Processor time and memory of entry processes, as they report them.
 */
import * as testUtils from "@catkinwharf/test-utils";
import * as metricsReader from "./metrics-reader.js";

/** Sums and maxima over the entry processes of a deployment. */
export interface ProcessUse {
    readonly processorSeconds: number;
    readonly maxResidentBytes: number;
}

/** Reads what the entry processes have used up to now. */
export async function readProcessUse(running: testUtils.RunningDeployment): Promise<ProcessUse> {
    const lists = await Promise.all(running.entries.map(metricsReader.readSamples));
    const resident = lists.map(list => metricsReader.sumSamples(list, "process_resident_memory_bytes"));
    return {
        processorSeconds: metricsReader.sumSamples(lists.flat(), "process_cpu_seconds_total"),
        maxResidentBytes: Math.max(...resident),
    };
}
