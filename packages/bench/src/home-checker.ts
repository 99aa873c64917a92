/**
 * Checks that backend servers received requests only from the home of their instance, by the source address of each
 * execution.
 */
import * as schema from "@catkinwharf/schema";
import * as testUtils from "@catkinwharf/test-utils";
import * as fleetReader from "./fleet-reader.js";
import type * as guaranteeChecker from "./guarantee-checker.js";

/** Home of an instance from a time until the next period of the same instance. */
interface HomePeriod {
    /** Time of the platform's clock in ms since the Unix epoch. */
    readonly from: number;
    readonly entry: string | undefined;
}

/**
 * Finds executions whose sender was not the instance's home when they started. Executions from an unknown source are
 * skipped.
 *
 * @param sources names of entry instances by source IP address
 */
export function findRequestsOutsideHome(
    executions: readonly testUtils.Execution[],
    fleetEntries: readonly schema.platform.LogEntry[],
    sources: ReadonlyMap<string, string>,
): guaranteeChecker.Violation[] {
    const histories = buildHomeHistories(fleetEntries);
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

function buildHomeHistories(
    fleetEntries: readonly schema.platform.LogEntry[],
): ReadonlyMap<string, readonly HomePeriod[]> {
    const histories = new Map<string, HomePeriod[]>();
    for (const { entry, result } of fleetReader.foldRecords(fleetEntries)) {
        for (const name of result.state.instances.keys()) {
            const home = fleetReader.findHomeEntry(result.state, name);
            const history = histories.get(name) ?? [];
            if (history.length === 0 || history.at(-1)?.entry !== home) {
                history.push({ from: entry.appendedAt, entry: home });
                histories.set(name, history);
            }
        }
    }
    return histories;
}
