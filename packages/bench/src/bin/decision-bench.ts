/**
 * Runs the decision bench and prints its tables.
 *
 * Usage: node packages/bench/dist/bin/decision-bench.js [--seed N] [--runs N] [--reboot-ms N] [--scenario NAME ...]
 *     [--policy NAME ...] [--json] [FILE ...]
 * Each file is a deployment; by default, all files in `deployments` are run. Seeds are N, N + 1 and so on.
 */
import * as settings from "@catkinwharf/settings";
import * as fs from "node:fs";
import * as path from "node:path";
import * as util from "node:util";
import * as decisionBench from "../decision-bench.js";
import * as decisionReport from "../decision-report.js";

const directory = "deployments";

function main(): number {
    const { values, positionals } = util.parseArgs({
        allowPositionals: true,
        options: {
            "seed": { type: "string", default: "1" },
            "runs": { type: "string", default: "5" },
            "reboot-ms": { type: "string", default: "300000" },
            "scenario": { type: "string", multiple: true },
            "policy": { type: "string", multiple: true },
            "json": { type: "boolean", default: false },
        },
    });
    const files = positionals.length > 0 ? positionals : listDeployments();
    const results: decisionBench.DecisionResult[] = [];
    for (const file of files) {
        const deployment = settings.readDeployment(file);
        if (deployment.isErr()) {
            process.stderr.write(`${settings.describeError(deployment.error)}\n`);
            return 1;
        }
        for (let run = 0; run < Number(values.runs); run++) {
            const timed = { ...deployment.value, rebootMs: Number(values["reboot-ms"]) };
            results.push(...decisionBench.runDecisionBench(Number(values.seed) + run, timed, {
                scenarios: values.scenario,
                policies: values.policy,
            }));
        }
    }
    process.stdout.write(`${values.json ? JSON.stringify(results) : decisionReport.formatDecisionTable(results)}\n`);
    return 0;
}

function listDeployments(): string[] {
    return fs.readdirSync(directory).filter(name => name.endsWith(".jsonc")).sort().map(name =>
        path.join(directory, name)
    );
}

process.exitCode = main();
