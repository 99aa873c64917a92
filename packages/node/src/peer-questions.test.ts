/** Questions that a process passes on end in time, and burden no peer. */
import * as jobState from "@catkinwharf/job-state";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as peerQuestions from "./peer-questions.js";

const suite = uvu.suite("peer questions");
const question: jobState.Question = { kind: "status", id: "a", queue: "quotes", organisation: undefined };
const completed: jobState.QuestionAnswer = { kind: "status", status: jobState.JobStatus.completed };

/** Peers by node: what each answers; `undefined` for none, "hangs" until its time is up. */
type Peers = Record<string, jobState.QuestionAnswer | "hangs" | undefined>;

class World {
    now = 0;
    readonly asked: string[] = [];
    readonly outcomes: peerQuestions.QuestionOutcome[] = [];
    found = 0;
    hasRead = false;
    readonly questions = new peerQuestions.PeerQuestions({
        listPeers: () =>
            Object.keys(this.peers).map(node => ({ node, address: node, large: node.startsWith("large") })),
        hasRead: () => this.hasRead,
        findPeers: () => {
            this.found += 1;
            return Promise.resolve();
        },
        send: async (address, encoded, timeout) => {
            this.asked.push(address);
            assert.equal(jobState.decodeQuestion(encoded), question);
            const answer = this.peers[address];
            if (answer === "hangs") {
                await new Promise(resolve => setTimeout(resolve, timeout));
                return undefined;
            }
            return answer === undefined ? undefined : jobState.encodeQuestionAnswer(answer);
        },
        monotonicNow: () => this.now,
        random: () => 0,
        count: outcome => this.outcomes.push(outcome),
    });

    constructor(readonly peers: Peers) {}

    async ask(): Promise<string | undefined> {
        return (await this.questions.ask(question, this.now + 1000))?.node;
    }
}

suite("a small peer is asked although a large one can tell, or a question ends at a peer that can't", async () => {
    const world = new World({ small: completed, large: completed });
    assert.is(await world.ask(), "large");
    assert.equal(world.asked, ["large"]);
    const behind = new World({ small: completed, "large-1": undefined, "large-2": { kind: "untold" } });
    assert.is(await behind.ask(), "small");
    assert.equal([...behind.asked].sort(), ["large-1", "large-2", "small"]);
});

suite("a peer that hangs keeps the question from the others", async () => {
    const world = new World({ "large-hangs": "hangs", small: completed });
    assert.is(await world.ask(), "small");
});

suite("peers that can't tell, or of an earlier version, are asked again with each question", async () => {
    const world = new World({ earlier: undefined, behind: { kind: "untold" } });
    assert.is(await world.ask(), undefined);
    assert.is(await world.ask(), undefined);
    assert.is(world.asked.length, 2);
    world.peers["behind"] = completed;
    world.now += 400;
    assert.is(await world.ask(), "behind");
    assert.is(world.asked.filter(node => node === "earlier").length, 1);
    assert.is(world.found, 0);
    assert.equal(world.outcomes, ["untold", "untold", "answered"]);
});

suite("a process without peers that answer doesn't look for their addresses", async () => {
    const world = new World({});
    assert.is(await world.ask(), undefined);
    assert.is(world.found, 1);
});

suite("a crowd of questions is passed on at once", async () => {
    const world = new World({ large: "hangs", small: "hangs" });
    const answers = await Promise.all(Array.from({ length: 600 }, () => world.ask()));
    assert.equal(answers, Array(600).fill(undefined));
    assert.ok(world.asked.length <= 48);
    const slowStore = new World({ a: { kind: "untold" }, b: { kind: "untold" }, c: { kind: "untold" } });
    slowStore.hasRead = true;
    assert.is(await slowStore.ask(), undefined);
    assert.is(slowStore.asked.length, 2);
    assert.is(world.outcomes.filter(outcome => outcome === "refused").length, 76);
});

suite("an answer that can't be read, or one to another question, counts", () => {
    assert.is(jobState.decodeQuestionAnswer(Buffer.from([255]), question), undefined);
    assert.is(
        jobState.decodeQuestionAnswer(jobState.encodeQuestionAnswer({ kind: "count", pending: 1 }), question),
        undefined,
    );
    const odd = { kind: "status", status: "lost" } as unknown as jobState.QuestionAnswer;
    assert.is(jobState.decodeQuestionAnswer(jobState.encodeQuestionAnswer(odd), question), undefined);
    assert.is(jobState.decodeQuestion(Buffer.from("status")), undefined);
});

suite.run();
