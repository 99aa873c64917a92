import * as fs from "node:fs";
import * as path from "node:path";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as metrics from "./metrics.js";

const page = fs.readFileSync(path.resolve(import.meta.dirname, "../../../docs/operations/metrics.md"), "utf8");
const suite = uvu.suite("metrics");

suite("the operators' page on metrics lists each counter and no other", () => {
    const rows = [...page.matchAll(/^\| `([a-z_]+)` \|/gm)].map(match => match[1]);
    const counters = rows.filter(name => name !== undefined && !name.startsWith("catkinwharf_"));
    assert.equal(counters.sort(), Object.keys(metrics.counterTable).sort());
});

suite("the operators' page on metrics lists each other metric of the entry process", async () => {
    const text = await new metrics.Metrics().render();
    const names = [...text.matchAll(/^# TYPE (catkinwharf_[a-z_]+)/gm)].map(match => match[1] ?? "");
    const others = names.filter(name => !Object.keys(metrics.counterTable).includes(toCounterName(name)));
    assert.ok(others.length > 0);
    for (const name of others) {
        assert.ok(page.includes(`\`${name}\``), name);
    }
});

function toCounterName(name: string): string {
    return name.replace(/^catkinwharf_(.*)_total$/, "$1");
}

suite.run();
