/**
 * Reads samples out of the text that an entry process gives for its metrics.
 */

/** One sample. */
export interface Sample {
    readonly name: string;
    readonly labels: Readonly<Record<string, string>>;
    readonly value: number;
}

const samplePattern = /^([a-z_]+)(?:\{(.*)\})? (\S+)$/;
const labelPattern = /([a-z_]+)="([^"]*)"/g;

/** Samples of a text in the exposition format. */
export function parseSamples(text: string): readonly Sample[] {
    return text.split("\n").flatMap(line => {
        const [, name, labels = "", value] = samplePattern.exec(line) ?? [];
        return name === undefined ? [] : [{ name, labels: parseLabels(labels), value: Number(value) }];
    });
}

function parseLabels(text: string): Readonly<Record<string, string>> {
    return Object.fromEntries([...text.matchAll(labelPattern)].map(match => [match[1] ?? "", match[2] ?? ""]));
}

/** Sum of the samples with a name whose labels match; 0 if there is none. */
export function sumSamples(
    samples: readonly Sample[],
    name: string,
    labels: Readonly<Record<string, string>> = {},
): number {
    return samples
        .filter(sample => sample.name === name)
        .filter(sample => Object.entries(labels).every(([label, value]) => sample.labels[label] === value))
        .reduce((sum, sample) => sum + sample.value, 0);
}
