/**
 * Requests for explanations: guards against answers by a process that can't know, requests that are passed on for ever,
 * and refusals that differ from those of the callers' interface.
 */
import * as intake from "@catkinwharf/intake";
import * as jobState from "@catkinwharf/job-state";
import * as testing from "@catkinwharf/job-state/testing";
import type * as platform from "@catkinwharf/platform";
import type * as types from "@catkinwharf/types";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as explanations from "./explanations.js";

const suite = uvu.suite("explanations");
const route = {
    name: "quotes",
    host: "queues.test",
    pathPrefix: "/quotes/",
    service: "dispatch",
    priority: 0,
    maxAttempts: 3,
    slackFactor: 2,
    latencyAllowance: 1000,
    timeout: 2000,
    advice: undefined,
    isPublic: false,
};
const organisation = {
    name: "a",
    keys: ["secret"],
    weight: 1,
    limit: { cpu: 0, memory: 0, accelerators: 0 },
} as unknown as platform.operatorRecords.Organisation;
const known = "00000000000000aa";
const body = JSON.stringify({ Spec: "", Steps: [{ Count: 1, EstimateMs: 100 }] });
const starts: types.PlacementExplanation = { verdict: "starts", steps: [], stepsLeftOut: 0 };
const request = { host: "queues.test", path: "/quotes/", body, organisation: "a" };

interface Answer {
    readonly status: number;
    readonly document: Partial<types.PlacementExplanation & types.ExplanationFailure>;
}

function create(overrides: Partial<explanations.ExplanationsOptions> = {}): explanations.Explanations {
    const jobs = new jobState.JobTable();
    const record = jobState.encodeJob(testing.createJob({ id: known, organisation: "a" }));
    jobs.applySubmission(record.key, record.value);
    return new explanations.Explanations({
        storeLimits: { appendSize: 100_000, recordSize: 100_000 },
        largestGang: 1000,
        requiresKeys: true,
        jobs,
        now: () => 1000,
        configuration: () => ({
            version: 1,
            routes: [route, { ...route, name: "open", pathPrefix: "/open/", isPublic: true }],
            services: [],
            organisations: [organisation],
            maxBodyBytes: 1000,
        }),
        startDelay: () => 0,
        shedder: { findRefusal: () => undefined },
        explainer: () => ({
            explainKnown: entry => ({ ...starts, job: entry.id }),
            explainSubmission: () => starts,
        }),
        leads: () => true,
        isInTouch: () => true,
        refresh: () => Promise.resolve(true),
        forward: () => Promise.resolve(undefined),
        ...overrides,
    });
}

async function ask(
    asked: explanations.Explanations,
    document: object | string = request,
    forwarded = false,
): Promise<Answer> {
    const text = typeof document === "string" ? document : JSON.stringify(document);
    const answer = await asked.answer(Buffer.from(text), forwarded);
    return {
        status: answer.status,
        document: JSON.parse(Buffer.from(answer.body).toString()) as Answer["document"],
    };
}

suite("a process that doesn't coordinate answers itself, or a request is passed on twice", async () => {
    let passedOn = 0;
    const forward = () => {
        passedOn += 1;
        return Promise.resolve({ status: 200, body: Buffer.from("{}") });
    };
    const other = create({ leads: () => false, forward });
    assert.equal(await ask(other), { status: 200, document: {} });
    assert.is((await ask(other, request, true)).status, 503);
    assert.is(passedOn, 1);
    const cutOff = create({ leads: () => false });
    const { status, document } = await ask(cutOff);
    assert.equal([status, document.error], [503, "this process is out of touch with the coordinator"]);
});

suite("a coordinator without contact to the store, or one that is taking over, answers from an old view", async () => {
    const old = "the coordinator is out of touch with the store, so its view is old";
    for (const overrides of [{ isInTouch: () => false }, { refresh: () => Promise.resolve(false) }]) {
        assert.equal(await ask(create(overrides)), { status: 503, document: { error: old } });
    }
    const takingOver = await ask(create({ explainer: () => undefined }));
    assert.equal(takingOver, { status: 503, document: { error: "the coordinator is still taking over" } });
    assert.is((await ask(create({ configuration: () => undefined }))).status, 503);
});

suite("a coordinator that steps down while it reads the store still answers", async () => {
    let explainer: ReturnType<explanations.ExplanationsOptions["explainer"]> = { explainKnown: () => starts } as never;
    const refresh = () => {
        explainer = undefined;
        return Promise.resolve(true);
    };
    assert.is((await ask(create({ explainer: () => explainer, refresh }))).status, 503);
});

suite("a submission is refused otherwise than the callers' interface does", async () => {
    const refusal = async (changes: object, overrides = {}) => {
        const { status, document } = await ask(create(overrides), { ...request, ...changes });
        assert.equal([status, document.verdict], [200, "refused"], JSON.stringify(document));
        return [document.refusal!.status, document.refusal!.reason];
    };
    assert.equal(await refusal({ path: "/none/" }), [404, "no such queue"]);
    assert.equal(await refusal({ host: "other.test" }), [404, "no such queue"]);
    assert.equal(await refusal({ organisation: undefined }), [401, "the request has no API key"]);
    assert.equal(await refusal({ path: "/quotes/1" }), [400, "malformed job id"]);
    assert.equal(await refusal({ body: "x".repeat(1001) }), [413, "the body is too large"]);
    assert.is((await refusal({ body: "{}" }))[0], 400);
    assert.equal(await refusal({ path: `/open/${known}`, organisation: undefined }), [
        400,
        "the job ID belongs to another organisation",
    ]);
    assert.equal(await refusal({}, { startDelay: () => 100_000 }), [
        429,
        "the coordinator can't start the job in time",
    ]);
    const shedder = { findRefusal: () => ({ reason: intake.RefusalReason.quota, wait: 1500.4 }) };
    assert.equal(await refusal({}, { shedder }), [429, "the organisation's quota can't let the job run in time"]);
    const limited = { storeLimits: { appendSize: 1, recordSize: 1 } };
    assert.equal(await refusal({}, limited), [413, "the job is too large for the store"]);
});

suite(
    "a submission that would be accepted is refused, or a repeated one isn't explained as the known job",
    async () => {
        assert.equal((await ask(create())).document, { ...starts, startDelay: 0 });
        assert.is((await ask(create(), { ...request, path: "/quotes/00000000000000bb" })).document.verdict, "starts");
        assert.is((await ask(create(), { ...request, path: `/quotes/${known}` })).document.job, known);
        assert.is((await ask(create(), { job: known })).document.job, known);
    },
);

suite("an unknown job or organisation, or a malformed request, is explained", async () => {
    assert.equal(await ask(create(), { job: "00000000000000bb" }), {
        status: 404,
        document: { error: "no job 00000000000000bb is known" },
    });
    assert.is((await ask(create(), { ...request, organisation: "b" })).status, 404);
    assert.is((await ask(create(), { ...request, path: "/open/" })).status, 400);
    for (const malformed of ["", "null", "[]", "{}", '{"job":1}', '{"host":"a","path":"/"}']) {
        assert.is((await ask(create(), malformed)).status, 400, malformed);
    }
});

suite("a crowd of requests takes the coordinator's time", async () => {
    const release: (() => void)[] = [];
    const asked = create({
        refresh: () => new Promise(resolve => release.push(() => resolve(true))),
    });
    const held = Array.from({ length: 4 }, () => ask(asked));
    assert.is((await ask(asked)).status, 503);
    release.forEach(one => one());
    assert.equal((await Promise.all(held)).map(({ status }) => status), [200, 200, 200, 200]);
    const again = ask(asked);
    release.at(-1)!();
    assert.is((await again).status, 200);
});

suite.run();
