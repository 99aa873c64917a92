/**
 * Checks that only an instance's home sent requests to its backend server, from the source of each execution.
 */
import * as schema from "@catkinwharf/schema";
import * as testUtils from "@catkinwharf/test-utils";
import * as fleetReader from "./fleet-reader.js";
import type * as promiseChecker from "./promise-checker.js";

/** An instance's home from a time on. */
interface HomePeriod {
    /** Platform time in ms since 1970. */
    readonly from: number;
    readonly entry: string | undefined;
}

/** `sources` names the entry instance of each source IP number. */
export function findForeignWork(
    executions: readonly testUtils.Execution[],
    fleetEntries: readonly schema.platform.LogEntry[],
    sources: ReadonlyMap<string, string>,
): promiseChecker.Violation[] {
    const histories = readHomes(fleetEntries);
    return executions.flatMap(run => {
        const sender = sources.get(run.source);
        const home = histories.get(run.instance)?.filter(period => period.from <= run.start).at(-1)?.entry;
        return sender === undefined || sender === home ? [] : [{
            promise: "only the home sends work",
            detail: `${run.path} started on ${run.instance}, sent by ${sender} while the home was ${home}`,
            at: run.start,
        }];
    });
}

function readHomes(fleetEntries: readonly schema.platform.LogEntry[]): ReadonlyMap<string, readonly HomePeriod[]> {
    const histories = new Map<string, HomePeriod[]>();
    for (const { entry, application } of fleetReader.judgeRecords(fleetEntries)) {
        for (const name of application.state.instances.keys()) {
            const home = fleetReader.readHomeEntry(application.state, name);
            const history = histories.get(name) ?? [];
            if (history.length === 0 || history.at(-1)?.entry !== home) {
                history.push({ from: entry.appendedAt, entry: home });
                histories.set(name, history);
            }
        }
    }
    return histories;
}
