/**
 * Parses the metrics of an entry process.
 */

/** A sample of the Prometheus text format. */
export interface Sample {
    readonly name: string;
    readonly labels: Readonly<Record<string, string>>;
    readonly value: number;
}

const samplePattern = /^([a-z_]+)(?:\{(.*)\})? (\S+)$/;
const labelPattern = /([a-z_]+)="([^"]*)"/g;

/** Parses a text in the Prometheus text format. */
export function parseSamples(text: string): readonly Sample[] {
    return text.split("\n").flatMap(line => {
        const [, name, labels = "", value] = samplePattern.exec(line) ?? [];
        return name === undefined ? [] : [{ name, labels: parseLabels(labels), value: Number(value) }];
    });
}

function parseLabels(text: string): Readonly<Record<string, string>> {
    return Object.fromEntries([...text.matchAll(labelPattern)].map(match => [match[1] ?? "", match[2] ?? ""]));
}

/** Sums the samples that have the name and at least the given labels; 0 if there are none. */
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
