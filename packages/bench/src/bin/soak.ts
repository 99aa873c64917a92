/**
 * Injects random faults into a deployment of real processes under load and checks the service guarantees.
 *
 * The seed determines the load and the order of the faults; how the processes react also depends on the machine. Exits
 * with 1 if a guarantee was violated.
 */
import * as settings from "@catkinwharf/settings";
import * as testUtils from "@catkinwharf/test-utils";
import * as clipanion from "clipanion";
import * as deploymentFile from "../deployment-file.js";
import * as load from "../load.js";
import * as report from "../report.js";
import * as benchSession from "../session.js";
import * as soak from "../soak.js";

class SoakCommand extends clipanion.Command {
    deployment = clipanion.Option.String("--deployment", "small", {
        description: "Name of a deployment file without its extension, or small.",
    });
    seed = clipanion.Option.String("--seed", "1", { description: "Seed of load and faults." });
    minutes = clipanion.Option.String("--minutes", "1", { description: "Duration of the run." });
    rate = clipanion.Option.String("--rate", "150", { description: "Mean calls per second over all services." });
    only = clipanion.Option.String("--only", "", {
        description: "Names of the faults to draw from, separated by commas.",
    });
    json = clipanion.Option.Boolean("--json", false, { description: "Print the summary as JSON." });

    override async execute(): Promise<number> {
        const loaded = deploymentFile.readNamedDeployment(this.deployment);
        if (loaded.isErr()) {
            this.context.stderr.write(`soak: ${settings.describeError(loaded.error)}\n`);
            return 1;
        }
        const deployment = loaded.value;
        const seed = Number(this.seed);
        const launch: testUtils.LaunchOptions = {
            deployment,
            proxied: true,
            settingsOverrides: { requests: { silentConnectionMs: 1_500 } },
        };
        const scale = load.computeScale(deployment, load.burstShape, Number(this.rate));
        return benchSession.runSession({ launch, seed, maxAttempts: 4 }, async session => {
            const summary = await soak.runSoak(session, {
                durationMs: Number(this.minutes) * 60_000,
                scale,
                names: this.only === "" ? undefined : this.only.split(","),
                onFault: line => this.json ? undefined : report.print(line),
            });
            this.#print(seed, summary);
            return summary.violations.length === 0 ? 0 : 1;
        });
    }

    #print(seed: number, summary: soak.SoakSummary): void {
        if (this.json) {
            report.print(JSON.stringify({ seed, ...summary }));
            return;
        }
        report.print(`Seed ${seed}: ${summary.calls} calls, ${summary.faults} faults.`);
        report.printCounts(summary.finals);
        report.printViolations(summary.violations);
    }
}

const cli = new clipanion.Cli({ binaryName: "soak" });
cli.register(SoakCommand);
process.exit(await cli.run(process.argv.slice(2)));
