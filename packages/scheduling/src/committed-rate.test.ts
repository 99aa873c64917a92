/** Committed rates: which of an organisation's jobs have a claim to be served. */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as scheduling from "./index.js";

const suite = uvu.suite("committed rate");
const start = 1_000_000_020_000; // Begins a period.

function createJobs(
    count: number,
    interval: number,
    organisation: string | undefined = "large",
): scheduling.SubmittedJob[] {
    return Array.from({ length: count }, (_, i) => ({
        id: (i * 7919 % 65_536).toString(16).padStart(16, "0"),
        organisation,
        submittedAt: Math.floor(start + i * interval),
    }));
}

function createRates(jobs: readonly scheduling.SubmittedJob[], weight = 10): scheduling.CommittedRates {
    const rates = new scheduling.CommittedRates();
    rates.setWeights(new Map([["large", weight]]));
    jobs.forEach(job => rates.add(job));
    return rates;
}

/** Numbers from 0 to 1 by a seed. */
function createRandom(seed: number): () => number {
    let state = seed;
    return () => {
        state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
        return state / 2 ** 32;
    };
}

suite("no job lies beyond a rate that its organisation keeps to", () => {
    const jobs = createJobs(200, 100);
    const rates = createRates(jobs);
    assert.not(jobs.some(job => rates.isBeyond(job)));
});

suite("of six times the rate, the rate and one burst lie within it, evenly over time", () => {
    const jobs = createJobs(600, 1000 / 60);
    const rates = createRates(jobs);
    const within = jobs.filter(job => !rates.isBeyond(job));
    assert.ok(Math.abs(within.length - (20 + 100)) <= 2, `${within.length}`);
    for (let from = start + 3000; from < start + 10_000; from += 1000) {
        const count = within.filter(({ submittedAt }) => submittedAt >= from && submittedAt < from + 1000).length;
        assert.ok(count >= 9 && count <= 11, `${count} in a second`);
    }
});

suite("without an organisation, without a rate or with rate 0, no job lies beyond it", () => {
    const none = createJobs(500, 1).map(job => ({ ...job, organisation: undefined }));
    const other = createJobs(500, 1, "other");
    assert.not(none.some(job => createRates(none).isBeyond(job)));
    assert.not(other.some(job => createRates(other).isBeyond(job)));
    const zero = createJobs(500, 1);
    const rates = createRates(zero, 0);
    assert.not(zero.some(job => rates.isBeyond(job)));
});

suite("few random arrivals at half of a fractional rate lie beyond it", () => {
    const random = createRandom(1);
    let at = start;
    const jobs = Array.from({ length: 2000 }, (_, i) => {
        at += -Math.log(1 - random()) * 4000;
        return { id: i.toString(16).padStart(16, "0"), organisation: "large", submittedAt: Math.floor(at) };
    });
    const rates = createRates(jobs, 0.5);
    const beyond = jobs.filter(job => rates.isBeyond(job)).length;
    assert.ok(beyond / jobs.length < 0.02, `${beyond} of ${jobs.length}`);
});

suite("the order in which submissions are read, and reading one again, doesn't change the answers", () => {
    const random = createRandom(2);
    const jobs = createJobs(900, 30);
    const inOrder = createRates(jobs);
    const expected = jobs.map(job => inOrder.isBeyond(job));
    const mixed = createRates([]);
    const shuffled = [...jobs].map(job => ({ job, key: random() })).sort((a, b) => a.key - b.key);
    for (const { job } of [...shuffled, ...shuffled.slice(0, 100)]) {
        mixed.add(job);
        mixed.isBeyond(job); // Asked between them, too.
    }
    assert.equal(jobs.map(job => mixed.isBeyond(job)), expected);
    assert.ok(expected.includes(true) && expected.includes(false));
});

suite("a successor that no longer reads the jobs of earlier periods gets the same answers", () => {
    const jobs = createJobs(3000, 30);
    const all = createRates(jobs);
    const recent = jobs.filter(({ submittedAt }) => submittedAt >= start + 60_000);
    const successor = createRates(recent);
    assert.equal(recent.map(job => successor.isBeyond(job)), recent.map(job => all.isBeyond(job)));
});

suite("a new weight decides about known jobs", () => {
    const jobs = createJobs(300, 20);
    const rates = createRates(jobs, 10);
    assert.ok(jobs.some(job => rates.isBeyond(job)));
    rates.setWeights(new Map([["large", 50]]));
    assert.not(jobs.some(job => rates.isBeyond(job)));
});

suite("a job that would be beyond the rate is beyond it once it is stored", () => {
    const jobs = createJobs(300, 20);
    const rates = createRates([]);
    let beyond = 0;
    for (const job of jobs) {
        const expected = rates.wouldBeBeyond(job);
        rates.add(job);
        assert.is(rates.isBeyond(job), expected);
        beyond += expected ? 1 : 0;
    }
    assert.ok(beyond > 0 && beyond < jobs.length);
});

suite("old jobs are forgotten", () => {
    const jobs = createJobs(300, 1);
    const rates = createRates(jobs);
    rates.forgetOld(start + 100_000);
    assert.ok(jobs.some(job => rates.isBeyond(job)));
    rates.forgetOld(start + 400_000);
    assert.not(jobs.some(job => rates.isBeyond(job)));
});

suite.run();
