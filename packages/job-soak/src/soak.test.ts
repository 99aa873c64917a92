/**
 * A short soak with a fixed seed. Longer ones are run by hand, see DEVELOPERS.md.
 */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as soak from "./soak.js";

const suite = uvu.suite("soak");

suite("no task runs twice and no two processes coordinate under random faults", async () => {
    const lines: string[] = [];
    const summary = await soak.runSoak({
        seed: 1,
        duration: 30_000,
        processes: 4,
        machinesPerService: 4,
        rate: 6,
        faultInterval: 600,
        faultNames: undefined,
        program: undefined,
        logFolder: undefined,
        onFault: line => lines.push(line),
    });
    const broken = [...summary.duplicateRuns, ...summary.concurrentCoordinators];
    assert.equal(broken, [], lines.join("\n"));
    assert.ok(summary.accepted > 0 && summary.runs > 0 && summary.faults > 0);
});

suite.run();
