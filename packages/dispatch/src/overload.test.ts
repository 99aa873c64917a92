/** Whom a burst of quick jobs above the fleet's capacity serves, by the decisions and on a clock of the test. */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as burstPlay from "./testing/burst-play.js";

const suite = uvu.suite("overload");

/** Times in ms. */
const burstEnd = 8000;
const playEnd = 16_000;
/** Time until which only some of the servers are there. */
const growthEnd = 3000;
const serverCount = 19;
const firstServerCount = 6;
const jobsPerSecond = 18;

/** Plays the burst and returns its jobs. */
async function playBurst(seed: number): Promise<burstPlay.SimulatedJob[]> {
    return await burstPlay.play({
        submitters: [{
            organisation: undefined,
            seed,
            countDue: now => Math.floor(Math.min(now, burstEnd) * jobsPerSecond / 1000),
        }],
        organisations: [],
        countServers: now => now < growthEnd ? firstServerCount : serverCount,
        end: playEnd,
    });
}

suite("in a burst above the capacity nearly every job ends just after its objective", async () => {
    for (const seed of [1, 2, 3]) {
        const jobs = await playBurst(seed);
        const share = burstPlay.measureShareOnTime(jobs);
        assert.ok(share >= 0.39, `seed ${seed}: ${share.toFixed(3)} of the jobs within their objective`);
    }
});

suite.run();
