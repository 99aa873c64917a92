/** Replays the golden files: recorded entries with their verdicts, the final state and its hash. */
import * as fs from "node:fs";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as fleetState from "./index.js";

interface GoldenEntry extends fleetState.LogEntry {
    readonly verdict: string;
    readonly version: number;
}

interface GoldenFile {
    readonly entries: readonly GoldenEntry[];
    readonly state: unknown;
    readonly hash: string;
}

const folder = new URL("../src/golden/", import.meta.url);
const suite = uvu.suite("golden files");

for (const file of fs.readdirSync(folder)) {
    suite(file, () => {
        const golden: GoldenFile = JSON.parse(fs.readFileSync(new URL(file, folder), "utf8"));
        const end = golden.entries.reduce((state, entry) => {
            const { state: next, verdict } = fleetState.applyEntry(state, entry);
            const actual = { verdict: verdict.ignored ?? "applied", version: verdict.version };
            assert.equal(actual, { verdict: entry.verdict, version: entry.version }, `offset ${entry.offset}`);
            return next;
        }, fleetState.emptyFleetState);
        assert.equal(fleetState.storeState(end), golden.state);
        assert.is(fleetState.hashState(end), golden.hash);
    });
}

suite.run();
