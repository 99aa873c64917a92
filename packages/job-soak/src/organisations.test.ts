/** Guards against a judge that sees no start above a quota, or no submission without a valid key. */
import * as bench from "@catkinwharf/bench";
import type * as platformStandIns from "@catkinwharf/platform-stand-ins";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as organisations from "./organisations.js";

const suite = uvu.suite("organisations of a soak");
const revocation = 5000;

function createRun(job: string, startedAt: number, endedAt?: number): platformStandIns.RunRecord {
    return {
        server: "i-1",
        task: `${job}.0.0.0`,
        run: 1,
        startedAt,
        endedAt,
        how: endedAt === undefined ? undefined : "done",
        fencingToken: 1,
        acknowledgedAt: undefined,
    };
}

suite("a start above an organisation's quota isn't found, or one within it is", () => {
    const drawn = new organisations.Organisations(new bench.RandomSource(1), revocation);
    const { name, keys, cpuLimit } = drawn.present[0]!;
    const credentials = { key: keys[0]!, organisation: name };
    const now = Date.now() + 1;
    // Two runs fill the quota; a third one is the task that the rule allows beyond it, and a fourth breaks it.
    const jobs = ["a", "b", "c", "d"];
    jobs.forEach(job => drawn.recordDemand(job, credentials, cpuLimit / 2));
    const runs = jobs.map((job, i) => createRun(job, now + i));
    assert.equal(drawn.findQuotaExcesses(runs.slice(0, 3)), []);
    assert.is(drawn.findQuotaExcesses(runs).length, 1);
    const inTurn = jobs.map((job, i) => createRun(job, now + 10 * i, now + 10 * (i + 1)));
    assert.equal(drawn.findQuotaExcesses(inTurn), []);
});

suite("a submission with a key that was never valid or is revoked, or a run for it, isn't found", async () => {
    const published: (readonly platformStandIns.OrganisationDescription[])[] = [];
    const drawn = new organisations.Organisations(new bench.RandomSource(1), revocation);
    const [first] = drawn.present[0]!.keys;
    const deployment = {
        publishConfiguration: (_: unknown, changed: readonly platformStandIns.OrganisationDescription[]) => {
            published.push(changed);
            if (!changed.some(({ keys }) => keys.includes(first!))) {
                drawn.stop();
            }
        },
    } as unknown as platformStandIns.StandInDeployment;
    await drawn.run(deployment, 1);
    const revokedAt = Date.now();
    drawn.recordDemand("a", { key: first!, organisation: "hot" }, 500);
    const judge = (key: string, sentAt: number) => drawn.findForeignRequests([{ job: "a", key, sentAt }], []);
    assert.equal(judge(first!, revokedAt + revocation - 500), []);
    assert.match(judge(first!, revokedAt + revocation + 500)[0]!, /was revoked/);
    assert.match(judge("constructor", revokedAt)[0]!, /was never valid/);
    assert.equal(judge(drawn.present[0]!.keys[0]!, revokedAt + 60_000), []);
    assert.equal(drawn.findForeignRequests([], [createRun("a", revokedAt)]), []);
    assert.match(drawn.findForeignRequests([], [createRun("x", revokedAt)])[0]!, /run for no valid key/);
});

suite.run();
