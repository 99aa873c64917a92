/**
 * Difference of two configurations, by the path of each value.
 */
import * as schema from "@catkinwharf/schema";

/** One value that differs; undefined where it is absent. Values are JSON text. */
export interface Difference {
    /** Path with dots, such as `pools.intake.instances`. */
    readonly path: string;
    readonly before: string | undefined;
    readonly after: string | undefined;
}

/** Values that differ, by path. */
export function compareConfigurations(
    before: schema.log.Configuration | undefined,
    after: schema.log.Configuration | undefined,
): readonly Difference[] {
    const old = listValues(before);
    const wanted = listValues(after);
    const paths = [...new Set([...old.keys(), ...wanted.keys()])].sort();
    return paths
        .map(path => ({ path, before: old.get(path), after: wanted.get(path) }))
        .filter(difference => difference.before !== difference.after);
}

/** One line for each difference: `+` added, `-` removed, `~` changed. */
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

/** Values of a configuration by path. Services and pools count by name, so that their order does not matter. */
function listValues(configuration: schema.log.Configuration | undefined): ReadonlyMap<string, string> {
    const values = new Map<string, string>();
    if (configuration === undefined) {
        return values;
    }
    values.set("sparePool", JSON.stringify(configuration.sparePool));
    addNamed(values, "pools", configuration.pools);
    addNamed(values, "services", configuration.services);
    return values;
}

function addNamed(values: Map<string, string>, list: string, items: readonly { readonly name: string; }[]): void {
    for (const item of items) {
        const fields = Object.entries(item).filter(([key, value]) => key !== "name" && value !== undefined);
        for (const [key, value] of fields) {
            values.set(`${list}.${item.name}.${key}`, JSON.stringify(value));
        }
    }
}
