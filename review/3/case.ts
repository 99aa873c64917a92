/**
 * Sixteen jobs whose work units last, one on each server at most. One server is lost for good, so each of these jobs has
 * one work unit that fits nowhere. A short job that is handed in then must be run: there is capacity for it many times
 * over.
 */
import * as system from "../harness/system.js";

const serverCount = 7;
/** Time in ms for which the lasting work units have run when the server is lost. */
const settleTime = 4000;
const lastingJobs = 16;
const shortJob = "00000000000000bb";
/** Time in ms from the loss of the server to the removal of its entry: three of its reports are missing. */
const removalDelay = 4500;
/** Time in ms from the loss of the server to the short job. */
const submissionDelay = 7000;
/** `finish_s` of the pages, and the 3 s for which nothing may be running after it, in ms. */
const finishTime = 14_000;
const idleTime = 3000;

function formatId(index: number): string {
    return (0xa00 + index).toString(16).padStart(16, "0");
}

await system.runCase("3", async (deployment, log) => {
    await deployment.start(2, { quotes: serverCount });
    for (let i = 0; i < lastingJobs; i++) {
        await deployment.submit(`/quotes/${formatId(i)}`, {}, [{
            Count: serverCount,
            Cpu: 100,
            MemMb: 64,
            EstimateMs: 500,
            LongRunning: true,
            AntiAffinity: 1,
            MayMiss: 1,
        }]);
    }
    const expected = lastingJobs * serverCount;
    await deployment.waitFor("all lasting work units run", () => {
        return deployment.workers.started.filter(run => run.endedAt === undefined).length === expected;
    });
    await system.pause(settleTime);
    const lost = deployment.workers.all[0]!;
    if (system.hasTrouble) {
        lost.crash();
        await system.pause(removalDelay);
        deployment.unregister(lost);
        await system.pause(submissionDelay - removalDelay);
    }
    await deployment.submit(`/quotes/${shortJob}`, { work: 300 }, [
        { Count: 2, Cpu: 500, MemMb: 64, EstimateMs: 300 },
    ]);
    await system.pause(finishTime);
    await deployment.send("GET", `/quotes/${shortJob}`);
    await system.pause(idleTime);
    const { state } = await deployment.send("GET", `/quotes/${shortJob}`);
    const runs = deployment.workers.listRuns(shortJob).length;
    log.write("judged", { state, runs });
    return runs === 0 ? system.Verdict.broken : system.Verdict.held;
});
