/** Answers to peers' questions are true, and tell no organisation of another's jobs. */
import * as jobState from "@catkinwharf/job-state";
import * as jobStateTesting from "@catkinwharf/job-state/testing";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as intake from "./index.js";

const suite = uvu.suite("question answerer");
const id = "00000000000000aa";

function createAnswerer(
    organisation: string | undefined,
    overrides: Partial<intake.QuestionAnswererOptions> = {},
): intake.QuestionAnswerer {
    const jobs = new jobState.JobTable();
    const { key, value } = jobState.encodeJob(jobStateTesting.createJob({ id, organisation }));
    jobs.applySubmission(key, value);
    return new intake.QuestionAnswerer({
        jobs,
        hasRead: () => true,
        refreshJobs: () => Promise.resolve(true),
        refreshProgress: () => Promise.resolve(true),
        isStoreUnavailable: () => false,
        measureDataAge: () => ({ submissionsAge: 0, progressAge: 0 }),
        ...overrides,
    });
}

function ask(asker: string | undefined, overrides: Partial<jobState.StatusQuestion> = {}): jobState.Question {
    return { kind: "status", id, queue: "quotes", organisation: asker, ...overrides };
}

suite("a peer's caller is told of another organisation's job, or of one in another queue", async () => {
    const answerer = createAnswerer("acme");
    assert.equal(await answerer.answer(ask("acme")), { kind: "status", status: "queued" });
    assert.equal(await answerer.answer(ask("other")), { kind: "no-job" });
    assert.equal(await answerer.answer(ask(undefined)), { kind: "no-job" });
    assert.equal(await answerer.answer(ask("acme", { queue: "certificates" })), { kind: "no-job" });
    assert.equal(await createAnswerer(undefined).answer(ask("other")), { kind: "status", status: "queued" });
});

suite("a process that hasn't read everything says that there is no such job, or counts jobs", async () => {
    const unknown = ask(undefined, { id: "00000000000000ab" });
    const count: jobState.Question = { kind: "count", queue: "quotes" };
    assert.equal(await createAnswerer(undefined).answer(unknown), { kind: "no-job" });
    assert.equal(await createAnswerer(undefined).answer(count), { kind: "count", pending: 1 });
    const untold = { kind: "untold" };
    const hanging = () => new Promise<boolean>(() => {});
    for (const refreshJobs of [() => Promise.resolve(false), hanging]) {
        const behind = createAnswerer(undefined, {
            refreshJobs,
            measureDataAge: () => ({ submissionsAge: 1500, progressAge: 0 }),
        });
        assert.equal(await behind.answer(unknown), untold);
        assert.equal(await behind.answer(count), untold);
        assert.equal(await behind.answer(ask(undefined)), { kind: "status", status: "queued" });
    }
    const reading = createAnswerer(undefined, { hasRead: () => false });
    assert.equal(await reading.answer(ask(undefined)), untold);
});

suite.run();
