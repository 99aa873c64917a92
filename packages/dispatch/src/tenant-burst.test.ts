/** Whether the organisations that keep to their rates are served while a large one sends six times its usual load. */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as burstPlay from "./testing/burst-play.js";

const suite = uvu.suite("tenant burst");

/** Times in ms. */
const burstStart = 2000;
const burstEnd = 10_000;
const submissionsEnd = 12_000;
const playEnd = 22_000;
/** Serve the usual load with half of their cores. */
const serverCount = 24;
/** Usual jobs per second. */
const largeRate = 4;
const smallRate = 0.5;
const smallNames = Array.from({ length: 20 }, (_, i) => `small-${i}`);
/** What the large organisation usually has running, in thousandths of a core. */
const usualLargeUsage = 276_000;

interface Load {
    readonly seed: number;
    /** How many times its usual load the large organisation sends in the burst. */
    readonly burstFactor: number;
    /** Committed rates as a multiple of the usual ones; 0 for none. */
    readonly committedFactor: number;
    /** Thousandths of a core; 0 for none. */
    readonly largeQuota: number;
}

/** Share on time of the jobs of the small organisations. */
async function measureSmall({ seed, burstFactor, committedFactor, largeQuota }: Load): Promise<number> {
    const organisations = ["large", ...smallNames].map(name => ({
        name,
        keys: [],
        weight: committedFactor * (name === "large" ? largeRate : smallRate),
        limit: { cpu: name === "large" ? largeQuota : 0, memory: 0, accelerators: 0 },
    }));
    const submitters = organisations.map(({ name }, i) => ({
        organisation: name,
        seed: 100 * seed + i,
        countDue: (now: number) => {
            const usual = name === "large" ? largeRate : smallRate;
            const excess = name === "large" ? (burstFactor - 1) * usual : 0;
            const burstTime = Math.max(0, Math.min(now, burstEnd) - burstStart);
            // The small ones' jobs don't come all at once.
            return Math.floor((usual * Math.min(now, submissionsEnd) + excess * burstTime) / 1000 + i * 0.37 % 1);
        },
    }));
    const jobs = await burstPlay.play({ submitters, organisations, countServers: () => serverCount, end: playEnd });
    return burstPlay.measureShareOnTime(jobs.filter(({ entry }) => entry.job!.organisation !== "large"));
}

async function measureMean(load: Omit<Load, "seed">): Promise<number> {
    const seeds = [1, 2, 3];
    let sum = 0;
    for (const seed of seeds) {
        sum += await measureSmall({ ...load, seed });
    }
    return sum / seeds.length;
}

suite("small organisations are served as without the burst when the large one has a quota", async () => {
    const load = { committedFactor: 1.5, largeQuota: 1.9 * usualLargeUsage };
    const calm = await measureMean({ ...load, burstFactor: 1 });
    const burst = await measureMean({ ...load, burstFactor: 6 });
    assert.ok(burst >= 0.95 * calm, `${burst.toFixed(3)} on time instead of ${calm.toFixed(3)}`);
});

suite("without quotas, the committed rate keeps most of the capacity for the small organisations", async () => {
    const load = { committedFactor: 1.5, largeQuota: 0 };
    const calm = await measureMean({ ...load, burstFactor: 1 });
    const burst = await measureMean({ ...load, burstFactor: 6 });
    // Tasks that have begun aren't preempted. By the objective alone 71% of those without the burst are on time.
    assert.ok(burst >= 0.82 * calm, `${burst.toFixed(3)} on time instead of ${calm.toFixed(3)}`);
});

suite.run();
