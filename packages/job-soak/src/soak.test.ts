/**
 * Short soaks with fixed seeds. Longer ones are run by hand, see DEVELOPERS.md.
 */
import * as uvu from "uvu";
import * as soakRules from "./testing/soak-rules.js";

const suite = uvu.suite("soak");

suite("a task runs twice, or two processes coordinate, under random faults", () => soakRules.assertRulesHold({}));

suite("an organisation exceeds its quota, or is served without a valid key, under random faults", () => {
    return soakRules.assertRulesHold({ hasOrganisations: true, duration: 20_000 });
});

suite("two processes start each other's tasks, as the last heartbeat of a killed coordinator hides a claim", () => {
    return soakRules.assertRulesHold({
        duration: 45_000,
        processes: 6,
        machinesPerService: 6,
        rate: 8,
        faultInterval: 11_000,
        faultNames: ["kill-before-last-heartbeat"],
    });
});

suite("a task runs twice, as the coordinator misjudges the lease of a server that restarted unnoticed", () => {
    return soakRules.assertRulesHold({
        duration: 25_000,
        machinesPerService: 16,
        rate: 12,
        faultInterval: 2500,
        faultNames: ["server-restart-silent", "servers-restarted-and-cut", "servers-restarted-and-cut"],
    });
});

suite("a task runs twice, as a later life of a server carries out calls that were meant for a former one", () => {
    return soakRules.assertRulesHold({
        duration: 20_000,
        machinesPerService: 16,
        rate: 12,
        faultInterval: 2500,
        faultNames: ["servers-restarted-before-late-calls"],
    });
});

suite.run();
