/**
 * Reads the metrics of entry processes.
 */
import * as testUtils from "@catkinwharf/test-utils";
import * as undici from "undici";

const samplePattern = /^([a-z_]+)(?:\{(.*)\})? ([-+0-9.eE]+)$/;

/** A sample of the Prometheus text format. */
export interface Sample {
    readonly name: string;
    /** Labels as written between the braces, such as `reason="silent"`. */
    readonly labels: string;
    readonly value: number;
}

/** Reads all samples of an entry process. */
export async function readSamples(entry: testUtils.RunningEntry): Promise<readonly Sample[]> {
    const response = await undici.request(`${entry.operatorUrl}/metrics`);
    return parseSamples(await response.body.text());
}

function parseSamples(text: string): readonly Sample[] {
    return text.split("\n").flatMap(line => {
        const [, name = "", labels = "", value] = samplePattern.exec(line) ?? [];
        return value === undefined ? [] : [{ name, labels, value: Number(value) }];
    });
}

/** Sums the samples that have the name and whose labels contain a text; 0 if there are none. */
export function sumSamples(samples: readonly Sample[], name: string, labels = ""): number {
    return samples.filter(sample => sample.name === name && sample.labels.includes(labels))
        .reduce((sum, sample) => sum + sample.value, 0);
}

/** Sums a counter over all entry processes, for label values of `reason` that start with the given text. */
export async function readCounter(
    running: testUtils.RunningDeployment,
    name: string,
    reason: string,
): Promise<number> {
    const lists = await Promise.all(running.entries.map(readSamples));
    return sumSamples(lists.flat(), `catkinwharf_${name}_total`, `reason="${reason}`);
}
