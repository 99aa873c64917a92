/** Which submissions are refused while capacity is short. */
import * as jobStateTesting from "@catkinwharf/job-state/testing";
import type * as platform from "@catkinwharf/platform";
import * as scheduling from "@catkinwharf/scheduling";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as intake from "./index.js";

const suite = uvu.suite("load shedder");
const start = 30_000;
/** Jobs of 1 s have to be complete within 2.2 s, by the estimate with its typical overrun. */
const route: platform.operatorRecords.Route = {
    name: "quotes",
    host: "",
    pathPrefix: "/quotes/",
    service: "dispatch",
    priority: 0,
    maxAttempts: 1,
    slackFactor: 1,
    latencyAllowance: 1000,
    timeout: 400,
    advice: undefined,
    isPublic: false,
};

/** Refusal of one more job of the organisation, after the large one has sent ten jobs within a second. */
function findRefusal(
    organisation: string | undefined,
    waits: { beyondRate?: Record<string, number>; quota?: Record<string, number>; } | undefined,
): intake.Refusal | undefined {
    const committedRates = new scheduling.CommittedRates();
    committedRates.setWeights(new Map([["large", 1], ["small", 1]]));
    for (let i = 0; i < 10; i++) {
        committedRates.add({ id: i.toString(16).padStart(16, "0"), organisation: "large", submittedAt: start + i });
    }
    const expectedWaits = waits === undefined ? undefined : { beyondRate: {}, quota: {}, ...waits };
    const shedder = new intake.LoadShedder({ expectedWaits: () => expectedWaits, committedRates });
    const job = jobStateTesting.createJob({ id: "00000000000000ff", organisation, submittedAt: start + 20 });
    return shedder.findRefusal(job, route);
}

suite("the organisation that causes the overload is refused, others and jobs without an organisation aren't", () => {
    const waits = { beyondRate: { dispatch: 1500 } };
    assert.equal(findRefusal("large", waits), { reason: intake.RefusalReason.beyondRate, wait: 1500 });
    assert.is(findRefusal("small", waits), undefined);
    assert.is(findRefusal(undefined, waits), undefined);
});

suite("nothing is refused without a wait, for another service, or if the objective can still be met", () => {
    assert.is(findRefusal("large", undefined), undefined);
    assert.is(findRefusal("large", { beyondRate: { depot: 9000 } }), undefined);
    assert.is(findRefusal("large", { beyondRate: { dispatch: 900 } }), undefined);
});

suite("behind its own quota a job within the rate is refused only if it would be of no use", () => {
    assert.equal(findRefusal("large", { quota: { large: 1500 } })?.reason, intake.RefusalReason.quota);
    assert.is(findRefusal("small", { quota: { large: 9000, small: 1500 } }), undefined);
    assert.equal(findRefusal("small", { quota: { small: 9000 } })?.reason, intake.RefusalReason.quota);
});

suite("retries are spread over the time after which capacity is expected", () => {
    assert.equal([0, 0.5, 0.99].map(random => intake.computeRetryAfter(3000, random)), [3, 5, 6]);
    assert.equal([0, 0.99].map(random => intake.computeRetryAfter(100, random)), [1, 3]);
});

suite.run();
