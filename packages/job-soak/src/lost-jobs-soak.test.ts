/** A short soak with a fixed seed, at whose end each process is asked for each job. Longer ones are run by hand, see DEVELOPERS.md. */
import * as uvu from "uvu";
import * as soakRules from "./testing/soak-rules.js";

const suite = uvu.suite("lost jobs soak");

suite("a job is lost, as racks of servers go dark in turn and all processes are killed at the end", () => {
    return soakRules.assertRulesHold({
        duration: 20_000,
        machinesPerService: 6,
        faultInterval: 60_000,
        faultNames: ["configuration"],
        rackFaultInterval: 4000,
        killsAllAtEnd: true,
        hasFaultyJobs: true,
        asksForJobs: true,
    });
});

suite.run();
