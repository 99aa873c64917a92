/**
 * Runs the soak for one seed or several, one after the other. Exits with 1 if a rule was broken.
 */
import * as bench from "@catkinwharf/bench";
import * as clipanion from "clipanion";
import * as path from "node:path";
import * as soak from "../soak.js";

/** Most broken rules of a kind that are printed. */
const maxPrinted = 5;

class JobSoakCommand extends clipanion.Command {
    seed = clipanion.Option.String("--seed", "1", { description: "Seed of load and faults." });
    seeds = clipanion.Option.String("--seeds", "1", { description: "Number of seeds, from the first one on." });
    seconds = clipanion.Option.String("--seconds", "45", { description: "Time in which faults begin, for each seed." });
    processes = clipanion.Option.String("--processes", "5", { description: "Number of entry processes." });
    machines = clipanion.Option.String("--machines", "6", { description: "Machines of each of the two services." });
    rate = clipanion.Option.String("--rate", "8", { description: "Mean number of jobs per second." });
    interval = clipanion.Option.String("--interval", "700", {
        description: "Mean time in ms between the beginnings of two faults.",
    });
    organisations = clipanion.Option.Boolean("--organisations", {
        description: "Whether the deployment has organisations; with odd seeds unless given.",
    });
    racks = clipanion.Option.String("--racks", "8000", {
        description: "Mean time in ms between the beginnings of two faults of whole racks; 0 for none.",
    });
    lateWrites = clipanion.Option.String("--late-writes", "5000", {
        description: "Mean time in ms between the beginnings of two faults of writes beside cancels; 0 for none.",
    });
    strainingJobs = clipanion.Option.Boolean("--straining-jobs", true, {
        description: "Submit some jobs with very many tasks, times or steps, and cancel some that weren't accepted.",
    });
    slowLink = clipanion.Option.String("--slow-link", "60000", {
        description: "Bytes per second at which the last process reads from the store; 0 for as many as the others.",
    });
    killAll = clipanion.Option.Boolean("--kill-all", true, {
        description: "Kill all processes at once when the other faults have ended.",
    });
    faultyJobs = clipanion.Option.Boolean("--faulty-jobs", true, {
        description: "Submit some jobs whose tasks fail or crash their servers.",
    });
    only = clipanion.Option.String("--only", "", { description: "Names of faults to draw from, separated by commas." });
    program = clipanion.Option.String("--program", { description: "Program of the entry processes." });
    logs = clipanion.Option.String("--logs", { description: "Folder for the logs of the processes." });
    verbose = clipanion.Option.Boolean("--verbose", false, { description: "Print each fault." });

    override async execute(): Promise<number> {
        let broken = false;
        for (let seed = Number(this.seed); seed < Number(this.seed) + Number(this.seeds); seed++) {
            const lines: string[] = [];
            const summary = await soak.runSoak({
                seed,
                duration: Number(this.seconds) * 1000,
                processes: Number(this.processes),
                machinesPerService: Number(this.machines),
                rate: Number(this.rate),
                faultInterval: Number(this.interval),
                ...this.racks === "0" ? {} : { rackFaultInterval: Number(this.racks) },
                ...this.slowLink === "0" ? {} : { slowLink: Number(this.slowLink) },
                ...this.lateWrites === "0" ? {} : { lateWriteInterval: Number(this.lateWrites) },
                hasStrainingJobs: this.strainingJobs,
                killsAllAtEnd: this.killAll,
                hasFaultyJobs: this.faultyJobs,
                asksForJobs: true,
                ...this.organisations === undefined ? {} : { hasOrganisations: this.organisations },
                faultNames: this.only === "" ? undefined : this.only.split(","),
                program: this.program === undefined ? undefined : path.resolve(this.program),
                logFolder: this.logs === undefined ? undefined : path.join(this.logs, String(seed)),
                onFault: line => this.verbose ? bench.print(line) : lines.push(line),
            }).catch((error: unknown) => bench.print(`seed ${seed}: ${String(error)}`));
            if (summary === undefined) {
                broken = true;
                continue;
            }
            const { duplicateRuns, concurrentCoordinators, lostJobs, lateJobs, ...others } = summary;
            const { unaskedRuns, quotaExcesses, foreignRequests, ...counts } = others;
            const kinds = [
                duplicateRuns,
                concurrentCoordinators,
                lostJobs,
                unaskedRuns,
                quotaExcesses,
                foreignRequests,
            ];
            bench.print(JSON.stringify({
                seed,
                twice: duplicateRuns.length,
                one: concurrentCoordinators.length,
                lost: lostJobs.length,
                late: lateJobs.length,
                unasked: unaskedRuns.length,
                quota: quotaExcesses.length,
                route: foreignRequests.length,
                ...counts,
            }));
            kinds.flatMap(found => found.slice(0, maxPrinted)).forEach(bench.print);
            broken ||= counts.ownEnds > 0 || kinds.some(found => found.length > 0);
        }
        return broken ? 1 : 0;
    }
}

// Exits by itself, so that the processes of the deployment end with it.
process.once("SIGINT", () => process.exit(1));
process.once("SIGTERM", () => process.exit(1));

const cli = new clipanion.Cli({ binaryName: "job-soak" });
cli.register(JobSoakCommand);
process.exit(await cli.run(process.argv.slice(2)));
