import * as errors from "@catkinwharf/errors";
import * as fleetState from "@catkinwharf/fleet-state";
import * as types from "@catkinwharf/types";
import * as neverthrow from "neverthrow";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as answerCache from "./answer-cache.js";
import * as expiredKeys from "./expired-keys.js";
import * as keyedRequestRunner from "./keyed-request-runner.js";
import * as metrics from "./metrics.js";
import * as request from "./request.js";

type AppendResult = neverthrow.Result<number, errors.PlatformError>;

/**
 * An in-memory claims stream that several runners can share; `lost` makes appends fail: with `answer`, the record is
 * delivered later; with `record`, it is not appended; with `never answered`, the append stays pending.
 */
class FakeStream {
    readonly bodies: unknown[] = [];
    readonly readers: keyedRequestRunner.KeyedRequestRunner[] = [];
    lost: "nothing" | "answer" | "record" | "never answered" = "nothing";
    platformTime = 0;

    append(record: { readonly id: string; }): Promise<AppendResult> {
        if (this.lost === "never answered") {
            return new Promise(() => {});
        }
        const failed = neverthrow.err({
            layer: "platform" as const,
            fault: this.lost === "record" ? errors.PlatformFault.unreachable : errors.PlatformFault.unanswered,
            reason: "lost",
        });
        if (this.lost === "record") {
            return Promise.resolve(failed);
        }
        const offset = this.bodies.push(record) - 1;
        const answerLost = this.lost === "answer";
        const deliver = (): void => this.readers.forEach(reader => reader.applyEntries([this.#entry(offset)]));
        if (answerLost) {
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
    readonly runner: keyedRequestRunner.KeyedRequestRunner;
    readonly runs: request.ServiceRequest[];
    result: Promise<request.RequestResult>;
}

const rememberMs = 1_000;

function createRunner(session: string, stream: FakeStream, holders: Map<string, Fixture>): Fixture {
    const expired = new expiredKeys.ExpiredKeys();
    const runs: request.ServiceRequest[] = [];
    const runner = new keyedRequestRunner.KeyedRequestRunner({
        table: new fleetState.ClaimTable(rememberMs, key => expired.add(key)),
        stream,
        answers: new answerCache.AnswerCache(1_000_000, rememberMs),
        expiredKeys: expired,
        metrics: new metrics.Metrics(),
        rememberMs,
        clock: () => performance.now(),
        wallClock: () => Date.now(),
        isLogReachable: () => true,
        readSession: () => session,
        run: serviceRequest => {
            runs.push(serviceRequest);
            return fixture.result;
        },
        queryHolder: async (claim, waitMs) =>
            holders.get(claim.session)?.runner.answerQuery(claim.key, claim.requestId, waitMs),
    });
    const fixture: Fixture = { runner, runs, result: Promise.resolve(answered) };
    stream.readers.push(runner);
    holders.set(session, fixture);
    return fixture;
}

let requestNumber = 0;

function createRequest(body: string): request.ServiceRequest {
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
        left: createRunner("left", stream, holders),
        right: createRunner("right", stream, holders),
    };
}

const suite = uvu.suite("keyed request runner");

suite("runs concurrent duplicates once and returns the first answer to all of them", async () => {
    const { left, right } = createPair();
    const results = await Promise.all([
        left.runner.run(createRequest("a"), "k"),
        right.runner.run(createRequest("a"), "k"),
        left.runner.run(createRequest("a"), "k"),
    ]);
    assert.is(left.runs.length + right.runs.length, 1);
    for (const result of results) {
        assert.is(result.outcome, types.Outcome.answered);
    }
});

suite("reports an abandoned request as not run while another request claims its key", async () => {
    const { stream, left } = createPair();
    const abandoned = createRequest("a");
    stream.lost = "answer";
    await left.runner.run(abandoned, "k");
    stream.lost = "never answered";
    void left.runner.run(createRequest("a"), "k");
    const status = await left.runner.answerQuery("receipts/k", abandoned.requestId, 0);
    assert.is(status.state, "not-run");
});

suite("refuses a different request with the same key", async () => {
    const { left, right } = createPair();
    await left.runner.run(createRequest("a"), "k");
    for (const fixture of [left, right]) {
        assert.equal(
            await fixture.runner.run(createRequest("b"), "k"),
            request.createNotRun(types.Reason.keyConflict),
        );
    }
    assert.is(left.runs.length + right.runs.length, 1);
});

suite(
    "returns an unknown outcome when the holder of the claim is gone, and doesn't run the request again",
    async () => {
        const { holders, left, right } = createPair();
        await left.runner.run(createRequest("a"), "k");
        holders.delete("left");
        const repeated = await right.runner.run(createRequest("a"), "k");
        assert.is(repeated.outcome, types.Outcome.unknown);
        assert.is(right.runs.length, 0);
    },
);

suite("releases a key whose request was not run, so that a retry runs", async () => {
    const { left, right } = createPair();
    left.result = Promise.resolve(request.createNotRun(types.Reason.queueFull));
    const first = await left.runner.run(createRequest("a"), "k");
    assert.equal(first, request.createNotRun(types.Reason.queueFull));
    const second = await right.runner.run(createRequest("a"), "k");
    assert.is(second.outcome, types.Outcome.answered);
    assert.is(right.runs.length, 1);
});

suite(
    "doesn't dispatch a request if the answer to its claim was lost, and releases the key once the claim is read",
    async () => {
        const { stream, left, right } = createPair();
        stream.lost = "answer";
        const first = await left.runner.run(createRequest("a"), "k");
        assert.equal(first, request.createUnknown(types.Reason.claimUnconfirmed));
        stream.lost = "nothing";
        await new Promise(resolve => setTimeout(resolve, 20));
        const second = await right.runner.run(createRequest("a"), "k");
        assert.is(second.outcome, types.Outcome.answered);
        assert.is(left.runs.length, 0);
        assert.is(right.runs.length, 1);
    },
);

suite("releases a key again when its request is repeated after the first release was lost", async () => {
    const { stream, left, right } = createPair();
    left.result = new Promise(resolve =>
        setTimeout(() => {
            stream.lost = "record";
            resolve(request.createNotRun(types.Reason.queueFull));
        }, 5)
    );
    await left.runner.run(createRequest("a"), "k");
    stream.lost = "nothing";
    const second = await right.runner.run(createRequest("a"), "k");
    assert.is(second.outcome, types.Outcome.unknown);
    const third = await right.runner.run(createRequest("a"), "k");
    assert.is(third.outcome, types.Outcome.answered);
    assert.is(right.runs.length, 1);
});

suite("returns an unknown outcome and doesn't run the request while the log is unreachable", async () => {
    const { stream, left } = createPair();
    stream.lost = "record";
    const result = await left.runner.run(createRequest("a"), "k");
    assert.equal(result, request.createUnknown(types.Reason.platformUnavailable));
    assert.is(left.runs.length, 0);
});

suite("refuses a key that is older than the retention time of keys", async () => {
    const { stream, left, right } = createPair();
    await left.runner.run(createRequest("a"), "k");
    stream.platformTime = rememberMs + 1;
    await left.runner.run(createRequest("other"), "other");
    for (const fixture of [left, right]) {
        assert.equal(
            await fixture.runner.run(createRequest("a"), "k"),
            request.createUnknown(types.Reason.keyExpired),
        );
    }
    const oldUuid = "01890a5d-ac96-774b-bcce-b302099a8057";
    assert.equal(
        await left.runner.run(createRequest("a"), oldUuid),
        request.createUnknown(types.Reason.keyExpired),
    );
    assert.is(left.runs.length + right.runs.length, 2);
});

suite.run();
