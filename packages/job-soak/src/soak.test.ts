/**
 * Short soaks with fixed seeds. Longer ones are run by hand, see DEVELOPERS.md.
 */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as soak from "./soak.js";

const suite = uvu.suite("soak");

async function assertRulesHold(options: Partial<soak.SoakOptions>): Promise<void> {
    const lines: string[] = [];
    const summary = await soak.runSoak({
        seed: 1,
        hasOrganisations: false,
        duration: 30_000,
        processes: 4,
        machinesPerService: 4,
        rate: 6,
        faultInterval: 600,
        faultNames: undefined,
        program: undefined,
        logFolder: undefined,
        onFault: line => lines.push(line),
        ...options,
    });
    const { duplicateRuns, concurrentCoordinators, quotaExcesses, foreignRequests } = summary;
    const broken = [...duplicateRuns, ...concurrentCoordinators, ...quotaExcesses, ...foreignRequests];
    assert.equal(broken, [], lines.join("\n"));
    assert.ok(summary.accepted > 0 && summary.runs > 0 && summary.faults > 0);
}

suite("a task runs twice, or two processes coordinate, under random faults", () => assertRulesHold({}));

suite("an organisation exceeds its quota, or is served without a valid key, under random faults", () => {
    return assertRulesHold({ hasOrganisations: true, duration: 20_000 });
});

suite("two processes start each other's tasks, as the last heartbeat of a killed coordinator hides a claim", () => {
    return assertRulesHold({
        duration: 45_000,
        processes: 6,
        machinesPerService: 6,
        rate: 8,
        faultInterval: 11_000,
        faultNames: ["kill-before-last-heartbeat"],
    });
});

suite("a task runs twice, as the coordinator misjudges the lease of a server that restarted unnoticed", () => {
    return assertRulesHold({
        duration: 25_000,
        machinesPerService: 16,
        rate: 12,
        faultInterval: 2500,
        faultNames: ["server-restart-silent", "servers-restarted-and-cut", "servers-restarted-and-cut"],
    });
});

suite("a task runs twice, as a later life of a server carries out calls that were meant for a former one", () => {
    return assertRulesHold({
        duration: 20_000,
        machinesPerService: 16,
        rate: 12,
        faultInterval: 2500,
        faultNames: ["servers-restarted-before-late-calls"],
    });
});

suite.run();
