import * as types from "@catkinwharf/types";
import * as fs from "node:fs";
import * as path from "node:path";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as commandLine from "./command-line.js";
import * as harness from "./testing/harness.js";

const root = path.resolve(import.meta.dirname, "../../..");
const updateNote = "run UPDATE_DOCS=1 node scripts/run-tests.mjs documentation";
const suite = uvu.suite("documentation");

/** Keywords of a JSON Schema that the table of settings shows. */
interface Property {
    readonly $ref?: string;
    readonly type?: string;
    readonly description?: string;
    readonly default?: unknown;
    readonly enum?: readonly string[];
    readonly minimum?: number;
    readonly maximum?: number;
    readonly minLength?: number;
    readonly required?: readonly string[];
    readonly properties?: Readonly<Record<string, Property>>;
}

const units: readonly { readonly suffix: RegExp; readonly unit: string; }[] = [
    { suffix: /Ms$/, unit: "ms" },
    { suffix: /Bytes$/, unit: "bytes" },
    { suffix: /PerSecond$/, unit: "per second" },
    { suffix: /Share$/, unit: "share" },
];

function listDocuments(): readonly string[] {
    const folders = ["docs", "docs/operations", "packages/cli", "examples", "."];
    return folders.flatMap(folder =>
        fs.readdirSync(path.join(root, folder)).filter(file => file.endsWith(".md")).map(file =>
            path.join(folder, file)
        )
    );
}

function checkTable(file: string, name: string, lines: readonly string[]): void {
    const fullPath = path.join(root, file);
    const text = fs.readFileSync(fullPath, "utf8");
    const pattern = new RegExp(`<!-- ${name} -->\n[^]*?<!-- end -->`);
    const expected = [`<!-- ${name} -->`, "", ...lines, "", "<!-- end -->"].join("\n");
    if (process.env["UPDATE_DOCS"] === "1") {
        fs.writeFileSync(fullPath, text.replace(pattern, () => expected));
        return;
    }
    assert.fixture(pattern.exec(text)?.[0] ?? "", expected, `${file} is not current: ${updateNote}`);
}

suite("the callers' page has every reason with its outcome and status", () => {
    const rows = Object.values(types.Reason)
        .map(code => ({ code, form: types.reasonResponses[code] }))
        .sort((one, other) => one.code < other.code ? -1 : 1)
        .map(({ code, form }) =>
            `| \`${code}\` | ${form.outcome} | ${form.status} | ${form.retryAfterSeconds ?? ""} | ${form.detail} |`
        );
    const head = [
        "| code | outcome | status | retry after, s | what happened and what to do |",
        "|---|---|---|---|---|",
    ];
    checkTable("docs/callers.md", "reasons", [...head, ...rows]);
});

function readDefinitions(): Readonly<Record<string, Property>> {
    return JSON.parse(fs.readFileSync(path.join(root, "packages/schema/schemas/settings.json"), "utf8")).$defs;
}

function listSettings(
    definitions: Readonly<Record<string, Property>>,
    name: string,
    prefix: string,
    requiredText: string,
): readonly string[] {
    const definition = definitions[name];
    return Object.entries(definition?.properties ?? {}).flatMap(([key, property]) => {
        const keyPath = `${prefix}${key}`;
        const isRequired = definition?.required?.includes(key) === true;
        const referencedName = property.$ref?.replace("#/$defs/", "");
        if (referencedName === undefined) {
            return [renderSetting(keyPath, property, isRequired ? requiredText : "none")];
        }
        const isAlwaysPresent = isRequired || property.default !== undefined;
        const sectionRow = isAlwaysPresent ? [] : [`| \`${keyPath}\` | ${property.description ?? ""} | | | none |`];
        const text = isAlwaysPresent ? requiredText : `required in \`${keyPath}\``;
        return [...sectionRow, ...listSettings(definitions, referencedName, `${keyPath}.`, text)];
    });
}

function renderSetting(keyPath: string, property: Property, noDefaultText: string): string {
    const unit = units.find(({ suffix }) => suffix.test(keyPath))?.unit ?? "";
    const range = [
        property.minimum === undefined ? "" : `from ${property.minimum}`,
        property.maximum === undefined ? "" : `to ${property.maximum}`,
        property.minLength === undefined || property.minLength < 2 ? "" : `${property.minLength} characters or more`,
        property.enum === undefined ? "" : property.enum.join(", "),
    ].filter(text => text !== "").join(" ");
    const defaultText = property.default === undefined ? noDefaultText : String(property.default);
    return `| \`${keyPath}\` | ${property.description ?? ""} | ${unit} | ${range} | ${defaultText} |`;
}

suite("the settings page has every key with its unit and default", () => {
    const head = ["| key | meaning | unit | allowed | default |", "|---|---|---|---|---|"];
    checkTable("docs/operations/settings.md", "settings", [
        ...head,
        ...listSettings(readDefinitions(), "EntrySettings", "", "required"),
    ]);
});

/** Reads the values of a constant object from the source of a package that this one doesn't depend on. */
function readConstantValues(file: string, table: string): readonly string[] {
    const text = fs.readFileSync(path.join(root, file), "utf8");
    const body = new RegExp(`const ${table} = \\{([^]*?)\\n\\} as const`).exec(text)?.[1] ?? "";
    return [...body.matchAll(/^ {4}\w+: "(.+)",$/gm)].map(match => match[1] ?? "");
}

suite("the page on planned stops lists every wait reason", () => {
    const page = fs.readFileSync(path.join(root, "docs/operations/planned-stops.md"), "utf8");
    const rows = [...page.matchAll(/^\| `([a-z-]+)` \|/gm)].map(match => match[1]);
    const reasons = readConstantValues("packages/planner/src/draft.ts", "WaitReason");
    assert.ok(reasons.length > 0);
    assert.equal(reasons.filter(reason => !rows.includes(reason)), []);
});

suite("every relative link in the documentation leads to an existing file", () => {
    for (const file of listDocuments()) {
        const text = fs.readFileSync(path.join(root, file), "utf8");
        for (const [, target = ""] of text.matchAll(/\]\(([^)#:]+)(?:#[^)]*)?\)/g)) {
            assert.ok(fs.existsSync(path.join(root, path.dirname(file), target)), `${file}: ${target}`);
        }
    }
});

suite("every command in the documentation can be parsed", () => {
    const cli = commandLine.createCli();
    let commands = 0;
    for (const file of listDocuments()) {
        const text = fs.readFileSync(path.join(root, file), "utf8");
        const blocks = [...text.matchAll(/^ {4,}(?:\$ )?catkinwharf (.+)$/gm)].map(match => match[1]);
        const spans = [...text.matchAll(/`catkinwharf ([a-z]+ [^`.]+)`/g)].map(match => match[1]);
        for (const line of [...blocks, ...spans]) {
            const args = [...(line ?? "").matchAll(/"([^"]*)"|(\S+)/g)].map(match => match[1] ?? match[2] ?? "");
            assert.not.throws(
                () => cli.process(args, harness.createParseContext()),
                undefined,
                `${file}: ${line}`,
            );
            commands += 1;
        }
    }
    assert.ok(commands > 0);
});

suite.run();
