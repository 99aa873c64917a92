/**
 * The coordinator is killed and starts again while the store leaves two appends unanswered and carries them out late: the
 * last one of the coordinator, and the one with which its successor shuts it out. At no time may two processes coordinate.
 */
import * as system from "../harness/system.js";

/** Least time in ms after which an append is carried out late; the pages say 1 to 6 s. */
const minLateness = 1000;
/** Time in ms after which the append of the successor is carried out. */
const successorLateness = 3000;
/** Time in ms for which the system may settle after the restart. */
const settleTime = 4000;
/** Time in ms for which orders and runs are watched. */
const watchTime = 12_000;
const jobCount = 6;

await system.runCase("1", async (deployment, log) => {
    const { store, machineOrders, workers } = deployment;
    await deployment.start(3, { quotes: 7 });
    await system.pause(2000);
    const leader = deployment.findCoordinator();
    let lastAppend: { readonly heldAt: number; readonly carryOut: () => void; } | undefined;
    let isSuccessorHeld = false;
    store.holdsAppend = ({ query, isEmpty }, carryOut) => {
        if (!system.hasTrouble || query.get("Topic") !== "keyed.ledger" || !query.has("Producer")) {
            return false;
        }
        if (query.get("epoch") === "1" && lastAppend === undefined) {
            lastAppend = { heldAt: performance.now(), carryOut };
            return true;
        }
        if (query.get("epoch") === "2" && isEmpty && !isSuccessorHeld) {
            isSuccessorHeld = true;
            setTimeout(carryOut, successorLateness);
            return true;
        }
        return false;
    };
    if (system.hasTrouble) {
        await deployment.waitFor("an append of the coordinator is held", () => lastAppend !== undefined);
        await deployment.kill(leader);
        await deployment.waitFor("a successor shuts it out", () => isSuccessorHeld);
        const { heldAt, carryOut } = lastAppend!;
        await system.pause(Math.max(0, heldAt + minLateness - performance.now()));
        carryOut();
        log.write("append-carried-out", { late: Math.round(performance.now() - heldAt) });
        deployment.launch(leader);
    }
    await system.pause(settleTime);
    store.put("keyed.op", "wave/1", {
        Wave: 1,
        Machines: ["m-quotes-4", "m-quotes-5", "m-quotes-6"],
        DurationS: 12,
        MaxCount: 1,
    });
    for (let i = 1; i <= jobCount; i++) {
        const id = i.toString(16).padStart(16, "0");
        await deployment.submit(`/quotes/${id}`, { work: 1500 }, [
            { Count: 4, Cpu: 5000, MemMb: 256, EstimateMs: 1500 },
            { Count: 4, Cpu: 5000, MemMb: 256, EstimateMs: 1500, DependsOn: [0] },
        ]);
        await system.pause(150);
    }
    await system.pause(watchTime);
    const holders = new Map<string, Set<string>>();
    for (const { machine, fencingToken, holder } of machineOrders) {
        const key = `${machine}, fence ${fencingToken}`;
        holders.set(key, (holders.get(key) ?? new Set<string>()).add(holder));
    }
    const shared = [...holders].filter(([, names]) => names.size > 1).map(([key, names]) => [key, ...names]);
    const overlaps = workers.started.filter((run, i) =>
        workers.started.slice(0, i).some(earlier =>
            earlier.task === run.task && (earlier.endedAt ?? Infinity) > run.startedAt
        )
    ).map(run => `${run.task} run ${run.number} on ${run.server}`);
    log.write("judged", { twoHoldersWithOneFence: shared, runsAtTheSameTime: overlaps });
    return shared.length > 0 || overlaps.length > 0 ? system.Verdict.broken : system.Verdict.held;
});
