/** Runs a short soak for a test. */
import * as assert from "uvu/assert";
import * as soak from "../soak.js";

/** Fails with the faults that began if a rule was broken. */
export async function assertRulesHold(options: Partial<soak.SoakOptions>): Promise<void> {
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
    const { duplicateRuns, concurrentCoordinators, lostJobs, unaskedRuns, quotaExcesses, foreignRequests } = summary;
    const ofJobs = [...duplicateRuns, ...lostJobs, ...unaskedRuns, ...quotaExcesses, ...foreignRequests];
    assert.equal([...concurrentCoordinators, ...ofJobs], [], lines.join("\n"));
    assert.is(summary.ownEnds, 0, lines.join("\n"));
    assert.ok(summary.accepted > 0 && summary.runs > 0 && summary.faults > 0);
}
