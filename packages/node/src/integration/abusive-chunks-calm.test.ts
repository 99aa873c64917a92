/** End-to-end tests that guard against the refusal of a single body of legal size because of how it is chunked. */
import * as uvu from "uvu";
import * as abuseCases from "./abuse-cases.js";

const suite = uvu.suite("chunked bodies in calm");
const { maxBodyBytes, encodeBody, runInCalm } = abuseCases;

suite(
    "a submission of legal size in chunks of one byte is refused in calm",
    () => runInCalm(body => [Buffer.concat(encodeBody(body, 1))]),
);

suite(
    "a submission of legal size in chunks with long extensions is refused in calm",
    () => runInCalm(body => encodeBody(body, 1024, `;a=${"x".repeat(15_000)}`)),
);

suite(
    "a submission of legal size in two chunks is refused in calm",
    () => runInCalm(body => encodeBody(body, maxBodyBytes / 2)),
);

suite(
    "a submission of legal size that is sent in very many small writes is refused in calm",
    () => runInCalm(body => encodeBody(body, 52)),
);

suite.run();
