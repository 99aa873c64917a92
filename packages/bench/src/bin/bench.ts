/**
 * Measures request handling in a scenario under a policy, with real entry processes and stand-ins.
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
/** Pairs of calls in a direct comparison for each second of `--seconds`. */
const pairsPerSecond = 100;

class BenchCommand extends clipanion.Command {
    deployment = clipanion.Option.String("--deployment", "small", {
        description: "Name of a deployment file without its extension, or small.",
    });
    scenario = clipanion.Option.String("--scenario", "bursts", {
        description: [...Object.keys(requestScenarios.requestScenarios), directScenario].join(", "),
    });
    policy = clipanion.Option.String("--policy", "chosen", {
        description: Object.keys(requestPolicies.requestPolicies).join(", "),
    });
    seed = clipanion.Option.String("--seed", "1", { description: "Seed of the load." });
    seconds = clipanion.Option.String("--seconds", "24", { description: "Duration of the load." });
    stretch = clipanion.Option.String("--stretch", "1", {
        description: "Factor by which all run times are multiplied; fewer calls a second then fill the slots.",
    });
    json = clipanion.Option.Boolean("--json", false, { description: "Print the result as JSON." });

    override async execute(): Promise<number> {
        return this.scenario === directScenario ? this.#compare() : this.#run();
    }

    async #compare(): Promise<number> {
        const pairs = Number(this.seconds) * pairsPerSecond;
        const result = await directCompare.compareDirect(Number(this.seed), pairs);
        report.print(JSON.stringify(result, undefined, this.json ? undefined : 4));
        return 0;
    }

    async #run(): Promise<number> {
        const deployment = deploymentFile.readNamedDeployment(this.deployment);
        if (deployment.isErr()) {
            this.context.stderr.write(`bench: ${settings.describeError(deployment.error)}\n`);
            return 1;
        }
        const loadBefore = os.loadavg()[0] ?? 0;
        const result = await requestBench.runRequestBench({
            deployment: requestBench.stretchRunTimes(deployment.value, Number(this.stretch)),
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
