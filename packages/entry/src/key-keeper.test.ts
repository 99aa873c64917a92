import * as errors from "@catkinwharf/errors";
import * as fleetState from "@catkinwharf/fleet-state";
import * as types from "@catkinwharf/types";
import * as neverthrow from "neverthrow";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as answerMemory from "./answer-memory.js";
import * as forgottenKeys from "./forgotten-keys.js";
import * as keyKeeper from "./key-keeper.js";
import * as metrics from "./metrics.js";
import * as request from "./request.js";

type AppendResult = neverthrow.Result<number, errors.PlatformError>;

/** A claims stream in memory that two keepers may share; `lose` makes appends fail, with or without effect. */
class FakeStream {
    readonly bodies: unknown[] = [];
    readonly readers: keyKeeper.KeyKeeper[] = [];
    lose: "no" | "answer" | "record" | "never answered" = "no";
    platformTime = 0;

    append(record: { readonly id: string; }): Promise<AppendResult> {
        if (this.lose === "never answered") {
            return new Promise(() => {});
        }
        const failed = neverthrow.err({
            layer: "platform" as const,
            fault: this.lose === "record" ? errors.PlatformFault.unreachable : errors.PlatformFault.unanswered,
            reason: "lost",
        });
        if (this.lose === "record") {
            return Promise.resolve(failed);
        }
        const offset = this.bodies.push(record) - 1;
        const lost = this.lose === "answer";
        const deliver = (): void => this.readers.forEach(reader => reader.applyEntries([this.#entry(offset)]));
        if (lost) {
            setTimeout(deliver, 5);
            return Promise.resolve(failed);
        }
        deliver();
        return Promise.resolve(neverthrow.ok(offset));
    }

    #entry(offset: number): fleetState.LogEntry {
        return { offset, appendedAt: this.platformTime, body: this.bodies[offset] };
    }
}

const answered: request.Answered = {
    outcome: types.Outcome.answered,
    status: 200,
    headers: [],
    body: Buffer.from("receipt"),
};

interface Fixture {
    readonly keeper: keyKeeper.KeyKeeper;
    readonly runs: request.ServiceRequest[];
    result: Promise<request.RequestResult>;
}

const rememberMs = 1_000;

function createKeeper(session: string, stream: FakeStream, holders: Map<string, Fixture>): Fixture {
    const forgotten = new forgottenKeys.ForgottenKeys();
    const runs: request.ServiceRequest[] = [];
    const keeper = new keyKeeper.KeyKeeper({
        table: new fleetState.ClaimTable(rememberMs, key => forgotten.add(key)),
        stream,
        answers: new answerMemory.AnswerMemory(1_000_000, rememberMs),
        forgotten,
        metrics: new metrics.Metrics(),
        rememberMs,
        clock: () => performance.now(),
        wallClock: () => Date.now(),
        isLogInReach: () => true,
        readSession: () => session,
        run: question => {
            runs.push(question);
            return fixture.result;
        },
        askHolder: async (claim, waitMs) =>
            holders.get(claim.session)?.keeper.answerQuery(claim.key, claim.requestId, waitMs),
    });
    const fixture: Fixture = { keeper, runs, result: Promise.resolve(answered) };
    stream.readers.push(keeper);
    holders.set(session, fixture);
    return fixture;
}

let requestNumber = 0;

function createQuestion(body: string): request.ServiceRequest {
    requestNumber += 1;
    return {
        requestId: `r${requestNumber}`,
        service: "receipts",
        method: "POST",
        path: "/",
        headers: [],
        body: Buffer.from(body),
        idempotent: false,
        urgency: 3,
        deadline: performance.now() + 2_000,
    };
}

function createPair(): { stream: FakeStream; holders: Map<string, Fixture>; left: Fixture; right: Fixture; } {
    const stream = new FakeStream();
    const holders = new Map<string, Fixture>();
    return {
        stream,
        holders,
        left: createKeeper("left", stream, holders),
        right: createKeeper("right", stream, holders),
    };
}

const suite = uvu.suite("key keeper");

suite("runs racing duplicates once and gives all the first answer", async () => {
    const { left, right } = createPair();
    const results = await Promise.all([
        left.keeper.run(createQuestion("a"), "k"),
        right.keeper.run(createQuestion("a"), "k"),
        left.keeper.run(createQuestion("a"), "k"),
    ]);
    assert.is(left.runs.length + right.runs.length, 1);
    for (const result of results) {
        assert.is(result.outcome, types.Outcome.answered);
    }
});

suite("says that an abandoned request was not run while another claims its key", async () => {
    const { stream, left } = createPair();
    const abandoned = createQuestion("a");
    stream.lose = "answer";
    await left.keeper.run(abandoned, "k");
    stream.lose = "never answered";
    void left.keeper.run(createQuestion("a"), "k");
    const knowledge = await left.keeper.answerQuery("receipts/k", abandoned.requestId, 0);
    assert.is(knowledge.state, "not-run");
});

suite("refuses another request under the same key", async () => {
    const { left, right } = createPair();
    await left.keeper.run(createQuestion("a"), "k");
    for (const fixture of [left, right]) {
        assert.equal(
            await fixture.keeper.run(createQuestion("b"), "k"),
            request.createNotRun(types.Reason.keyConflict),
        );
    }
    assert.is(left.runs.length + right.runs.length, 1);
});

suite("answers unknown when the holder is gone, and never runs again", async () => {
    const { holders, left, right } = createPair();
    await left.keeper.run(createQuestion("a"), "k");
    holders.delete("left");
    const repeated = await right.keeper.run(createQuestion("a"), "k");
    assert.is(repeated.outcome, types.Outcome.unknown);
    assert.is(right.runs.length, 0);
});

suite("releases a key whose request was not run, so that a retry runs", async () => {
    const { left, right } = createPair();
    left.result = Promise.resolve(request.createNotRun(types.Reason.queueFull));
    const first = await left.keeper.run(createQuestion("a"), "k");
    assert.equal(first, request.createNotRun(types.Reason.queueFull));
    const second = await right.keeper.run(createQuestion("a"), "k");
    assert.is(second.outcome, types.Outcome.answered);
    assert.is(right.runs.length, 1);
});

suite("a claim whose answer was lost is never dispatched, and is released when it shows up", async () => {
    const { stream, left, right } = createPair();
    stream.lose = "answer";
    const first = await left.keeper.run(createQuestion("a"), "k");
    assert.equal(first, request.createUnknown(types.Reason.claimUnconfirmed));
    stream.lose = "no";
    await new Promise(resolve => setTimeout(resolve, 20));
    const second = await right.keeper.run(createQuestion("a"), "k");
    assert.is(second.outcome, types.Outcome.answered);
    assert.is(left.runs.length, 0);
    assert.is(right.runs.length, 1);
});

suite("releases a key anew when it is asked for after the first release was lost", async () => {
    const { stream, left, right } = createPair();
    left.result = new Promise(resolve =>
        setTimeout(() => {
            stream.lose = "record";
            resolve(request.createNotRun(types.Reason.queueFull));
        }, 5)
    );
    await left.keeper.run(createQuestion("a"), "k");
    stream.lose = "no";
    const second = await right.keeper.run(createQuestion("a"), "k");
    assert.is(second.outcome, types.Outcome.unknown);
    const third = await right.keeper.run(createQuestion("a"), "k");
    assert.is(third.outcome, types.Outcome.answered);
    assert.is(right.runs.length, 1);
});

suite("says unknown of a key that it can't look up while the log is out of reach, and doesn't run it", async () => {
    const { stream, left } = createPair();
    stream.lose = "record";
    const result = await left.keeper.run(createQuestion("a"), "k");
    assert.equal(result, request.createUnknown(types.Reason.platformUnavailable));
    assert.is(left.runs.length, 0);
});

suite("refuses a key older than keys are remembered", async () => {
    const { stream, left, right } = createPair();
    await left.keeper.run(createQuestion("a"), "k");
    stream.platformTime = rememberMs + 1;
    await left.keeper.run(createQuestion("other"), "other");
    for (const fixture of [left, right]) {
        assert.equal(
            await fixture.keeper.run(createQuestion("a"), "k"),
            request.createUnknown(types.Reason.keyExpired),
        );
    }
    const oldUuid = "01890a5d-ac96-774b-bcce-b302099a8057";
    assert.equal(
        await left.keeper.run(createQuestion("a"), oldUuid),
        request.createUnknown(types.Reason.keyExpired),
    );
    assert.is(left.runs.length + right.runs.length, 2);
});

suite.run();
