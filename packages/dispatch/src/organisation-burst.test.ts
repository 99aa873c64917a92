/** Whether the organisations that keep to their rates are served while a large one sends six times its usual load. */
import type * as platform from "@catkinwharf/platform";
import * as scheduling from "@catkinwharf/scheduling";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as burstPlay from "./testing/burst-play.js";

const suite = uvu.suite("organisation burst");

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
/** Share of the usual share on time that counts as being served as without the burst. */
const asWithoutBurst = 0.97;
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
    /** Whether submissions are refused by the waits that the coordinator publishes. */
    readonly refuses?: boolean;
}

/** Plays the load and returns its jobs. */
async function playLoad(
    { seed, burstFactor, committedFactor, largeQuota, refuses }: Load,
): Promise<burstPlay.SimulatedJob[]> {
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
    const accepts = refuses === true ? createIntake(organisations) : undefined;
    return await burstPlay.play({
        submitters,
        organisations,
        countServers: () => serverCount,
        end: playEnd,
        ...(accepts === undefined ? {} : { accepts }),
    });
}

/** Refuses jobs beyond the committed rate that can't meet their objective, as entry processes do. */
function createIntake(
    organisations: readonly platform.operatorRecords.Organisation[],
): NonNullable<burstPlay.PlayOptions["accepts"]> {
    const rates = new scheduling.CommittedRates();
    rates.setWeights(new Map(organisations.map(({ name, weight }) => [name, weight])));
    return (job, waits) => {
        const wait = rates.wouldBeBeyond(job) ? waits?.beyondRate[burstPlay.route.service] ?? 0 : 0;
        const isAccepted = scheduling.canMeetObjective(job, burstPlay.route, wait);
        if (isAccepted) {
            rates.add(job);
        }
        return isAccepted;
    };
}

function isSmall({ entry }: burstPlay.SimulatedJob): boolean {
    return entry.job!.organisation !== "large";
}

/** Share on time of the jobs of the small organisations. */
async function measureSmall(load: Load): Promise<number> {
    return burstPlay.measureShareOnTime((await playLoad(load)).filter(isSmall));
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
    assert.ok(burst >= asWithoutBurst * calm, `${burst.toFixed(3)} on time instead of ${calm.toFixed(3)}`);
});

suite("small organisations are served as without the burst by committed rates alone", async () => {
    const load = { committedFactor: 1.5, largeQuota: 0 };
    const calm = await measureMean({ ...load, burstFactor: 1 });
    const burst = await measureMean({ ...load, burstFactor: 6 });
    assert.ok(burst >= asWithoutBurst * calm, `${burst.toFixed(3)} on time instead of ${calm.toFixed(3)}`);
});

suite(
    "only jobs beyond the committed rate are refused, only in the burst, and few of those that would have been on time",
    async () => {
        const load = { seed: 2, committedFactor: 1.5, largeQuota: 0 };
        const calm = await playLoad({ ...load, burstFactor: 1, refuses: true });
        assert.ok(calm.every(({ accepted }) => accepted));
        const burst = await playLoad({ ...load, burstFactor: 6, refuses: true });
        const refused = burst.filter(({ accepted }) => !accepted);
        assert.ok(refused.length >= 30, `${refused.length} refused`);
        assert.not(refused.some(isSmall));
        const countOnTime = (jobs: readonly burstPlay.SimulatedJob[]) => {
            const large = jobs.filter(job => !isSmall(job));
            return Math.round(burstPlay.measureShareOnTime(large) * large.length);
        };
        const without = countOnTime(await playLoad({ ...load, burstFactor: 6 }));
        assert.ok(countOnTime(burst) >= 0.85 * without, `${countOnTime(burst)} on time instead of ${without}`);
    },
);

suite.run();
