/**
 * Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
 */
import * as path from "node:path";
import * as deployments from "./deployment.js";
import * as records from "./record.js";

/** What a case learns from its run. */
export const Outcome = { held: 0, broken: 1, notRun: 2 } as const;
export type Outcome = (typeof Outcome)[keyof typeof Outcome];

/** Longest time in ms of a run. */
const limit = 115_000;

/**
 * @param number of the case; the record goes into its folder
 * @param play receives whether the disruption takes place
 */
export async function run(
    number: number,
    play: (deployment: deployments.Deployment, record: records.Record, trouble: boolean) => Promise<Outcome>,
): Promise<never> {
    const folder = path.resolve(import.meta.dirname, "../..", String(number));
    const record = new records.Record(path.join(folder, "record.txt"));
    const trouble = process.env["TROUBLE"] !== "0";
    const deployment = new deployments.Deployment();
    record.add(`case ${number}, ${trouble ? "with" : "without"} the disruption`);
    let outcome: Outcome = Outcome.notRun;
    try {
        outcome = await Promise.race([
            play(deployment, record, trouble),
            deployments.pause(limit).then(() => {
                record.add("the time is over");
                return Outcome.notRun;
            }),
        ]);
    }
    catch (error) {
        record.add(`the case couldn't run: ${error instanceof Error ? error.stack : String(error)}`);
    }
    record.add(["the rule held", "the rule was broken", "the case couldn't run"][outcome]!);
    if (process.env["LOGS"] !== undefined) {
        deployment.nodes.forEach(node => node.lines.forEach(line => record.add(`${node.name} ${line}`)));
    }
    await deployment.stop();
    process.exit(outcome);
}
