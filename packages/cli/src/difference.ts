/**
 * Compares two configurations value by value.
 */
import * as schema from "@catkinwharf/schema";

/** One value that differs; undefined where it is absent. Values are JSON text. */
export interface Difference {
    /** Dotted path, such as `pools.intake.instances`. */
    readonly path: string;
    readonly before: string | undefined;
    readonly after: string | undefined;
}

/** Lists the values that differ, sorted by path. */
export function compareConfigurations(
    before: schema.log.Configuration | undefined,
    after: schema.log.Configuration | undefined,
): readonly Difference[] {
    const beforeValues = flattenConfiguration(before);
    const afterValues = flattenConfiguration(after);
    const paths = [...new Set([...beforeValues.keys(), ...afterValues.keys()])].sort();
    return paths
        .map(path => ({ path, before: beforeValues.get(path), after: afterValues.get(path) }))
        .filter(difference => difference.before !== difference.after);
}

/** Renders one line per difference: `+` added, `-` removed, `~` changed. */
export function renderDifferences(differences: readonly Difference[]): string {
    return differences.length === 0 ? "no difference" : differences.map(renderDifference).join("\n");
}

function renderDifference(difference: Difference): string {
    if (difference.before === undefined) {
        return `+ ${difference.path} = ${difference.after}`;
    }
    if (difference.after === undefined) {
        return `- ${difference.path} = ${difference.before}`;
    }
    return `~ ${difference.path}: ${difference.before} -> ${difference.after}`;
}

/** Values of a configuration by path. Services and pools are identified by name, so their order doesn't matter. */
function flattenConfiguration(configuration: schema.log.Configuration | undefined): ReadonlyMap<string, string> {
    const values = new Map<string, string>();
    if (configuration === undefined) {
        return values;
    }
    values.set("sparePool", JSON.stringify(configuration.sparePool));
    addNamedItems(values, "pools", configuration.pools);
    addNamedItems(values, "services", configuration.services);
    return values;
}

function addNamedItems(
    values: Map<string, string>,
    collection: string,
    items: readonly { readonly name: string; }[],
): void {
    for (const item of items) {
        const fields = Object.entries(item).filter(([key, value]) => key !== "name" && value !== undefined);
        for (const [key, value] of fields) {
            values.set(`${collection}.${item.name}.${key}`, JSON.stringify(value));
        }
    }
}
