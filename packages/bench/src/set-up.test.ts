import * as schema from "@catkinwharf/schema";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as setUp from "./set-up.js";

const suite = uvu.suite("set-up");

type ChangeStatus = schema.operator.ChangeAnswer["status"];

/** Publishes against a list of answers and returns how many are left, or the message of the error. */
async function publishAgainst(statuses: readonly ChangeStatus[]): Promise<string> {
    const answers = [...statuses];
    try {
        await setUp.publishUntilAccepted(() =>
            Promise.resolve({ status: answers.shift() ?? "invalid", version: 1, offset: 1, reason: "" })
        );
        return `published, ${answers.length} left`;
    }
    catch (thrown) {
        return String(thrown);
    }
}

suite("publishes a change again that an entry instance refused while the log was out of its reach", async () => {
    assert.is(await publishAgainst(["unavailable", "unavailable", "accepted", "accepted"]), "published, 1 left");
});

suite("takes a conflict for the change itself only after an answer of unknown outcome", async () => {
    assert.is(await publishAgainst(["unknown", "conflict", "accepted"]), "published, 1 left");
    assert.match(await publishAgainst(["unavailable", "conflict", "accepted"]), "not published: conflict");
});

suite("reports a change that is refused", async () => {
    assert.match(await publishAgainst(["invalid", "accepted"]), "not published: invalid");
});

suite.run();
