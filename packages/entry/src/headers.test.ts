import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as headers from "./headers.js";

const suite = uvu.suite("headers");

suite("forwards end-to-end fields only", () => {
    const forwarded = headers.listForwardedFields({
        "connection": "close, X-Hop",
        "x-hop": "1",
        "content-length": "3",
        "catkinwharf-timeout-ms": "5",
        "accept": "text/plain",
        "set-cookie": ["a", "b"],
    });
    assert.equal(forwarded, [
        { name: "accept", value: "text/plain" },
        { name: "set-cookie", value: "a" },
        { name: "set-cookie", value: "b" },
    ]);
});

suite("parses the urgency of RFC 9218 and uses the default for malformed fields", () => {
    const table = [["u=0", 0], ["u=7, i", 7], ["u=8", 3], ["u=1.5", 3], ["i", 3], ["u=", 3], [undefined, 3]] as const;
    for (const [field, urgency] of table) {
        assert.is(headers.readUrgency(field), urgency, String(field));
    }
});

suite("caps the time limit at the maximum and refuses malformed fields", () => {
    assert.is(headers.readTimeout(undefined, 500, 1_000), 500);
    assert.is(headers.readTimeout("2000", 500, 1_000), 1_000);
    for (const malformed of ["0", "-1", "1.5", "1e3", "", "soon"]) {
        assert.is(headers.readTimeout(malformed, 500, 1_000), undefined, malformed);
    }
});

suite("accepts quoted and bare idempotency keys and refuses malformed ones", () => {
    assert.is(headers.readIdempotencyKey('"receipt-1"'), "receipt-1");
    assert.is(headers.readIdempotencyKey("receipt-1"), "receipt-1");
    for (const malformed of ["", '""', '"a', "a b", "\u00e9", "x".repeat(201)]) {
        assert.is(headers.readIdempotencyKey(malformed), undefined, malformed);
    }
});

suite.run();
