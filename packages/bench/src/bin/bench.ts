/**
 * Measures how requests fare in a scenario under a policy, with real processes and stand-ins.
 */
import * as settings from "@catkinwharf/settings";
import * as clipanion from "clipanion";
import * as os from "node:os";
import * as deploymentFile from "../deployment-file.js";
import * as directCompare from "../direct-compare.js";
import * as report from "../report.js";
import * as requestBench from "../request-bench.js";
import * as requestPolicies from "../request-policies.js";
import * as requestReport from "../request-report.js";
import * as requestScenarios from "../request-scenarios.js";

const directScenario = "direct-compare";
/** Pairs of calls for each second that a comparison is asked to last. */
const pairsPerSecond = 100;

class BenchCommand extends clipanion.Command {
    deployment = clipanion.Option.String("--deployment", "small", {
        description: "Name of a deployment file, or small.",
    });
    scenario = clipanion.Option.String("--scenario", "bursts", {
        description: [...Object.keys(requestScenarios.requestScenarios), directScenario].join(", "),
    });
    policy = clipanion.Option.String("--policy", "chosen", {
        description: Object.keys(requestPolicies.requestPolicies).join(", "),
    });
    seed = clipanion.Option.String("--seed", "1", { description: "Seed of the load." });
    seconds = clipanion.Option.String("--seconds", "24", { description: "Length of the load." });
    stretch = clipanion.Option.String("--stretch", "1", {
        description: "Factor on all run times, so that fewer calls a second fill the slots.",
    });
    json = clipanion.Option.Boolean("--json", false, { description: "Print the result as JSON." });

    override async execute(): Promise<number> {
        return this.scenario === directScenario ? this.#compare() : this.#run();
    }

    async #compare(): Promise<number> {
        const pairs = Number(this.seconds) * pairsPerSecond;
        const comparison = await directCompare.compareDirect(Number(this.seed), pairs);
        report.print(JSON.stringify(comparison, undefined, this.json ? undefined : 4));
        return 0;
    }

    async #run(): Promise<number> {
        const read = deploymentFile.readNamedDeployment(this.deployment);
        if (read.isErr()) {
            this.context.stderr.write(`bench: ${settings.describeError(read.error)}\n`);
            return 1;
        }
        const loadBefore = os.loadavg()[0] ?? 0;
        const result = await requestBench.runRequestBench({
            deployment: requestBench.stretchRunTimes(read.value, Number(this.stretch)),
            scenario: this.scenario,
            policy: this.policy,
            seed: Number(this.seed),
            durationMs: Number(this.seconds) * 1_000,
        });
        if (result === undefined) {
            this.context.stderr.write(`bench: no scenario ${this.scenario} or no policy ${this.policy}\n`);
            return 1;
        }
        this.#print(result, loadBefore);
        return result.violations.length === 0 ? 0 : 1;
    }

    #print(result: requestBench.RequestBenchResult, loadBefore: number): void {
        if (this.json) {
            report.print(JSON.stringify({ ...result, loadBefore }));
            return;
        }
        requestReport.formatRequestResult(result).forEach(report.print);
        report.print(`load average before the run: ${loadBefore.toFixed(1)}`);
        report.printViolations(result.violations);
    }
}

const cli = new clipanion.Cli({ binaryName: "bench" });
cli.register(BenchCommand);
process.exit(await cli.run(process.argv.slice(2)));
